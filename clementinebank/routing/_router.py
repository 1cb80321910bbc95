"""Choice of the replica that gets a shard request."""

import random
from collections.abc import Collection, Mapping
from math import inf

import attrs

from clementinebank.invariants import check, invariant
from clementinebank.routing._budget import BURST_TOKENS, ExtraLoadBudget
from clementinebank.routing._latencies import INITIAL_LATENCY_S, Latencies
from clementinebank.routing._leaf_state import CallOutcome, LeafState
from clementinebank.routing._policy import RoutingPolicy
from clementinebank.routing._topology import Topology
from clementinebank.upstream import LeafStatus

MS_PER_S = 1000
FULL_TOKENS = 20
# A reply is not slow for a leaf within this multiple of its average; a hedge
# to a farther data centre would seldom overtake it.
USUAL_SPREAD = 1.5

# A leaf is slow when it takes this many times as long as its fastest peer,
# both with their links.
OUTLIER_FACTOR = 3.0
OUTLIER_MARGIN_S = 0.005


# One slot of a leaf is left to the other instances: a request that waits here
# costs nothing, the retry of a refused one costs a token of the extra load.
KEPT_SLOTS = 1


@invariant('no-new-work-for-draining-leaf', 'R6')
def _is_not_draining(leaf: LeafState) -> bool:
    return not leaf.is_draining


@attrs.define
class Router:
    """Chooses replicas of the groups of one service.

    Parameters
    ----------
    service : Topology
        The groups, for example a service of the document.
    rng : random.Random
        Source of randomness.
    delays_by_leaf : mapping of str to float
        One-way link delay of each leaf in seconds.
    connection_share : int
        Connections of this instance to each leaf.
    policy : RoutingPolicy
        When to hedge and what to conclude from overtaken calls.
    budgets_by_group : dict of str to ExtraLoadBudget
        Budgets of groups that do not share that of the service.
    """

    service: Topology
    rng: random.Random = attrs.Factory(random.Random)
    delays_by_leaf: Mapping[str, float] = attrs.Factory(dict)
    connection_share: int = 3
    policy: RoutingPolicy = RoutingPolicy()
    leafs_by_id: dict[str, LeafState] = attrs.Factory(dict)
    budget: ExtraLoadBudget = attrs.field(init=False)
    budgets_by_group: dict[str, ExtraLoadBudget] = attrs.Factory(dict)
    waiting_by_group: dict[str, int] = attrs.Factory(dict)
    latencies: Latencies = attrs.Factory(Latencies)
    _group_by_leaf: dict[str, str] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the state of every leaf."""
        # A snapshot move repeats a request to every group at once.
        group_count = len(self.service.groups_by_id)
        self.budget = ExtraLoadBudget(
            self.service.extra_load, max(BURST_TOKENS, 2 * group_count)
        )
        self._follow(None)

    def update_service(
        self,
        service: Topology,
        now: float,
        delays_by_leaf: Mapping[str, float],
        connection_share: int,
    ) -> None:
        """Follow a new revision of the service's section."""
        self.service = service
        self.delays_by_leaf = delays_by_leaf
        self.connection_share = connection_share
        self.budget.ratio = service.extra_load
        self._follow(now)

    def budget_of(self, group_id: str) -> ExtraLoadBudget:
        """Return the budget from which extra requests of a group are paid."""
        return self.budgets_by_group.get(group_id, self.budget)

    def choose(
        self,
        group_id: str,
        now: float,
        excluded: Collection[str] = (),
        limit_s: float = inf,
        *,
        is_patient: bool = False,
    ) -> str | None:
        """Return the better of two replicas that have room, or ``None``.

        Parameters
        ----------
        group_id : str
            Group of the shard.
        now : float
            Runtime time in seconds.
        excluded : collection of str
            Leafs that may not be chosen.
        limit_s : float
            Time left; a leaf whose link alone takes longer is not chosen.
        is_patient : bool
            Whether to leave slots to other instances, and to return ``None``
            if a leaf without room is expected to answer before the others.
        """
        usable = [
            leaf
            for leaf in self._usable(group_id, limit_s)
            if leaf.leaf_id not in excluded
        ]
        healthy = [leaf for leaf in usable if self._is_healthy(leaf, now)]
        shared_limit = max(1, self.service.slots - KEPT_SLOTS)
        limit = shared_limit if is_patient else inf
        candidates = healthy or usable
        ready = [leaf for leaf in candidates if leaf.has_room(now, limit)]
        if not ready and self.policy.detects_stalls:
            ready = [leaf for leaf in usable if leaf.has_room(now)]
        if not ready:
            return None
        chosen = self._better_of_two(ready, now)
        if is_patient and self._is_wait_shorter(chosen, candidates, now):
            return None
        return chosen.leaf_id

    def wait_for_refused_s(
        self, group_id: str, leaf_id: str, excluded: Collection[str]
    ) -> float | None:
        """Return how long to wait for a leaf that refused.

        ``None`` if another replica can be expected to answer sooner. Near
        leafs with few slots refuse often and for a moment only, while a far
        replica costs a round trip between data centres.
        """
        refusing = self.leafs_by_id.get(leaf_id)
        wait_s = refusing.refusal_wait_s() if refusing else None
        if refusing is None or wait_s is None:
            return None
        others = [
            leaf.usual_s
            for leaf in self._usable(group_id, inf)
            if not leaf.is_ejected
            and leaf is not refusing
            and leaf.leaf_id not in excluded
        ]
        expected_s = refusing.usual_s + wait_s
        return wait_s if expected_s < min(others, default=inf) else None

    def probe_target(self, group_id: str, now: float) -> str | None:
        """Return an ejected replica that is due for a probe, or ``None``."""
        if self.policy.detects_stalls:
            # An ordinary request tests the leaf and is hedged if it is slow.
            return None
        for leaf in self._usable(group_id, inf):
            if leaf.is_probe_due(now) and leaf.in_flight == 0:
                return leaf.leaf_id
        return None

    def has_leaf(
        self, group_id: str, limit_s: float, excluded: Collection[str] = ()
    ) -> bool:
        """Return whether a replica may get work and can answer in time."""
        return any(
            leaf.fastest_s < limit_s
            for leaf in self._usable(group_id, limit_s)
            if leaf.leaf_id not in excluded
        )

    def expected_wait_s(self, group_id: str, now: float) -> float:
        """Return how long a new request waits for room, in seconds."""
        waiting = self.waiting_by_group.get(group_id, 0)
        leafs = self._usable(group_id, inf)
        if not waiting or not leafs:
            return 0
        rate = sum(
            max(1, leaf.limit) / (leaf.round_trip_s + leaf.service_s)
            for leaf in leafs
        )
        return waiting / rate

    def on_waiting(self, group_id: str, change: int) -> None:
        """Count requests that wait for room in the group."""
        waiting = self.waiting_by_group.get(group_id, 0)
        self.waiting_by_group[group_id] = max(0, waiting + change)

    def hedge_delay_s(
        self,
        leaf_id: str,
        profile: str = '',
        expected_s: float = INITIAL_LATENCY_S,
    ) -> float:
        """Return the time after which a call to the leaf is hedged.

        Parameters
        ----------
        leaf_id : str
            The leaf that is called.
        profile : str
            Kind of request; its latencies over all groups decide, so that a
            quick kind is not measured by a slow one.
        expected_s : float
            Usual time of the kind until enough calls were seen, in seconds.
        """
        leaf = self.leafs_by_id[leaf_id]
        budget = self.budget_of(self._group_by_leaf[leaf_id])
        saved = min(1, budget.tokens / min(FULL_TOKENS, budget.capacity))
        scarce = self.policy.scarce_hedge_factor
        factor = scarce - saved * (scarce - self.policy.full_hedge_factor)
        quantile = self.policy.hedge_quantile
        if profile:
            usual_s = self.latencies.of_profile_s(profile, quantile, expected_s)
            return leaf.round_trip_s + factor * usual_s
        # Waiting longer than a peer needs from the start gains nothing.
        usual_s = min(USUAL_SPREAD * leaf.service_s, self._fastest_peer_s(leaf))
        group_s = self.latencies.of_group_s(
            self._group_by_leaf[leaf_id], quantile
        )
        return leaf.round_trip_s + factor * max(group_s, usual_s)

    def reasons_for(self, leaf_id: str) -> dict[str, float]:
        """Return the figures that decide whether a leaf is chosen."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return {}
        return {
            'cost_ms': round(leaf.cost * MS_PER_S, 1),
            'in_flight': leaf.in_flight,
        }

    def on_sent(self, leaf_id: str, now: float, request_id: str = '') -> None:
        """Count a request that goes to the leaf."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        check('no-new-work-for-draining-leaf', request_id, leaf=leaf)
        leaf.on_sent(now)

    def on_end(
        self,
        leaf_id: str,
        now: float,
        elapsed_s: float,
        outcome: CallOutcome,
        profile: str = '',
    ) -> None:
        """Record the end of a request."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        if outcome is CallOutcome.GOOD:
            self._add_latency(leaf, elapsed_s, profile)
        slow_s = self._slow_bound_s(leaf, profile)
        if profile:
            service_s = max(0, elapsed_s - leaf.round_trip_s)
            elapsed_s = leaf.round_trip_s + self.latencies.normalise_s(
                profile, service_s
            )
        leaf.on_end(now, elapsed_s, outcome, slow_s)

    def on_cancel(
        self,
        leaf_id: str,
        now: float,
        elapsed_s: float,
        attempt_id: str = '',
        profile: str = '',
    ) -> bool:
        """Record that a request is not needed any more.

        Its end is still reported.

        Returns
        -------
        bool
            Whether the request should go on, so that its end tells when the
            leaf answers again.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return False
        was_overtaken = elapsed_s > self.hedge_delay_s(leaf_id, profile)
        may_stall = was_overtaken and self.policy.detects_stalls
        if may_stall and leaf.start_stall(now, attempt_id):
            return True
        if was_overtaken:
            # Without it the window would hold only the winners of hedges.
            self._add_latency(leaf, elapsed_s, profile)
        if self.policy.detects_stalls:
            return False
        leaf.on_cancel(now, elapsed_s, was_overtaken=was_overtaken)
        return False

    def end_stall(self, leaf_id: str, attempt_id: str) -> bool:
        """Return whether the attempt was the one that a leaf is waited for."""
        leaf = self.leafs_by_id.get(leaf_id)
        return leaf is not None and leaf.end_stall(attempt_id)

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
        """Record the status that a leaf reported."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            asked_at = now if requested_at is None else requested_at
            leaf.on_status(now, asked_at, status)

    def _usable(self, group_id: str, limit_s: float) -> list[LeafState]:
        group = self.service.groups_by_id.get(group_id)
        if group is None:
            return []
        leafs = [self.leafs_by_id[leaf_id] for leaf_id in group.leafs_by_id]
        return [
            leaf
            for leaf in leafs
            if not leaf.is_draining and leaf.round_trip_s < limit_s
        ]

    def _better_of_two(self, ready: list[LeafState], now: float) -> LeafState:
        warm = [
            leaf
            for leaf in ready
            if leaf.cold_since is None
            or self.rng.random() < leaf.slow_start_share(now)
        ]
        willing = [leaf for leaf in warm if not leaf.is_paused(now)]
        pool = willing or warm or ready
        # One of the two is the nearest, so that the local data centre is
        # always considered; the other is random.
        nearest_s = min(leaf.delay_s for leaf in pool)
        near = [leaf for leaf in pool if leaf.delay_s == nearest_s]
        first = self.rng.choice(near)
        others = [leaf for leaf in pool if leaf is not first]
        if not others:
            return first
        count = min(len(others), self.policy.random_candidates)
        candidates = [first, *self.rng.sample(others, count)]
        return min(candidates, key=lambda leaf: self._cost_of(leaf, now))

    def _cost_of(self, leaf: LeafState, now: float) -> float:
        if self.policy.detects_stalls:
            return leaf.cost + leaf.miss_penalty_s(now)
        return leaf.cost

    def _is_wait_shorter(
        self, chosen: LeafState, candidates: list[LeafState], now: float
    ) -> bool:
        """Return whether a leaf without room is better than the chosen one."""
        return any(
            leaf.cost < chosen.cost
            for leaf in candidates
            if leaf.in_flight and not leaf.is_paused(now)
        )

    def _peers(self, leaf: LeafState) -> list[LeafState]:
        group = self.service.groups_by_id[self._group_by_leaf[leaf.leaf_id]]
        return [
            self.leafs_by_id[leaf_id]
            for leaf_id in group.leafs_by_id
            if leaf_id != leaf.leaf_id
        ]

    def _fastest_peer_s(self, leaf: LeafState) -> float:
        return min((peer.usual_s for peer in self._peers(leaf)), default=inf)

    def _is_healthy(self, leaf: LeafState, now: float) -> bool:
        if not self.policy.detects_stalls:
            return not leaf.is_ejected
        if leaf.is_stalled:
            return False
        return not leaf.is_ejected or leaf.may_try(now)

    def _slow_bound_s(self, leaf: LeafState, profile: str = '') -> float:
        """Return the time above which a reply of the leaf is an outlier.

        A farther leaf is not an outlier because of its link, and a near one
        not while it answers as fast as its peers do with their links.
        """
        if profile:
            factor = self.policy.outlier_rule.slow_factor
            return leaf.round_trip_s + factor * self.latencies.median_s
        peers = self._peers(leaf)
        service_s = min((peer.service_s for peer in peers), default=inf)
        bound_s = max(
            OUTLIER_FACTOR * self._fastest_peer_s(leaf),
            leaf.round_trip_s + OUTLIER_FACTOR * service_s,
        )
        return bound_s + OUTLIER_MARGIN_S

    def _add_latency(
        self, leaf: LeafState, elapsed_s: float, profile: str
    ) -> None:
        service_s = max(0, elapsed_s - leaf.round_trip_s)
        group_id = self._group_by_leaf[leaf.leaf_id]
        self.latencies.add(group_id, profile, service_s)

    def _follow(self, now: float | None) -> None:
        """Keep the state of known leafs; leafs added later are cold."""
        known = self.leafs_by_id
        self.leafs_by_id = {}
        self._group_by_leaf = {}
        self.latencies.retain(self.service.groups_by_id)
        for group in self.service.groups_by_id.values():
            for leaf_id in group.leafs_by_id:
                self._group_by_leaf[leaf_id] = group.group_id
                self.leafs_by_id[leaf_id] = known.get(
                    leaf_id
                ) or self._new_leaf(leaf_id, now)
                self._set_limits(self.leafs_by_id[leaf_id])

    def _new_leaf(self, leaf_id: str, now: float | None) -> LeafState:
        if self.policy.detects_stalls:
            # The load that leafs report tells more than single slow replies.
            return LeafState(
                leaf_id,
                limit=self.service.slots,
                cold_since=now,
                service_s=self.latencies.median_s,
                queue_factor=inf,
                outlier_rule=self.policy.outlier_rule,
            )
        return LeafState(leaf_id, limit=self.service.slots, cold_since=now)

    def _set_limits(self, leaf: LeafState) -> None:
        leaf.delay_s = self.delays_by_leaf.get(leaf.leaf_id, 0)
        leaf.max_in_flight = self.connection_share
        leaf.limit = min(leaf.limit, leaf.max_in_flight)
