"""Access to the clock of the curio runtime."""

import curio

from clementinebank.clock._fake import FakeClock

_FAKE_CLOCKS: list[FakeClock] = []


def now() -> float:
    """Return the time of the runtime's monotonic clock in seconds."""
    return float(curio.kernel.time.monotonic())


def wall_time() -> float:
    """Return the Unix time in seconds, from the fake clock under test."""
    if _FAKE_CLOCKS:
        return _FAKE_CLOCKS[-1].wall_time()
    return float(curio.kernel.time.time())


def push_fake_clock(fake: FakeClock) -> None:
    """Make a fake clock the source of the wall time."""
    _FAKE_CLOCKS.append(fake)


def pop_fake_clock() -> None:
    """Remove the fake clock that was set last."""
    _FAKE_CLOCKS.pop()
