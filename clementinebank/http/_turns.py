"""Turns of a task that reads input without a wait."""

import attrs
import curio

from clementinebank.clock import now

# Time after which a reading task lets the others run. Reads of a socket with
# ready bytes don't block, so a sender that never pauses would hold the event
# loop, and no timeout of the reader would fire.
MAX_TURN_S = 0.005


@attrs.define(eq=False)
class ReadTurn:
    """Turn of a task on the event loop, which ends after ``MAX_TURN_S``."""

    _started_at: float = attrs.Factory(now)

    async def yield_if_due(self) -> None:
        """Let other tasks run, and pending timeouts fire, if it is time."""
        if now() - self._started_at >= MAX_TURN_S:
            await curio.sleep(0)
            self._started_at = now()
