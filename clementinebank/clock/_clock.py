"""Monotonic and wall-clock time of the curio runtime."""

import curio

from clementinebank.clock._fake import FakeClock

_FAKE_CLOCKS: list[FakeClock] = []


def now() -> float:
    """Return the monotonic time in seconds, of the fake clock if installed."""
    return float(curio.kernel.time.monotonic())


def wall_time() -> float:
    """Return the Unix time in seconds, of the fake clock if installed."""
    if _FAKE_CLOCKS:
        return _FAKE_CLOCKS[-1].wall_time()
    return float(curio.kernel.time.time())


def push_fake_clock(fake: FakeClock) -> None:
    """Make a fake clock the source of ``wall_time`` until it is removed."""
    _FAKE_CLOCKS.append(fake)


def pop_fake_clock() -> None:
    """Remove the fake clock that was added last."""
    _FAKE_CLOCKS.pop()
