"""In-memory fake of the key-value service with a fault for each call."""

import enum
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.coordination import Entry
from clementinebank.errors import Execution, Failure, Step

ABSENT = Entry(b'', 0)
Hook = Callable[[], Awaitable[None]]


class Fault(enum.Enum):
    """Fault of one call.

    ``DOWN`` fails the call as unreachable, the others as timed out. With
    ``LOST_AFTER_EFFECT`` a write takes effect, with ``LOST_BEFORE_EFFECT`` it
    never does, and with ``LATE`` only when ``apply_late_writes`` runs.
    """

    DOWN = 'down'
    LOST_AFTER_EFFECT = 'lost_after_effect'
    LOST_BEFORE_EFFECT = 'lost_before_effect'
    LATE = 'late'


@attrs.define(eq=False)
class FakeKeyValueService:
    """Fake of the ``KeyValueService`` interface.

    Every write gets a version that was never used before, also after a
    restore, as the platform's service does.

    Parameters
    ----------
    is_down : bool
        Whether every call fails.
    faults : deque of Fault or None
        Faults of the next calls of ``read`` and ``compare_and_swap``, in
        order; ``None`` lets a call pass.
    hooks_by_call : dict of int to callable
        Coroutine functions, each of which runs before the call of its number
        takes effect, for example another operator's write or a restore. Calls
        of ``read`` and ``compare_and_swap`` are counted together from 1.
    """

    is_down: bool = False
    faults: deque[Fault | None] = attrs.Factory(deque)
    hooks_by_call: dict[int, Hook] = attrs.Factory(dict)
    entries_by_key: dict[str, Entry] = attrs.Factory(dict)
    history_by_key: dict[str, list[Entry]] = attrs.Factory(dict)
    late_writes: list[tuple[str, bytes, int]] = attrs.Factory(list)
    calls: list[str] = attrs.Factory(list)
    last_version: int = 0

    async def read(self, key: str) -> Result[Entry, Failure]:
        """Read the entry of a key, with version 0 if it is absent."""
        fault = await self._next_fault('read')
        if fault is not None:
            return Err(_failure(fault, Step.READ_HEAD))
        return Ok(self.entries_by_key.get(key, ABSENT))

    async def compare_and_swap(
        self, key: str, value: bytes, version: int
    ) -> Result[Entry, Failure]:
        """Write the value if the stored version is still the given one."""
        fault = await self._next_fault('swap')
        if fault is Fault.LATE:
            self.late_writes.append((key, value, version))
        if fault in {None, Fault.LOST_AFTER_EFFECT}:
            written = self._write(key, value, version)
            if fault is None:
                return written
        return Err(_failure(fault, Step.SWAP))

    async def watch(
        self, key: str, version: int, wait_ms: int
    ) -> Result[Entry | None, Failure]:
        """Wait until the version of a key differs and return its entry.

        ``None`` means that it did not change within ``wait_ms``.
        """
        limit = now() + wait_ms / 1000
        while not self.is_down:
            entry = self.entries_by_key.get(key, ABSENT)
            if entry.version != version:
                return Ok(entry)
            if now() >= limit:
                return Ok(None)
            await curio.sleep(0.01)
        return Err(_failure(Fault.DOWN, Step.READ_HEAD))

    def apply_late_writes(self) -> None:
        """Apply the late writes whose version is still the stored one."""
        late, self.late_writes = self.late_writes, []
        for key, value, version in late:
            self._write(key, value, version)

    def put(self, key: str, value: bytes) -> Entry:
        """Write without a check of the version, as another tool would."""
        self.last_version += 1
        entry = Entry(value, self.last_version)
        self.entries_by_key[key] = entry
        self.history_by_key.setdefault(key, []).append(entry)
        return entry

    def restore(self, key: str, writes_back: int = 1) -> None:
        """Restore the value from before the given number of writes.

        The key is absent if there was no such value.
        """
        history = self.history_by_key.get(key, [])
        earlier = history[: max(len(history) - writes_back, 0)]
        if earlier:
            self.put(key, earlier[-1].value)
        else:
            self.entries_by_key.pop(key, None)

    def _write(
        self, key: str, value: bytes, version: int
    ) -> Result[Entry, Failure]:
        if self.entries_by_key.get(key, ABSENT).version != version:
            return Err(
                Failure('version_mismatch', 'the version changed', Step.SWAP)
            )
        return Ok(self.put(key, value))

    async def _next_fault(self, name: str) -> Fault | None:
        self.calls.append(name)
        hook = self.hooks_by_call.pop(len(self.calls), None)
        if hook is not None:
            await hook()
        if self.is_down:
            return Fault.DOWN
        return self.faults.popleft() if self.faults else None


def _failure(fault: Any, step: Step) -> Failure:
    code = 'key_value_timeout'
    if fault is Fault.DOWN:
        code = 'key_value_unreachable'
    return Failure(
        code, f'fault {fault.value}', step, execution=Execution.UNKNOWN
    )
