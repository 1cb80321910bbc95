"""Time after which a call to a leaf is hedged."""

from clementinebank.routing._latencies import INITIAL_LATENCY_S
from clementinebank.routing._replicas import Replicas

# With this many saved tokens, or a full bucket if it holds fewer, a hedge is
# sent after the shortest delay.
MIN_HEDGE_DELAY_TOKENS = 20
# A call is not hedged before this multiple of the leaf's average service time:
# up to there, a hedge to a farther data centre would seldom answer first.
SERVICE_TIME_SPREAD_FACTOR = 1.5


class HedgeDelays(Replicas):
    """Hedge delays of the calls, shorter the more tokens are saved."""

    __slots__ = ()

    def hedge_delay_s(
        self,
        leaf_id: str,
        profile: str = '',
        expected_s: float = INITIAL_LATENCY_S,
    ) -> float:
        """Return the seconds after which a call to the leaf is hedged.

        The delay is shorter while more tokens of the budget are saved.

        Parameters
        ----------
        leaf_id : str
            The leaf that is called.
        profile : str
            Kind of request, whose latencies over all groups set the delay, so
            that slow kinds do not delay the hedges of quick ones. If it is
            empty, the latencies of the leaf's group set the delay.
        expected_s : float
            Usual service time in seconds of a kind with too few calls for a
            quantile.
        """
        leaf = self.leafs_by_id[leaf_id]
        budget = self.budget_of(self._group_id_by_leaf[leaf_id])
        saved_share = min(
            1, budget.tokens / min(MIN_HEDGE_DELAY_TOKENS, budget.capacity)
        )
        scarce_factor = self.policy.scarce_hedge_factor
        factor = scarce_factor - saved_share * (
            scarce_factor - self.policy.full_hedge_factor
        )
        quantile = self.policy.hedge_quantile
        if profile:
            profile_s = self.latencies.profile_quantile_s(
                profile, quantile, expected_s
            )
            return leaf.round_trip_s + factor * profile_s
        # Once the fastest peer could have answered a call of its own, waiting
        # for this leaf no longer saves time.
        service_bound_s = min(
            SERVICE_TIME_SPREAD_FACTOR * leaf.service_s,
            self._fastest_peer_s(leaf),
        )
        group_s = self.latencies.group_quantile_s(
            self._group_id_by_leaf[leaf_id], quantile
        )
        return leaf.round_trip_s + factor * max(group_s, service_bound_s)
