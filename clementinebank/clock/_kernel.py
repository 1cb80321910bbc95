"""Curio kernels: real time for services, fake time for tests."""

import traceback
from typing import Any

import curio
from eliot import log_message, write_traceback

from clementinebank.clock._clock import pop_fake_clock, push_fake_clock
from clementinebank.clock._fake import FakeClock, FakeClockSelector


def run_service(corofunc: Any, *call_args: Any) -> Any:
    """Run a coroutine function in a kernel and return its result.

    Each task has its own ``contextvars`` context. curio's default tasks share
    one, in which eliot would mix the actions of concurrent requests.

    An error that ends the kernel is logged with the task that ran last.
    """
    try:
        with curio.Kernel(taskcls=curio.task.ContextTask) as kernel:
            return kernel.run(corofunc, *call_args)
    except Exception as error:
        write_traceback()
        log_message(
            message_type='process:failed',
            task=_name_of_last_task(error),
            reason=repr(error),
        )
        raise


def _name_of_last_task(error: BaseException) -> str:
    """Return the name of the task that curio's kernel ran, if it is known."""
    tasks = [
        frame.f_locals.get('active')
        for frame, _ in traceback.walk_tb(error.__traceback__)
        if frame.f_globals.get('__name__') == curio.kernel.__name__
    ]
    names = [task.name for task in tasks if task is not None]
    return names[-1] if names else ''


class FakeClockKernel:
    """Curio kernel on a fake clock, for tests and simulations.

    Sleeps and timeouts take no real time: the clock jumps to the next timer.

    Examples
    --------
    >>> import curio
    >>> with FakeClockKernel() as kernel:
    ...     _ = kernel.run(curio.sleep, 3600)
    ...     kernel.clock.monotonic_s >= 4600
    True
    """

    def __init__(self) -> None:
        """Create the clock and the kernel."""
        self.clock = FakeClock()
        self._kernel = curio.Kernel(
            selector=FakeClockSelector(self.clock),
            taskcls=curio.task.ContextTask,
        )
        self._real_time: Any = None

    def __enter__(self) -> 'FakeClockKernel':
        """Install the fake clock in curio and enter the kernel."""
        self._real_time = curio.kernel.time
        curio.kernel.time = self.clock
        push_fake_clock(self.clock)
        self._kernel.__enter__()
        return self

    def __exit__(self, *exc_info: Any) -> None:
        """Stop the kernel and restore the real clock."""
        try:
            self._kernel.__exit__(*exc_info)
        finally:
            pop_fake_clock()
            curio.kernel.time = self._real_time

    def run(self, corofunc: Any, *call_args: Any) -> Any:
        """Run a coroutine function on the fake clock and return its result."""
        return self._kernel.run(corofunc, *call_args)
