"""Turns of a task on the event loop while it reads input."""

from typing import Any

import attrs
import curio

from clementinebank.clock import now

# Time after which a reading task lets the others run. Reads of a socket with
# ready bytes don't block, so a sender that never pauses would hold the event
# loop, and no timeout of the reader would fire.
MAX_TURN_S = 0.005
# Work for one request or message after which its reader goes on in the lane.
# A body of the largest legal size in large chunks takes far less.
MAX_LIGHT_WORK_S = 0.001


@attrs.define(eq=False)
class HeavyLane:
    """Lane in which readers with much work go on one after the other.

    Load pattern that it answers: many clients send input that is dear to
    parse, such as chunks of one byte. Each has only a short turn, but a round
    of all of them would take seconds. In the lane, one of them works in each
    round of the event loop.
    """

    _lock: Any = attrs.field(factory=curio.Lock)

    async def wait(self) -> None:
        """Wait until it is this reader's turn, one round at least."""
        async with self._lock:
            await curio.sleep(0)


@attrs.define(eq=False)
class ReadTurn:
    """Turn of a task on the event loop, which ends after ``MAX_TURN_S``.

    Parameters
    ----------
    lane : HeavyLane or None
        Lane in which the task goes on when it has worked for long.
    """

    lane: HeavyLane | None = None
    _started_at: float = attrs.Factory(now)
    _work_s: float = 0

    @property
    def is_heavy(self) -> bool:
        """Return whether the task goes on in the lane."""
        return self.lane is not None and self._work_s >= MAX_LIGHT_WORK_S

    def add_work(self, seconds: float) -> None:
        """Add processor time that the input has taken."""
        self._work_s += seconds

    def restart(self) -> None:
        """Begin anew, after a wait for a request."""
        self._started_at = now()
        self._work_s = 0

    async def yield_if_due(self) -> None:
        """Let other tasks run, and pending timeouts fire, if it is time."""
        if self.lane is not None and self.is_heavy:
            await self.lane.wait()
            self.restart()
        elif now() - self._started_at >= MAX_TURN_S:
            await curio.sleep(0)
            self._started_at = now()
