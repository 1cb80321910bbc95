"""Curio kernels: real time for services, fake time for tests."""

from typing import Any

import curio

from clementinebank.clock._clock import pop_fake_clock, push_fake_clock
from clementinebank.clock._fake import FakeClock, FakeClockSelector


def run_service(corofunc: Any, *call_args: Any) -> Any:
    """Run a coroutine function in a kernel and return its result.

    Each task has its own ``contextvars`` context. curio's default tasks share
    one, in which eliot would mix the actions of concurrent requests.
    """
    with curio.Kernel(taskcls=curio.task.ContextTask) as kernel:
        return kernel.run(corofunc, *call_args)


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
