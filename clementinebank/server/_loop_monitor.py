"""Detection of pauses of the process and delays of the event loop."""

from collections.abc import Callable

import attrs
import curio
from eliot import log_message, write_traceback

from clementinebank.clock import now

# Interval at which the delay of the event loop is measured.
TICK_INTERVAL_S = 0.25
# A longer gap between two checks counts as a pause of the process: leases and
# heartbeats may have expired in it unnoticed.
PAUSE_LIMIT_S = 2.0

OnPause = Callable[[float], None]
OnDelay = Callable[[float], None]


@attrs.define
class PauseDetector:
    """Recognises a pause by a long gap between two observations of the clock.

    Parameters
    ----------
    limit_s : float
        A gap longer than this counts as a pause, in seconds.
    last_observed_at : float or None
        Time of the last observation, in seconds of the runtime's clock.
    """

    limit_s: float = PAUSE_LIMIT_S
    last_observed_at: float | None = None

    def observe(self, now: float) -> float:
        """Return the seconds since the last observation if they are a pause.

        Returns 0 if the gap is within the limit and on the first observation.
        """
        gap_s = (
            0 if self.last_observed_at is None else now - self.last_observed_at
        )
        self.last_observed_at = now
        return gap_s if gap_s > self.limit_s else 0


@attrs.define(eq=False)
class LoopMonitor:
    """Measures delays of the event loop and reports pauses of the process.

    Parameters
    ----------
    on_delay : callable
        Receives, for each tick, how much later than due the loop resumed the
        task, in seconds.
    pauses : int
        Number of pauses since the start.
    """

    on_delay: OnDelay
    pauses: int = 0
    _pause_detector: PauseDetector = attrs.Factory(PauseDetector)
    _pause_callbacks: list[OnPause] = attrs.Factory(list)

    def on_pause(self, callback: OnPause) -> None:
        """Register a callback that receives the length of a pause in seconds.

        It is a plain function that must not block. It runs after the pause,
        before the next request is handled.
        """
        self._pause_callbacks.append(callback)

    def check_pause(self) -> None:
        """Call the registered callbacks if a pause has just ended.

        After a pause the runtime may resume any task before the next tick.
        Code that relies on leases, heartbeats or other state that may have
        expired in a pause therefore calls this method first.
        """
        pause_s = self._pause_detector.observe(now())
        if not pause_s:
            return
        self.pauses += 1
        log_message(message_type='process:paused', seconds=pause_s)
        for callback in self._pause_callbacks:
            try:
                callback(pause_s)
            except Exception:
                write_traceback()

    async def run(self) -> None:
        """Check for pauses and measure the loop's delay until cancelled."""
        while True:
            due_at = now() + TICK_INTERVAL_S
            self.check_pause()
            await curio.sleep(TICK_INTERVAL_S)
            self.on_delay(max(0, now() - due_at))
