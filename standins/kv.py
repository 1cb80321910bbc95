"""Stand-in for the platform's key-value service, in memory."""

import argparse
from collections import Counter
from urllib.parse import parse_qs, unquote

import attrs
import curio

from clementinebank.clock import now, run_service
from clementinebank.http import HttpRequest, HttpResponse, json_response
from standins._control import serve_with_control, sleep_ms

KEY_PREFIX = '/v1/keys/'
MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_MS = 60_000
MAX_PAGE_ENTRIES = 1000


@attrs.define
class KeyValueFaults:
    """Faults that a test sets through the control endpoint.

    Parameters
    ----------
    down : bool
        Whether every call is refused with 503.
    delay_ms : float
        Delay of every response, in milliseconds.
    lose_write_answers : int
        Number of following writes that take effect but get a 503 response.
    lose_writes : int
        Number of following writes that take no effect and get a 503 response.
    late_writes : int
        Number of following writes that get a 503 response at once and take
        effect after ``late_write_ms``.
    late_write_ms : float
        Delay of the effect of a late write, in milliseconds.
    snapshot : bool
        Copy all values, once; set back to False when it is done.
    restore : bool
        Restore the values of the copy, once; set back to False when it is
        done. Keys that aren't in the copy are deleted. Every value that
        changes gets a new version that no value has had before.
    restore_prefix : str
        Prefix of the keys to restore; an empty one selects all keys.
    """

    down: bool = False
    delay_ms: float = 0
    lose_write_answers: int = 0
    lose_writes: int = 0
    late_writes: int = 0
    late_write_ms: float = 200
    snapshot: bool = False
    restore: bool = False
    restore_prefix: str = ''


@attrs.define(eq=False)
class KeyValueStore:
    """Versioned values in memory, with compare-and-swap writes and watches.

    Parameters
    ----------
    faults : KeyValueFaults
        Faults to inject.
    entries : dict of str to tuple
        Value and version by key.
    calls_by_method : Counter of str
        Number of calls by HTTP method.
    saved_entries : dict of str to tuple
        Copy of ``entries`` that the fault ``restore`` restores.
    last_version : int
        Highest version of any value so far.
    entries_changed : curio.Condition
        Notified when a value changes.
    """

    faults: KeyValueFaults = attrs.Factory(KeyValueFaults)
    entries: dict[str, tuple[bytes, int]] = attrs.Factory(dict)
    calls_by_method: Counter[str] = attrs.Factory(Counter)
    saved_entries: dict[str, tuple[bytes, int]] = attrs.Factory(dict)
    last_version: int = 0
    entries_changed: curio.Condition = attrs.Factory(curio.Condition)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request."""
        self.calls_by_method[request.method] += 1
        await sleep_ms(self.faults.delay_ms)
        if request.path == '/calls':
            return json_response(200, dict(self.calls_by_method))
        if self.faults.down:
            return json_response(503, {'code': 'unavailable'})
        query = {
            name: found[-1] for name, found in parse_qs(request.query).items()
        }
        if request.path == KEY_PREFIX.rstrip('/'):
            return self._list(query)
        key = unquote(request.path.removeprefix(KEY_PREFIX))
        if request.method == 'GET':
            return await self._get(key, query)
        if request.method in {'PUT', 'DELETE'}:
            return await self._write(key, query, request)
        return json_response(405, {'code': 'method_not_allowed'})

    async def on_control(self) -> None:
        """Copy or restore the values if the faults ask for it."""
        if self.faults.snapshot:
            self.faults.snapshot = False
            self.saved_entries = dict(self.entries)
        if self.faults.restore:
            self.faults.restore = False
            for key in self.entries.keys() | self.saved_entries.keys():
                if key.startswith(self.faults.restore_prefix):
                    self._restore_key(key)
            async with self.entries_changed:
                await self.entries_changed.notify_all()

    def _restore_key(self, key: str) -> None:
        saved_entry = self.saved_entries.get(key)
        if saved_entry == self.entries.get(key):
            return
        if saved_entry is None:
            self.entries.pop(key)
            return
        self.last_version += 1
        self.entries[key] = (saved_entry[0], self.last_version)

    def _list(self, query: dict[str, str]) -> HttpResponse:
        prefix = query.get('prefix', '')
        after = query.get('after_key', '')
        limit = min(int(query.get('limit', MAX_PAGE_ENTRIES)), MAX_PAGE_ENTRIES)
        found = [
            {'key': key, 'version': version, 'value': value.decode()}
            for key, (value, version) in sorted(self.entries.items())
            if key.startswith(prefix) and key > after
        ]
        return json_response(200, {'entries': found[:limit]})

    async def _get(self, key: str, query: dict[str, str]) -> HttpResponse:
        if 'after' not in query:
            return self._value_response(key)
        after = int(query['after'])
        wait_s = min(int(query.get('wait_ms', '0')), MAX_WAIT_MS) / 1000
        limit = now() + wait_s
        while self.entries.get(key, (b'', 0))[1] == after:
            if now() >= limit:
                return HttpResponse(304, {'version': str(after)})
            async with curio.ignore_after(limit - now()):
                async with self.entries_changed:
                    await self.entries_changed.wait()
        return self._value_response(key)

    def _value_response(self, key: str) -> HttpResponse:
        value, version = self.entries.get(key, (b'', 0))
        status = 200 if version else 404
        return HttpResponse(status, {'version': str(version)}, value)

    async def _write(
        self, key: str, query: dict[str, str], request: HttpRequest
    ) -> HttpResponse:
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response(413, {'code': 'value_too_large'})
        expected_version = int(query.get('version', '-1'))
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            await curio.spawn(
                self._write_after_delay,
                key,
                expected_version,
                request,
                daemon=True,
            )
            return json_response(503, {'code': 'unavailable'})
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return json_response(503, {'code': 'unavailable'})
        response = await self._compare_and_swap(key, expected_version, request)
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return json_response(503, {'code': 'unavailable'})
        return response

    async def _write_after_delay(
        self, key: str, expected_version: int, request: HttpRequest
    ) -> None:
        await sleep_ms(self.faults.late_write_ms)
        await self._compare_and_swap(key, expected_version, request)

    async def _compare_and_swap(
        self, key: str, expected_version: int, request: HttpRequest
    ) -> HttpResponse:
        version = self.entries.get(key, (b'', 0))[1]
        if version != expected_version:
            return HttpResponse(409, {'version': str(version)})
        self.last_version += 1
        if request.method == 'DELETE':
            self.entries.pop(key, None)
        else:
            self.entries[key] = (request.body, self.last_version)
        async with self.entries_changed:
            await self.entries_changed.notify_all()
        return HttpResponse(200, {'version': str(self.last_version)})


def main() -> None:
    """Run the stand-in until the process is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--listen', default='127.0.0.1:9700')
    host, _, port = parser.parse_args().listen.rpartition(':')
    store = KeyValueStore()
    run_service(
        serve_with_control,
        host,
        int(port),
        store.handle,
        store.faults,
        store.on_control,
    )


if __name__ == '__main__':
    main()
