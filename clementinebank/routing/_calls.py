"""Effect of calls and status reports on the state of the leafs."""

from math import inf

from clementinebank.invariants import check, invariant
from clementinebank.routing._hedge_delays import HedgeDelays
from clementinebank.routing._leaf_state import LeafState
from clementinebank.routing._outcomes import CallOutcome
from clementinebank.upstream import LeafStatus

# A reply is slow if it takes more than this many times as long as the fastest
# other leaf of the group does, with the link delays of both included.
OUTLIER_FACTOR = 3.0
SLOW_REPLY_MARGIN_S = 0.005
# Greatest random part that is added to a time for which a leaf wants nothing,
# as a share of that time.
TURNED_AWAY_SPREAD = 0.1


@invariant('no-new-work-for-draining-leaf', 'R6')
def _is_not_draining(leaf: LeafState) -> bool:
    return not leaf.is_draining


class CallRecords(HedgeDelays):
    """Record of the calls to every leaf."""

    __slots__ = ()

    def on_sent(
        self,
        leaf_id: str,
        now: float,
        request_id: str = '',
        *,
        is_extra: bool = False,
    ) -> None:
        """Count a request that is sent to the leaf as in flight."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        check('no-new-work-for-draining-leaf', request_id, leaf=leaf)
        leaf.on_sent(now)
        self.limits.on_sent(leaf_id, now, is_extra=is_extra)
        key = self.limit_key(leaf_id, now)
        if key != leaf_id:
            self.limits.on_sent(key, now, is_extra=is_extra)
        if self.placement is not None and not is_extra:
            self.placement.on_placed(
                self.group_of(leaf_id), self.prices_by_leaf.get(leaf_id, 0)
            )

    def on_end(
        self,
        leaf_id: str,
        now: float,
        elapsed_s: float,
        outcome: CallOutcome,
        profile: str = '',
    ) -> None:
        """Record the end of a request in the state of its leaf.

        Parameters
        ----------
        leaf_id : str
            Leaf that was called; an unknown one is ignored.
        now : float
            Runtime time in seconds.
        elapsed_s : float
            Time from the send to the end in seconds, with the link.
        outcome : CallOutcome
            How the call ended.
        profile : str
            Kind of request; empty if kinds are not distinguished.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        if outcome is CallOutcome.GOOD:
            self._add_latency(leaf, elapsed_s, profile)
            self._record_response(leaf_id, elapsed_s, now)
        slow_bound_s = self._slow_bound_s(leaf, profile)
        if profile:
            service_s = max(0, elapsed_s - leaf.round_trip_s)
            elapsed_s = leaf.round_trip_s + self.latencies.normalise_s(
                profile, service_s
            )
        leaf.on_end(now, elapsed_s, outcome, slow_bound_s)

    def _record_response(
        self, leaf_id: str, elapsed_s: float, now: float
    ) -> None:
        if self.placement is not None:
            self.placement.on_response(
                self.group_of(leaf_id),
                self.prices_by_leaf.get(leaf_id, 0),
                elapsed_s,
                now,
            )

    def on_cancel(
        self,
        leaf_id: str,
        now: float,
        elapsed_s: float,
        attempt_id: str = '',
        profile: str = '',
    ) -> bool:
        """Record that the answer to a request is no longer needed.

        The request was overtaken if it took longer than its hedge delay. The
        caller must still report its end with `on_end`.

        Returns
        -------
        bool
            Whether the request should continue instead of being cancelled, so
            that its end shows when the leaf answers again.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return False
        was_overtaken = elapsed_s > self.hedge_delay_s(leaf_id, profile)
        is_tracked = was_overtaken and self.policy.avoids_overtaken_leafs
        if is_tracked and leaf.start_overtaken_call(now, attempt_id):
            return True
        if was_overtaken:
            # A window of only the fastest attempts would underestimate the
            # latencies, so the time of an overtaken one is added as well.
            self._add_latency(leaf, elapsed_s, profile)
        if self.policy.avoids_overtaken_leafs:
            return False
        leaf.on_cancel(now, elapsed_s, was_overtaken=was_overtaken)
        return False

    def on_turned_away(
        self, leaf_id: str, retry_after_s: float, now: float
    ) -> None:
        """Record that a leaf wants nothing from this instance for a time.

        Parameters
        ----------
        leaf_id : str
            Leaf that responded; an unknown one is ignored.
        retry_after_s : float
            Time in seconds that it has named. A random part is added, because
            the leaf may have named the same time to many instances.
        now : float
            Runtime time in seconds.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None or retry_after_s <= 0:
            return
        spread = 1 + TURNED_AWAY_SPREAD * self.rng.random()
        leaf.turn_away(now, retry_after_s * spread)
        self._turned_away_until = max(
            self._turned_away_until, leaf.turned_away_until
        )

    def on_overdue(self, leaf_id: str, now: float, attempt_id: str) -> None:
        """Record that a call has outlasted its hedge delay.

        If the policy avoids overtaken leafs, the leaf gets no further requests
        until this call ends, as if another leaf had answered first.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None and self.policy.avoids_overtaken_leafs:
            leaf.start_overtaken_call(now, attempt_id)

    def end_overtaken_call(self, leaf_id: str, attempt_id: str) -> bool:
        """Allow new requests to the leaf if this attempt was overtaken.

        Returns
        -------
        bool
            Whether this attempt was the leaf's overtaken call.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        return leaf is not None and leaf.end_overtaken_call(attempt_id)

    def on_invalid_reply(self, leaf_id: str, now: float) -> None:
        """Count an unusable reply or a lost status probe as a failure."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            leaf.on_failure(now)

    def on_status(
        self,
        leaf_id: str,
        now: float,
        status: LeafStatus,
        requested_at: float | None = None,
    ) -> None:
        """Record the status that a leaf reported.

        Parameters
        ----------
        leaf_id : str
            Leaf that reported; an unknown one is ignored.
        now : float
            Runtime time in seconds.
        status : LeafStatus
            Reported status.
        requested_at : float or None
            Runtime time at which the status was requested, ``None`` for now.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            request_time = now if requested_at is None else requested_at
            leaf.on_status(now, request_time, status)

    def _slow_bound_s(self, leaf: LeafState, profile: str = '') -> float:
        """Return the seconds above which a reply of the leaf is slow.

        The link delays are included, so that a far leaf is not slow because of
        its link, and a near one is not slow while it answers about as fast as
        its peers do over their links.
        """
        if profile:
            factor = self.policy.ejection_policy.slow_factor
            return leaf.round_trip_s + factor * self.latencies.median_s
        peers = self._peers(leaf)
        fastest_service_s = min((peer.service_s for peer in peers), default=inf)
        bound_s = max(
            OUTLIER_FACTOR * self._fastest_peer_s(leaf),
            leaf.round_trip_s + OUTLIER_FACTOR * fastest_service_s,
        )
        return bound_s + SLOW_REPLY_MARGIN_S

    def _add_latency(
        self, leaf: LeafState, elapsed_s: float, profile: str
    ) -> None:
        service_s = max(0, elapsed_s - leaf.round_trip_s)
        group_id = self._group_id_by_leaf[leaf.leaf_id]
        self.latencies.add(group_id, profile, service_s)
