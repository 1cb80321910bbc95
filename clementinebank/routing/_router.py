"""Choice of the replica that gets a shard request."""

import random
from collections.abc import Collection, Iterable, Mapping
from math import inf

import attrs

from clementinebank.invariants import check, invariant
from clementinebank.ratelimit import (
    LimitStatement,
    LimitTable,
    NamedLimit,
    WaitingRequests,
)
from clementinebank.routing._budget import (
    DEFAULT_BUCKET_CAPACITY,
    ExtraLoadBudget,
)
from clementinebank.routing._latencies import INITIAL_LATENCY_S, Latencies
from clementinebank.routing._leaf_state import CallOutcome, LeafState
from clementinebank.routing._policy import RoutingPolicy
from clementinebank.routing._topology import Topology
from clementinebank.upstream import LeafStatus

MS_PER_S = 1000
# With this many saved tokens, or a full bucket if it holds fewer, a hedge is
# sent after the shortest delay.
MIN_HEDGE_DELAY_TOKENS = 20
# A call is not hedged before this multiple of the leaf's average service time:
# up to there, a hedge to a farther data centre would seldom answer first.
SERVICE_TIME_SPREAD_FACTOR = 1.5

# A reply is slow if it takes more than this many times as long as the fastest
# other leaf of the group does, with the link delays of both included.
OUTLIER_FACTOR = 3.0
SLOW_REPLY_MARGIN_S = 0.005

# Slots of each leaf that a request which can wait leaves to other instances.
# Waiting in this instance costs nothing, whereas a request that a full leaf
# refuses is retried, which costs a token of the extra-load budget.
SLOTS_FOR_OTHER_INSTANCES = 1


@invariant('no-new-work-for-draining-leaf', 'R6')
def _is_not_draining(leaf: LeafState) -> bool:
    return not leaf.is_draining


@attrs.define
class Router:
    """Selector of the replicas that get the requests of one service.

    The router keeps the state of every leaf, the latencies of the calls and
    the budget of the extra requests.

    Parameters
    ----------
    service : Topology
        Groups of leafs, for example a service of the document.
    rng : random.Random
        Source of the random choices.
    delays_s_by_leaf : mapping of str to float
        One-way link delay of each leaf in seconds.
    connections_per_instance : int
        Connections of this instance to each leaf.
    policy : RoutingPolicy
        When to hedge and how to treat leafs with overtaken calls.
    leafs_by_id : dict of str to LeafState
        State of every leaf of the service.
    budget : ExtraLoadBudget
        Budget of the groups that have none in `budgets_by_group`.
    budgets_by_group : dict of str to ExtraLoadBudget
        Budgets of groups that do not share that of the service.
    waiting_by_group : dict of str to int
        Number of requests of this instance that wait for a free leaf.
    regions_by_leaf : mapping of str to str
        Region of each leaf, for requests that only some regions may run.
    latencies : Latencies
        Recent service times of the leafs.
    limits : LimitTable
        Rate limits that leafs have named; by default a table that shares the
        source of random choices.
    """

    service: Topology
    rng: random.Random = attrs.Factory(random.Random)
    delays_s_by_leaf: Mapping[str, float] = attrs.Factory(dict)
    connections_per_instance: int = 3
    policy: RoutingPolicy = RoutingPolicy()
    leafs_by_id: dict[str, LeafState] = attrs.Factory(dict)
    budget: ExtraLoadBudget = attrs.field(init=False)
    budgets_by_group: dict[str, ExtraLoadBudget] = attrs.Factory(dict)
    waiting_by_group: dict[str, int] = attrs.Factory(dict)
    regions_by_leaf: Mapping[str, str] = attrs.Factory(dict)
    latencies: Latencies = attrs.Factory(Latencies)
    limits: LimitTable = attrs.field()
    _group_id_by_leaf: dict[str, str] = attrs.Factory(dict)

    @limits.default
    def _create_limits(self) -> LimitTable:
        return LimitTable(rng=self.rng)

    def __attrs_post_init__(self) -> None:
        """Create the budget and the state of every leaf."""
        # A query that moves to another snapshot is sent to every group again
        # and pays a token for each, so the bucket must hold that many.
        group_count = len(self.service.groups_by_id)
        self.budget = ExtraLoadBudget(
            self.service.extra_load,
            max(DEFAULT_BUCKET_CAPACITY, 2 * group_count),
        )
        self.limits.waiting = self._waiting_requests
        self._rebuild_leafs(None)

    def update_service(
        self,
        service: Topology,
        now: float,
        delays_s_by_leaf: Mapping[str, float],
        connections_per_instance: int,
    ) -> None:
        """Apply a new revision of the service.

        Leafs that stay keep their state, leafs that are added start cold.

        Parameters
        ----------
        service : Topology
            Groups of the new revision.
        now : float
            Runtime time in seconds.
        delays_s_by_leaf : mapping of str to float
            One-way link delay of each leaf in seconds.
        connections_per_instance : int
            Connections of this instance to each leaf.
        """
        self.service = service
        self.delays_s_by_leaf = delays_s_by_leaf
        self.connections_per_instance = connections_per_instance
        self.budget.ratio = service.extra_load
        self._rebuild_leafs(now)

    def group_of(self, leaf_id: str) -> str:
        """Return the group of a leaf, empty if the leaf isn't known."""
        return self._group_id_by_leaf.get(leaf_id, '')

    def leafs_outside(
        self, group_id: str, regions: Collection[str] | None
    ) -> set[str]:
        """Return the leafs of a group that are in none of the regions.

        Parameters
        ----------
        group_id : str
            Group of the leafs.
        regions : collection of str or None
            Regions that may run a request; ``None`` allows all.
        """
        group = self.service.groups_by_id.get(group_id)
        if regions is None or group is None:
            return set()
        return {
            leaf_id
            for leaf_id in group.leafs_by_id
            if self.regions_by_leaf.get(leaf_id) not in regions
        }

    def budget_of(self, group_id: str) -> ExtraLoadBudget:
        """Return the budget from which extra requests of a group are paid."""
        return self.budgets_by_group.get(group_id, self.budget)

    def choose(
        self,
        group_id: str,
        now: float,
        excluded: Collection[str] = (),
        remaining_s: float = inf,
        *,
        may_wait: bool = False,
        is_extra: bool = False,
        is_repeated: bool = False,
    ) -> str | None:
        """Return the id of the replica that should get the next request.

        The nearest leaf with room is compared with randomly chosen ones, and
        the one with the shortest expected time is returned.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        now : float
            Runtime time in seconds.
        excluded : collection of str
            Leafs that may not be chosen.
        remaining_s : float
            Time left in seconds; a leaf whose round trip alone takes as long
            is not chosen.
        may_wait : bool
            Whether the request can wait. It then leaves a slot of each leaf
            to other instances, and gets ``None`` if a busy leaf is expected
            to answer before those that have room.
        is_extra : bool
            Whether another leaf has the request already. It is then not sent
            to a leaf that names a rate limit.
        is_repeated : bool
            Whether the choice was made before for the same request and found
            no leaf. It then adds no demand to a leaf that names a rate limit.

        Returns
        -------
        str or None
            Leaf id; ``None`` if no leaf has room or waiting is faster.
        """
        usable = [
            leaf
            for leaf in self._usable_leafs(group_id, remaining_s)
            if leaf.leaf_id not in excluded
            and not (is_extra and self.limits.limit_of(leaf.leaf_id))
        ]
        eligible = [leaf for leaf in usable if self._may_get_request(leaf, now)]
        max_own_slots = max(1, self.service.slots - SLOTS_FOR_OTHER_INSTANCES)
        limit = max_own_slots if may_wait else inf
        # If no leaf is eligible, the request goes to one of the others, so that
        # the group still answers.
        candidates = eligible or usable
        with_room = [leaf for leaf in candidates if leaf.has_room(now, limit)]
        if not with_room and self.policy.avoids_overtaken_leafs:
            with_room = [leaf for leaf in usable if leaf.has_room(now)]
        if not with_room:
            return None
        chosen = self._cheapest_of_sample(with_room, now)
        if not self.limits.may_send(chosen.leaf_id, now):
            with_room = self._with_token(with_room, usable, now)
            if not is_repeated:
                self.limits.on_missed(
                    chosen.leaf_id, now, is_waiting=not with_room
                )
            if not with_room:
                return None
            chosen = self._cheapest_of_sample(with_room, now)
        if may_wait and self._is_wait_shorter(chosen, candidates, now):
            return None
        return chosen.leaf_id

    def refusal_wait_s(
        self, group_id: str, leaf_id: str, excluded: Collection[str]
    ) -> float | None:
        """Return how long to wait before a leaf that refused is tried again.

        Waiting can be faster than another replica: a near leaf with few slots
        often refuses, but only for a moment, while a request to a far replica
        takes a round trip between data centres.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        leaf_id : str
            Leaf that refused.
        excluded : collection of str
            Leafs that may not be chosen instead.

        Returns
        -------
        float or None
            Seconds to wait; ``None`` if another replica is expected to answer
            sooner or the leaf refused repeatedly.
        """
        refusing = self.leafs_by_id.get(leaf_id)
        wait_s = refusing.refusal_wait_s() if refusing else None
        if refusing is None or wait_s is None:
            return None
        alternatives_s = [
            leaf.average_reply_s
            for leaf in self._usable_leafs(group_id, inf)
            if not leaf.is_ejected
            and leaf is not refusing
            and leaf.leaf_id not in excluded
        ]
        expected_s = refusing.average_reply_s + wait_s
        return wait_s if expected_s < min(alternatives_s, default=inf) else None

    def probe_target(self, group_id: str, now: float) -> str | None:
        """Return the id of an ejected replica to probe now, or ``None``."""
        if self.policy.avoids_overtaken_leafs:
            # An ordinary request tests the leaf instead of a probe, see
            # `_may_get_request`; it is hedged if the leaf is slow.
            return None
        for leaf in self._usable_leafs(group_id, inf):
            is_free = leaf.in_flight == 0 and leaf.is_probe_due(now)
            if is_free and not self.limits.limit_of(leaf.leaf_id):
                return leaf.leaf_id
        return None

    def has_leaf_in_time(
        self, group_id: str, remaining_s: float, excluded: Collection[str] = ()
    ) -> bool:
        """Return whether the group has a replica that can answer in time.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        remaining_s : float
            Time left in seconds.
        excluded : collection of str
            Leafs that may not be chosen.
        """
        return any(
            leaf.min_reply_s < remaining_s
            for leaf in self._usable_leafs(group_id, remaining_s)
            if leaf.leaf_id not in excluded
        )

    def expected_wait_s(self, group_id: str, now: float) -> float:
        """Return how long a new request will wait for a free leaf, in seconds.

        The requests that already wait are divided by the rate at which the
        leafs of the group answer; the result is 0 if none waits.
        """
        waiting = self.waiting_by_group.get(group_id, 0)
        leafs = self._usable_leafs(group_id, inf)
        if not waiting or not leafs:
            return 0
        calls_per_s = sum(
            max(1, leaf.limit) / (leaf.round_trip_s + leaf.service_s)
            for leaf in leafs
        )
        return waiting / calls_per_s

    def has_token(self, group_id: str, now: float) -> bool:
        """Return whether the rate limits permit a request to the group."""
        leafs = self._usable_leafs(group_id, inf)
        return not leafs or any(
            self.limits.may_send(leaf.leaf_id, now) for leaf in leafs
        )

    def token_wait_s(self, group_id: str, now: float) -> float:
        """Return how long a new request waits for a rate-limited leaf.

        Returns
        -------
        float
            Seconds until all requests of this instance that wait for the group
            and one more can have got a token; 0 if a leaf names no limit or
            the rate of the tokens isn't known yet.
        """
        return self.limits.wait_s(
            [leaf.leaf_id for leaf in self._usable_leafs(group_id, inf)],
            self.waiting_by_group.get(group_id, 0),
            now,
        )

    def next_token_s(self, group_id: str, now: float) -> float:
        """Return the seconds until a new request to the group has a token.

        It is 0 if the rate limits permit a request now, or the rate of the
        tokens isn't known yet.
        """
        if self.has_token(group_id, now):
            return 0
        return self.token_wait_s(group_id, now)

    def record_missed(self, group_id: str, now: float) -> None:
        """Record a request that was refused because the group has no token."""
        leafs = self._usable_leafs(group_id, inf)
        if leafs:
            missed = self.rng.choice(leafs)
            self.limits.on_missed(missed.leaf_id, now, is_waiting=False)

    def add_waiting(self, group_id: str, change: int) -> None:
        """Add `change` to the number of requests that wait for the group."""
        waiting = self.waiting_by_group.get(group_id, 0)
        self.waiting_by_group[group_id] = max(0, waiting + change)

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

    def choice_trace_fields(self, leaf_id: str) -> dict[str, float]:
        """Return the trace fields that explain the choice of a leaf.

        The result is empty for an unknown leaf.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return {}
        return {
            'cost_ms': round(leaf.cost_s * MS_PER_S, 1),
            'in_flight': leaf.in_flight,
        }

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

    def on_named_limit(
        self,
        leaf_id: str,
        named: NamedLimit | None,
        now: float,
        elapsed_s: float,
    ) -> None:
        """Record what a response states about the rate limit of its leaf.

        Parameters
        ----------
        leaf_id : str
            Leaf that responded; an unknown one is ignored.
        named : NamedLimit or None
            The statement, ``None`` if the response makes none.
        now : float
            Runtime time in seconds.
        elapsed_s : float
            Time since the request was sent, in seconds.
        """
        if named is None or leaf_id not in self.leafs_by_id:
            return
        if self.limits.on_named(leaf_id, named, now - elapsed_s, now):
            self._start_slowly(leaf_id, now)

    def merge_limits(
        self, statements: Iterable[LimitStatement], now: float
    ) -> None:
        """Apply rate limits that other instances have heard, where newer."""
        for leaf_id in self.limits.merge(statements, now):
            self._start_slowly(leaf_id, now)

    def _waiting_requests(self) -> Iterable[WaitingRequests]:
        """Return the requests that wait for each group, nearest leafs first."""
        for group_id, count in self.waiting_by_group.items():
            if count:
                leafs = sorted(
                    self._usable_leafs(group_id, inf),
                    key=lambda leaf: leaf.delay_s,
                )
                leaf_ids = [leaf.leaf_id for leaf in leafs]
                yield WaitingRequests(leaf_ids, count)

    def _start_slowly(self, leaf_id: str, now: float) -> None:
        """Raise the requests to a leaf whose limit has ended over some time.

        All instances learn of the end at about the same time.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            leaf.cold_since = now

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
        slow_bound_s = self._slow_bound_s(leaf, profile)
        if profile:
            service_s = max(0, elapsed_s - leaf.round_trip_s)
            elapsed_s = leaf.round_trip_s + self.latencies.normalise_s(
                profile, service_s
            )
        leaf.on_end(now, elapsed_s, outcome, slow_bound_s)

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

    def _usable_leafs(
        self, group_id: str, remaining_s: float
    ) -> list[LeafState]:
        """Return the leafs that may get work and are near enough to answer."""
        group = self.service.groups_by_id.get(group_id)
        if group is None:
            return []
        leafs = [self.leafs_by_id[leaf_id] for leaf_id in group.leafs_by_id]
        return [
            leaf
            for leaf in leafs
            if not leaf.is_draining
            and not leaf.is_evacuated
            and leaf.round_trip_s < remaining_s
        ]

    def _with_token(
        self, with_room: list[LeafState], usable: list[LeafState], now: float
    ) -> list[LeafState]:
        """Return the leafs to which their rate limits permit a request.

        If they permit none of the leafs with room, the request goes to one that
        is usually avoided, as it does if the others are ejected.
        """
        may_send = self.limits.may_send
        return [leaf for leaf in with_room if may_send(leaf.leaf_id, now)] or [
            leaf
            for leaf in usable
            if leaf.has_room(now) and may_send(leaf.leaf_id, now)
        ]

    def _cheapest_of_sample(
        self, with_room: list[LeafState], now: float
    ) -> LeafState:
        """Return the leaf of least cost among a nearest and a few random ones.

        Paused leafs, and cold ones that the slow start holds back, are
        considered only if no others are left.
        """
        # A cold leaf passes with a probability that rises during slow start.
        passed = [
            leaf
            for leaf in with_room
            if leaf.cold_since is None
            or self.rng.random() < leaf.slow_start_share(now)
        ]
        unpaused = [leaf for leaf in passed if not leaf.is_paused(now)]
        choices = unpaused or passed or with_room
        # One candidate is always a nearest leaf, so that the local data centre
        # is always considered; the others are random.
        nearest_s = min(leaf.delay_s for leaf in choices)
        nearest = [leaf for leaf in choices if leaf.delay_s == nearest_s]
        nearest_leaf = self.rng.choice(nearest)
        others = [leaf for leaf in choices if leaf is not nearest_leaf]
        if not others:
            return nearest_leaf
        sample_size = min(len(others), self.policy.random_candidates)
        candidates = [nearest_leaf, *self.rng.sample(others, sample_size)]
        return min(
            candidates, key=lambda leaf: self._expected_cost_s(leaf, now)
        )

    def _expected_cost_s(self, leaf: LeafState, now: float) -> float:
        """Return the cost of a leaf in seconds.

        If the policy avoids overtaken leafs, it includes the penalty for
        unserved calls.
        """
        if self.policy.avoids_overtaken_leafs:
            return leaf.cost_s + leaf.unserved_penalty_s(now)
        return leaf.cost_s

    def _is_wait_shorter(
        self, chosen: LeafState, candidates: list[LeafState], now: float
    ) -> bool:
        """Return whether a busy leaf is expected to answer before `chosen`."""
        return any(
            leaf.cost_s < chosen.cost_s
            for leaf in candidates
            if leaf.in_flight and not leaf.is_paused(now)
        )

    def _peers(self, leaf: LeafState) -> list[LeafState]:
        """Return the other leafs of the group."""
        group = self.service.groups_by_id[self._group_id_by_leaf[leaf.leaf_id]]
        return [
            self.leafs_by_id[leaf_id]
            for leaf_id in group.leafs_by_id
            if leaf_id != leaf.leaf_id
        ]

    def _fastest_peer_s(self, leaf: LeafState) -> float:
        """Return the least average reply time of the other leafs in seconds."""
        return min(
            (peer.average_reply_s for peer in self._peers(leaf)), default=inf
        )

    def _may_get_request(self, leaf: LeafState, now: float) -> bool:
        """Return whether an ordinary request may be sent to the leaf.

        It is false for an ejected leaf. If the policy avoids overtaken leafs,
        it is true for an ejected leaf that is due for a trial, and false for
        every leaf with an overtaken call.
        """
        if not self.policy.avoids_overtaken_leafs:
            return not leaf.is_ejected
        if leaf.has_overtaken_call:
            return False
        return not leaf.is_ejected or leaf.may_send_trial(now)

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

    def _rebuild_leafs(self, now: float | None) -> None:
        """Rebuild the maps of leafs from the groups of the service.

        Known leafs keep their state and new ones start cold, unless `now` is
        ``None`` because the router is being created.
        """
        known_leafs = self.leafs_by_id
        self.leafs_by_id = {}
        self._group_id_by_leaf = {}
        self.latencies.retain(self.service.groups_by_id)
        for group in self.service.groups_by_id.values():
            for leaf_id in group.leafs_by_id:
                self._group_id_by_leaf[leaf_id] = group.group_id
                self.leafs_by_id[leaf_id] = known_leafs.get(
                    leaf_id
                ) or self._create_leaf(leaf_id, now)
                self._configure_leaf(self.leafs_by_id[leaf_id])
        self.limits.retain(set(self.leafs_by_id))

    def _create_leaf(self, leaf_id: str, now: float | None) -> LeafState:
        if self.policy.avoids_overtaken_leafs:
            # Queues are recognised by the load that leafs report, which is
            # more reliable than single slow replies; an infinite factor keeps
            # slow replies from lowering the limit.
            return LeafState(
                leaf_id,
                limit=self.service.slots,
                cold_since=now,
                service_s=self.latencies.median_s,
                queue_factor=inf,
                ejection_policy=self.policy.ejection_policy,
            )
        return LeafState(leaf_id, limit=self.service.slots, cold_since=now)

    def _configure_leaf(self, leaf: LeafState) -> None:
        """Set the link delay and the limits of a leaf."""
        leaf.delay_s = self.delays_s_by_leaf.get(leaf.leaf_id, 0)
        leaf.max_in_flight = self.connections_per_instance
        leaf.limit = min(leaf.limit, leaf.max_in_flight)
