"""Latency quantiles over the most recent calls."""

from bisect import bisect_left, insort
from collections import deque

import attrs

WINDOW_CALLS = 256
# Below this number the quantile of the window is mostly noise.
MIN_CALLS = 20


@attrs.define
class LatencyWindow:
    """Sorted window of the last latencies of a group, in seconds."""

    _recent: deque[float] = attrs.Factory(deque)
    _ordered: list[float] = attrs.Factory(list)

    def add(self, latency_s: float) -> None:
        """Add one latency and forget the oldest beyond the window."""
        self._recent.append(latency_s)
        insort(self._ordered, latency_s)
        if len(self._recent) > WINDOW_CALLS:
            oldest = self._recent.popleft()
            self._ordered.pop(bisect_left(self._ordered, oldest))

    def quantile(self, share: float, fallback_s: float) -> float:
        """Return a quantile in seconds, the fallback for too few calls."""
        count = len(self._ordered)
        if count < MIN_CALLS:
            return fallback_s
        return self._ordered[min(count - 1, int(share * count))]
