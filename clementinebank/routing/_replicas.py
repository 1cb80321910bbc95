"""State of the replicas of a service, and which of them may get work."""

import random
from collections.abc import Collection, Iterable, Mapping
from math import inf

import attrs

from clementinebank.placement import Placement
from clementinebank.ratelimit import LimitTable, WaitingRequests
from clementinebank.routing._budget import (
    DEFAULT_BUCKET_CAPACITY,
    ExtraLoadBudget,
)
from clementinebank.routing._latencies import Latencies
from clementinebank.routing._leaf_state import LeafState
from clementinebank.routing._policy import RoutingPolicy
from clementinebank.routing._topology import Topology


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
                leaf_ids = [leaf.leaf_id for leaf in leafs]
                yield WaitingRequests(leaf_ids, count)

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
