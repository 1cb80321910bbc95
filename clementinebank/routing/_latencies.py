"""Latencies of the calls of one router, by group and by kind of request."""

from collections.abc import Collection

import attrs

from clementinebank.routing._quantiles import LatencyWindow

# A group that is slow as a whole is hedged at this multiple of the quantile
# of all groups: its own quantile would wait for its slowest replica.
MAX_GROUP_FACTOR = 2.0
INITIAL_LATENCY_S = 0.03
# Below this a hedge mostly repeats the variation of the links.
MIN_HEDGE_DELAY_S = 0.002
MEDIAN = 0.5
# Kinds of request whose latencies are kept; routes come and go.
MAX_PROFILES = 1000


@attrs.define(eq=False)
class Latencies:
    """Windows of the times that leafs took, without their links."""

    _of_all: LatencyWindow = attrs.Factory(LatencyWindow)
    _by_group: dict[str, LatencyWindow] = attrs.Factory(dict)
    _by_profile: dict[str, LatencyWindow] = attrs.Factory(dict)

    @property
    def median_s(self) -> float:
        """Return the median of all calls in seconds."""
        return self._of_all.quantile(MEDIAN, INITIAL_LATENCY_S)

    def retain(self, group_ids: Collection[str]) -> None:
        """Forget the groups that are not named."""
        for group_id in self._by_group.keys() - set(group_ids):
            self._by_group.pop(group_id)

    def add(self, group_id: str, profile: str, service_s: float) -> None:
        """Add the time of one call in seconds."""
        self._by_group.setdefault(group_id, LatencyWindow()).add(service_s)
        self._of_all.add(service_s)
        if not profile:
            return
        if profile not in self._by_profile:
            if len(self._by_profile) >= MAX_PROFILES:
                self._by_profile.pop(next(iter(self._by_profile)))
            self._by_profile[profile] = LatencyWindow()
        self._by_profile[profile].add(service_s)

    def of_group_s(self, group_id: str, share: float) -> float:
        """Return a quantile of a group in seconds, bounded by that of all.

        A group with few calls yet follows the other groups.
        """
        usual_s = self._of_all.quantile(share, INITIAL_LATENCY_S)
        window = self._by_group.get(group_id)
        group_s = window.quantile(share, usual_s) if window else usual_s
        return max(MIN_HEDGE_DELAY_S, min(group_s, MAX_GROUP_FACTOR * usual_s))

    def of_profile_s(
        self, profile: str, share: float, expected_s: float
    ) -> float:
        """Return a quantile of a kind of request in seconds."""
        window = self._by_profile.get(profile)
        found_s = window.quantile(share, expected_s) if window else expected_s
        return max(MIN_HEDGE_DELAY_S, found_s)

    def normalise_s(self, profile: str, service_s: float) -> float:
        """Return a time as if the request were of the average kind.

        Leafs that get different mixes of kinds would not be comparable
        otherwise.
        """
        window = self._by_profile.get(profile)
        median_s = window.quantile(MEDIAN, 0) if window else 0
        average_s = self._of_all.quantile(MEDIAN, 0)
        if not average_s or not median_s:
            return service_s
        return service_s * average_s / median_s
