"""State of the replicas of a service, and which of them may get work."""

import random
from collections.abc import Collection, Iterable, Mapping
from math import inf

import attrs
from eliot import log_message

from clementinebank.placement import Placement
from clementinebank.ratelimit import LimitTable, NamedLimit, WaitingRequests
from clementinebank.routing._budget import (
    DEFAULT_BUCKET_CAPACITY,
    ExtraLoadBudget,
)
from clementinebank.routing._latencies import Latencies
from clementinebank.routing._leaf_state import LeafState
from clementinebank.routing._policy import RoutingPolicy
from clementinebank.routing._topology import Topology

# Key of the limit of a cold leaf, before the leaf's id.
COLD_KEY_PREFIX = 'cold '
# Share of the bound of a cold leaf that is granted. Tokens live for a second,
# so that the requests of one second may be those of two.
COLD_RATE_SHARE = 0.7


@attrs.define
class Replicas:
    """State of every leaf of one service, their latencies and the budget.

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
            cold_rates_by_group : mapping of str to float
        Requests a second that a cold leaf takes from all instances; groups
        without such a bound are missing.
    cold_until_by_leaf : dict of str to float
        Runtime time in seconds until which leafs with such a bound are cold.
        placement : Placement or None
        Holds requests back from other data centres; ``None`` if the leaf of
        least expected time gets each request.
    prices_by_leaf : mapping of str to float
        Price of a request to each leaf, for the placement.
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
    placement: Placement | None = None
    prices_by_leaf: Mapping[str, float] = attrs.Factory(dict)
    latencies: Latencies = attrs.Factory(Latencies)
    limits: LimitTable = attrs.field()
    # Runtime time until which any leaf turns requests away.
    _turned_away_until: float = -inf
    cold_rates_by_group: Mapping[str, float] = attrs.Factory(dict)
    cold_until_by_leaf: dict[str, float] = attrs.Factory(dict)
    # Cold leafs of which this instance knows from their own statements.
    _stated_cold_leafs: set[str] = attrs.Factory(set)
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

    def limit_key(self, leaf_id: str, now: float) -> str:
        """Return the key of the limit that binds a leaf at this moment.

        A cold leaf has a limit of its own besides the one that it may name.
        """
        cold_until = self.cold_until_by_leaf.get(leaf_id)
        if cold_until is None:
            return leaf_id
        if now >= cold_until:
            self.end_cold(leaf_id, now)
            return leaf_id
        return COLD_KEY_PREFIX + leaf_id

    def is_limited(self, leaf_id: str, now: float) -> bool:
        """Return whether a leaf is cold with a bound or names a limit."""
        key = self.limit_key(leaf_id, now)
        return key != leaf_id or self.limits.limit_of(leaf_id) is not None

    def may_send(self, leaf_id: str, now: float) -> bool:
        """Return whether the limits permit a request to a leaf now."""
        if not self.limits.may_send(leaf_id, now):
            return False
        key = self.limit_key(leaf_id, now)
        return key == leaf_id or self.limits.may_send(key, now)

    def set_cold(self, leaf_id: str, remaining_s: float, now: float) -> None:
        """Record what a leaf or its registration states about its warm-up.

        Parameters
        ----------
        leaf_id : str
            The leaf; nothing changes if its group has no bound.
        remaining_s : float
            Time in seconds for which it is still cold; 0 for a warm leaf.
        now : float
            Runtime time in seconds.
        """
        rate_per_s = self.cold_rates_by_group.get(self.group_of(leaf_id), 0)
        if remaining_s <= 0 or rate_per_s <= 0:
            self.end_cold(leaf_id, now)
            return
        if leaf_id not in self._stated_cold_leafs:
            log_message(
                message_type='leaf:cold', leaf=leaf_id, seconds=remaining_s
            )
        self.cold_until_by_leaf[leaf_id] = now + remaining_s
        self._stated_cold_leafs.add(leaf_id)
        self.limits.on_named(
            COLD_KEY_PREFIX + leaf_id,
            NamedLimit(COLD_RATE_SHARE * rate_per_s),
            now,
            now,
        )

    def end_cold(self, leaf_id: str, now: float) -> None:
        """End the limit of a cold leaf, which then starts slowly."""
        if self.cold_until_by_leaf.pop(leaf_id, None) is None:
            return
        self._stated_cold_leafs.discard(leaf_id)
        log_message(message_type='leaf:warm', leaf=leaf_id)
        key = COLD_KEY_PREFIX + leaf_id
        if self.limits.on_named(key, NamedLimit(None), now, now):
            self._start_slowly(leaf_id, now)

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

    def _waiting_requests(self) -> Iterable[WaitingRequests]:
        """Return the requests that wait for each group, nearest leafs first."""
        for group_id, count in self.waiting_by_group.items():
            if count:
                leafs = sorted(
                    self._usable_leafs(group_id, inf),
                    key=lambda leaf: leaf.delay_s,
                )
                cold = self.cold_until_by_leaf
                keys = [
                    COLD_KEY_PREFIX + leaf.leaf_id
                    if leaf.leaf_id in cold
                    else leaf.leaf_id
                    for leaf in leafs
                ]
                yield WaitingRequests(keys, count)

    def _start_slowly(self, leaf_id: str, now: float) -> None:
        """Raise the requests to a leaf whose limit has ended over some time.

        All instances learn of the end at about the same time.
        """
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            leaf.cold_since = now

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
        self._retain_limits()

    def _retain_limits(self) -> None:
        """Forget the limits and the coldness of leafs that are gone."""
        for leaf_id in self.cold_until_by_leaf.keys() - self.leafs_by_id.keys():
            self.cold_until_by_leaf.pop(leaf_id)
            self._stated_cold_leafs.discard(leaf_id)
        cold_keys = {COLD_KEY_PREFIX + each for each in self.cold_until_by_leaf}
        self.limits.retain(cold_keys.union(self.leafs_by_id))

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
