"""Rate limit of one leaf, as one instance knows it."""

from collections import deque

import attrs

# Time in which the requests to a limited leaf are counted, in seconds.
COUNTED_TIME_S = 4.0


@attrs.define
class LeafLimit:
    """Newest statement of a leaf, and the requests sent to it since.

    Parameters
    ----------
    per_s : float or None
        Requests a second that the leaf takes from all instances together,
        ``None`` if its limit has ended.
    stated_at : float
        Runtime time in seconds of the newest statement.
    extra_sent : int
        Hedges and retries since the last report.
    """

    per_s: float | None
    stated_at: float
    extra_sent: int = 0
    reported_at: float = 0
    _sent_at: deque[float] = attrs.Factory(deque)

    @property
    def is_limited(self) -> bool:
        """Return whether the leaf names a limit."""
        return self.per_s is not None

    def on_sent(self, now: float, *, is_extra: bool) -> None:
        """Count a request to the leaf."""
        self._sent_at.append(now)
        self.extra_sent += int(is_extra)

    def sent_count(self, now: float) -> int:
        """Return the requests of the last ``COUNTED_TIME_S`` seconds."""
        while self._sent_at and self._sent_at[0] <= now - COUNTED_TIME_S:
            self._sent_at.popleft()
        return len(self._sent_at)
