"""Fake clock that advances only when the curio kernel would wait."""

import selectors
from typing import Any

import attrs

FAKE_EPOCH_S = 1_800_000_000.0


@attrs.define
class FakeClock:
    """Replacement of the ``time`` module inside the curio kernel.

    Parameters
    ----------
    monotonic_s : float
        Current monotonic time in seconds.
    """

    monotonic_s: float = 1000.0

    def monotonic(self) -> float:
        """Return the fake monotonic time in seconds."""
        return self.monotonic_s

    def time(self) -> float:
        """Return the fake Unix time in seconds."""
        return self.wall_time()

    def wall_time(self) -> float:
        """Return the fake Unix time in seconds."""
        return FAKE_EPOCH_S + self.monotonic_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.monotonic_s += seconds


class FakeClockSelector(selectors.DefaultSelector):
    """Selector that advances a fake clock instead of waiting."""

    def __init__(self, fake: FakeClock) -> None:
        """Create a selector that advances the given clock."""
        super().__init__()
        self._fake = fake

    def select(self, timeout: float | None = None) -> list[Any]:
        """Return the ready events, or advance the clock if there are none.

        Without a timeout no timer is pending, so the call blocks in real time
        until an event is ready.
        """
        ready = super().select(0)
        if ready or timeout is None:
            return ready or super().select(timeout)
        self._fake.advance(max(timeout, 0))
        return ready
