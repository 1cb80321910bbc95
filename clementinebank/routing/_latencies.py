"""Service times of the calls of one router, by group and kind of request."""

from collections.abc import Collection

import attrs

from clementinebank.routing._quantiles import LatencyWindow

# The quantile of a group is bounded by this multiple of that of all groups. In
# a group that is slow as a whole, hedges would otherwise wait as long as its
# slowest replica takes.
MAX_GROUP_FACTOR = 2.0
# Quantile that is assumed before enough calls have ended.
INITIAL_LATENCY_S = 0.03
# A shorter hedge delay would mostly react to the variation of the links.
MIN_HEDGE_DELAY_S = 0.002
MEDIAN = 0.5
# Kinds of request for which latencies are kept. Routes are added and removed,
# so the oldest kinds are dropped.
MAX_PROFILES = 1000


@attrs.define(eq=False)
class Latencies:
    """Windows of recent service times, without the link delays."""

    _all_calls: LatencyWindow = attrs.Factory(LatencyWindow)
    _by_group: dict[str, LatencyWindow] = attrs.Factory(dict)
    _by_profile: dict[str, LatencyWindow] = attrs.Factory(dict)

    @property
    def median_s(self) -> float:
        """Return the median service time of all calls in seconds."""
        return self._all_calls.quantile(MEDIAN, INITIAL_LATENCY_S)

    def retain(self, group_ids: Collection[str]) -> None:
        """Remove the windows of groups that are not in `group_ids`."""
        for group_id in self._by_group.keys() - set(group_ids):
            self._by_group.pop(group_id)

    def add(self, group_id: str, profile: str, service_s: float) -> None:
        """Add the service time of one call in seconds.

        With an empty `profile` it counts for its group and for all calls only.
        """
        self._by_group.setdefault(group_id, LatencyWindow()).add(service_s)
        self._all_calls.add(service_s)
        if not profile:
            return
        if profile not in self._by_profile:
            if len(self._by_profile) >= MAX_PROFILES:
                self._by_profile.pop(next(iter(self._by_profile)))
            self._by_profile[profile] = LatencyWindow()
        self._by_profile[profile].add(service_s)

    def group_quantile_s(self, group_id: str, quantile: float) -> float:
        """Return a quantile of the service times of a group in seconds.

        It is bounded by a multiple of the quantile of all calls, which is also
        used for a group that has had too few calls.

        Parameters
        ----------
        group_id : str
            The group.
        quantile : float
            Which quantile, 0 to 1.
        """
        overall_s = self._all_calls.quantile(quantile, INITIAL_LATENCY_S)
        window = self._by_group.get(group_id)
        group_s = window.quantile(quantile, overall_s) if window else overall_s
        return max(
            MIN_HEDGE_DELAY_S, min(group_s, MAX_GROUP_FACTOR * overall_s)
        )

    def profile_quantile_s(
        self, profile: str, quantile: float, expected_s: float
    ) -> float:
        """Return a quantile of the service times of a kind in seconds.

        Parameters
        ----------
        profile : str
            The kind of request.
        quantile : float
            Which quantile, 0 to 1.
        expected_s : float
            Result in seconds for a kind that has had too few calls.
        """
        window = self._by_profile.get(profile)
        profile_s = (
            window.quantile(quantile, expected_s) if window else expected_s
        )
        return max(MIN_HEDGE_DELAY_S, profile_s)

    def normalise_s(self, profile: str, service_s: float) -> float:
        """Return a service time without the effect of the kind of request.

        It is multiplied by the median of all calls and divided by the median
        of the kind. Otherwise leafs that get different mixes of kinds could
        not be compared.

        Parameters
        ----------
        profile : str
            Kind of the request.
        service_s : float
            Its service time in seconds; returned unchanged while there are
            too few calls for a median.
        """
        window = self._by_profile.get(profile)
        profile_median_s = window.quantile(MEDIAN, 0) if window else 0
        overall_median_s = self._all_calls.quantile(MEDIAN, 0)
        if not overall_median_s or not profile_median_s:
            return service_s
        return service_s * overall_median_s / profile_median_s
