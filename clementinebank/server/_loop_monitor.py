"""Detection of process pauses and of delays of the loop."""

from collections.abc import Callable

import attrs
import curio
from eliot import log_message, write_traceback

from clementinebank.clock import now

TICK_INTERVAL_S = 0.25
# A longer gap means that leases and heartbeats may have expired unnoticed.
PAUSE_LIMIT_S = 2.0

OnPause = Callable[[float], None]
OnDelay = Callable[[float], None]


@attrs.define
class PauseDetector:
    """Recognises a jump of the loop's clock between two observations.

    Parameters
    ----------
    limit_s : float
        Shortest gap that counts as a pause, in seconds.
    """

    limit_s: float = PAUSE_LIMIT_S
    last_seen: float | None = None

    def observe(self, now: float) -> float:
        """Return the length of a pause that ends now, else 0."""
        gap_s = 0 if self.last_seen is None else now - self.last_seen
        self.last_seen = now
        return gap_s if gap_s > self.limit_s else 0


@attrs.define(eq=False)
class LoopMonitor:
    """Ticks, measures the delay of the loop and reports pauses.

    Parameters
    ----------
    on_delay : callable
        Receives the delay of each tick in seconds.
    """

    on_delay: OnDelay
    pauses: int = 0
    _detector: PauseDetector = attrs.Factory(PauseDetector)
    _callbacks: list[OnPause] = attrs.Factory(list)

    def on_pause(self, callback: OnPause) -> None:
        """Register a callback that receives the pause in seconds.

        It must not wait. It runs before the next request is handled.
        """
        self._callbacks.append(callback)

    def check(self) -> None:
        """Report a pause at once, before state from before it is used.

        After a pause the runtime may run any task first, so whoever acts on
        such state calls this beforehand.
        """
        pause_s = self._detector.observe(now())
        if not pause_s:
            return
        self.pauses += 1
        log_message(message_type='process:paused', seconds=pause_s)
        for callback in self._callbacks:
            try:
                callback(pause_s)
            except Exception:
                write_traceback()

    async def run(self) -> None:
        """Tick until the task is cancelled."""
        while True:
            due = now() + TICK_INTERVAL_S
            self.check()
            await curio.sleep(TICK_INTERVAL_S)
            self.on_delay(max(0, now() - due))
