"""Stand-in for the platform's key-value service, in memory."""

import argparse
from collections import Counter
from urllib.parse import parse_qs, unquote

import attrs
import curio

from clementinebank.clock import now, run_service
from clementinebank.http import HttpRequest, HttpResponse, json_response
from standins._control import pause, serve_with_control

KEY_PREFIX = '/v1/keys/'
MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_MS = 60_000
MAX_PAGE = 1000


@attrs.define
class KeyValueFaults:
    """Faults that a test can set.

    Parameters
    ----------
    down : bool
        Refuse every call with 503.
    delay_ms : float
        Delay of every answer.
    lose_write_answers : int
        Writes that take effect and are answered with 503.
    lose_writes : int
        Writes that take no effect and are answered with 503.
    late_writes : int
        Writes answered with 503 at once that take effect later.
    late_write_ms : float
        When a late write takes effect.
    snapshot : bool
        Keep a copy of all values, once.
    restore : bool
        Put the copy back, once. Every value that changes gets a version that
        was never used.
    restore_prefix : str
        Restore only the keys with this prefix.
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
    """Values with versions, watches and leases that expire."""

    faults: KeyValueFaults = attrs.Factory(KeyValueFaults)
    entries: dict[str, tuple[bytes, int]] = attrs.Factory(dict)
    calls: Counter[str] = attrs.Factory(Counter)
    saved: dict[str, tuple[bytes, int]] = attrs.Factory(dict)
    last_version: int = 0
    changed: curio.Condition = attrs.Factory(curio.Condition)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call."""
        self.calls[request.method] += 1
        await pause(self.faults.delay_ms)
        if request.path == '/calls':
            return json_response(200, dict(self.calls))
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
        """Keep or restore the values as the faults say."""
        if self.faults.snapshot:
            self.faults.snapshot = False
            self.saved = dict(self.entries)
        if self.faults.restore:
            self.faults.restore = False
            for key in self.entries.keys() | self.saved.keys():
                if key.startswith(self.faults.restore_prefix):
                    self._restore(key)
            async with self.changed:
                await self.changed.notify_all()

    def _restore(self, key: str) -> None:
        saved = self.saved.get(key)
        if saved == self.entries.get(key):
            return
        if saved is None:
            self.entries.pop(key)
            return
        self.last_version += 1
        self.entries[key] = (saved[0], self.last_version)

    def _list(self, query: dict[str, str]) -> HttpResponse:
        prefix = query.get('prefix', '')
        after = query.get('after_key', '')
        limit = min(int(query.get('limit', MAX_PAGE)), MAX_PAGE)
        found = [
            {'key': key, 'version': version, 'value': value.decode()}
            for key, (value, version) in sorted(self.entries.items())
            if key.startswith(prefix) and key > after
        ]
        return json_response(200, {'entries': found[:limit]})

    async def _get(self, key: str, query: dict[str, str]) -> HttpResponse:
        if 'after' not in query:
            return self._current(key)
        after = int(query['after'])
        wait_s = min(int(query.get('wait_ms', '0')), MAX_WAIT_MS) / 1000
        limit = now() + wait_s
        while self.entries.get(key, (b'', 0))[1] == after:
            if now() >= limit:
                return HttpResponse(304, {'version': str(after)})
            async with curio.ignore_after(limit - now()):
                async with self.changed:
                    await self.changed.wait()
        return self._current(key)

    def _current(self, key: str) -> HttpResponse:
        value, version = self.entries.get(key, (b'', 0))
        status = 200 if version else 404
        return HttpResponse(status, {'version': str(version)}, value)

    async def _write(
        self, key: str, query: dict[str, str], request: HttpRequest
    ) -> HttpResponse:
        if len(request.body) > MAX_VALUE_BYTES:
            return json_response(413, {'code': 'value_too_large'})
        expected = int(query.get('version', '-1'))
        if self.faults.late_writes > 0:
            self.faults.late_writes -= 1
            await curio.spawn(
                self._write_late, key, expected, request, daemon=True
            )
            return json_response(503, {'code': 'unavailable'})
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return json_response(503, {'code': 'unavailable'})
        response = await self._swap(key, expected, request)
        if self.faults.lose_write_answers > 0:
            self.faults.lose_write_answers -= 1
            return json_response(503, {'code': 'unavailable'})
        return response

    async def _write_late(
        self, key: str, expected: int, request: HttpRequest
    ) -> None:
        await pause(self.faults.late_write_ms)
        await self._swap(key, expected, request)

    async def _swap(
        self, key: str, expected: int, request: HttpRequest
    ) -> HttpResponse:
        version = self.entries.get(key, (b'', 0))[1]
        if version != expected:
            return HttpResponse(409, {'version': str(version)})
        self.last_version += 1
        if request.method == 'DELETE':
            self.entries.pop(key, None)
        else:
            self.entries[key] = (request.body, self.last_version)
        async with self.changed:
            await self.changed.notify_all()
        return HttpResponse(200, {'version': str(self.last_version)})


def main() -> None:
    """Run the stand-in."""
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
