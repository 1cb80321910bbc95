"""Raises an error at a chosen wait of a task."""

import types

import attrs

# Waits of curio at which a task gives up the processor.
WAITS = frozenset(('trap_io', 'trap_sleep', 'trap_sched_wait'))


class UnexpectedError(Exception):
    """An error that no code expects."""


@attrs.define
class Injection:
    """Raises an error in place of the wait with number ``at``."""

    at: int
    error: BaseException
    count: int = 0
    is_done: bool = False

    @types.coroutine
    def run(self, coroutine):
        """Run a coroutine, whose waits are counted."""
        step = coroutine.send
        passed = None
        while True:
            try:
                trap = step(passed)
            except StopIteration as stop:
                return stop.value
            self.count += trap[0] in WAITS
            if not self.is_done and self.count == self.at:
                self.is_done = True
                step, passed = coroutine.throw, self.error
                continue
            try:
                step, passed = coroutine.send, (yield trap)
            except BaseException as error:
                step, passed = coroutine.throw, error

    def wrap(self, method):
        """Return a method whose first call is run with this injection."""
        is_used = []

        async def wrapped(*arguments):
            if is_used:
                return await method(*arguments)
            is_used.append(True)
            return await self.run(method(*arguments))

        return wrapped
