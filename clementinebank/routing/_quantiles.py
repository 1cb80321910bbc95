"""Latency quantiles over the most recent calls."""

from bisect import bisect_left, insort
from collections import deque

import attrs

# Most calls in a window.
WINDOW_CALLS = 256
# With fewer calls, a quantile of the window would be mostly noise.
MIN_CALLS = 20


@attrs.define
class LatencyWindow:
    """Sliding window of the most recent latencies in seconds."""

    _recent: deque[float] = attrs.Factory(deque)
    _sorted: list[float] = attrs.Factory(list)

    def add(self, latency_s: float) -> None:
        """Add one latency and remove the oldest one from a full window."""
        self._recent.append(latency_s)
        insort(self._sorted, latency_s)
        if len(self._recent) > WINDOW_CALLS:
            oldest = self._recent.popleft()
            self._sorted.pop(bisect_left(self._sorted, oldest))

    def quantile(self, quantile: float, fallback_s: float) -> float:
        """Return a quantile of the latencies in seconds.

        Parameters
        ----------
        quantile : float
            Which quantile, 0 to 1.
        fallback_s : float
            Result in seconds if the window has too few calls.
        """
        count = len(self._sorted)
        if count < MIN_CALLS:
            return fallback_s
        return self._sorted[min(count - 1, int(quantile * count))]
