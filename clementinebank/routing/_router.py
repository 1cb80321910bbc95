"""Choice of the replica that gets a shard request."""

import random
from collections.abc import Collection, Mapping
from math import inf

import attrs

from clementinebank.document import ServiceSettings
from clementinebank.invariants import check, invariant
from clementinebank.routing._budget import BURST_TOKENS, ExtraLoadBudget
from clementinebank.routing._leaf_state import CallOutcome, LeafState
from clementinebank.routing._quantiles import LatencyWindow
from clementinebank.upstream import LeafStatus

HEDGE_QUANTILE = 0.96
# With few tokens left only the slowest calls are worth a hedge.
SCARCE_HEDGE_QUANTILE = 0.985
SCARCE_FILL = 0.3
INITIAL_HEDGE_DELAY_S = 0.03
# Below this a hedge mostly repeats the variation of the links.
MIN_HEDGE_DELAY_S = 0.002

# A leaf is slow when it takes this many times as long as its fastest peer.
OUTLIER_FACTOR = 4.0
OUTLIER_MARGIN_S = 0.005


@invariant('no-new-work-for-draining-leaf', 'R6')
def _is_not_draining(leaf: LeafState) -> bool:
    return not leaf.is_draining


@attrs.define
class Router:
    """Chooses replicas of the groups of one service.

    Parameters
    ----------
    service : ServiceSettings
        The service.
    rng : random.Random
        Source of randomness.
    delays_by_leaf : mapping of str to float
        One-way link delay of each leaf in seconds.
    connection_share : int
        Connections of this instance to each leaf.
    """

    service: ServiceSettings
    rng: random.Random = attrs.Factory(random.Random)
    delays_by_leaf: Mapping[str, float] = attrs.Factory(dict)
    connection_share: int = 3
    leafs_by_id: dict[str, LeafState] = attrs.Factory(dict)
    budget: ExtraLoadBudget = attrs.field(init=False)
    waiting_by_group: dict[str, int] = attrs.Factory(dict)
    _windows_by_group: dict[str, LatencyWindow] = attrs.Factory(dict)
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
        service: ServiceSettings,
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

    def choose(
        self,
        group_id: str,
        now: float,
        excluded: Collection[str] = (),
        limit_s: float = inf,
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
        """
        usable = [
            leaf
            for leaf in self._usable(group_id, limit_s)
            if leaf.leaf_id not in excluded
        ]
        healthy = [leaf for leaf in usable if not leaf.is_ejected]
        ready = [leaf for leaf in healthy or usable if leaf.has_room(now)]
        if not ready:
            return None
        return self._better_of_two(ready, now).leaf_id

    def probe_target(self, group_id: str, now: float) -> str | None:
        """Return an ejected replica that is due for a probe, or ``None``."""
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

    def hedge_delay_s(self, leaf_id: str) -> float:
        """Return the time after which a call to the leaf is hedged."""
        leaf = self.leafs_by_id[leaf_id]
        is_scarce = self.budget.fill < SCARCE_FILL
        share = SCARCE_HEDGE_QUANTILE if is_scarce else HEDGE_QUANTILE
        return leaf.round_trip_s + self._quantile_s(leaf_id, share)

    def on_sent(self, leaf_id: str, now: float, request_id: str = '') -> None:
        """Count a request that goes to the leaf."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        check('no-new-work-for-draining-leaf', request_id, leaf=leaf)
        leaf.on_sent(now)

    def on_end(
        self, leaf_id: str, now: float, elapsed_s: float, outcome: CallOutcome
    ) -> None:
        """Record the end of a request."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        slow_s = self._slow_bound_s(leaf)
        leaf.on_end(now, elapsed_s, outcome, slow_s)
        if outcome is CallOutcome.GOOD:
            self._add_latency(leaf, elapsed_s)

    def on_cancel(self, leaf_id: str, now: float, elapsed_s: float) -> None:
        """Record that a request is cancelled; its end is still reported."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        leaf.on_cancel(now, elapsed_s, self._slow_bound_s(leaf))
        if elapsed_s > self.hedge_delay_s(leaf_id):
            # Without it the window would hold only the winners of hedges.
            self._add_latency(leaf, elapsed_s)

    def on_invalid_reply(self, leaf_id: str, now: float) -> None:
        """Count a reply that the query could not use as a failure."""
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
        pool = warm or ready
        # One of the two is the nearest, so that the local data centre is
        # always considered; the other is random.
        nearest_s = min(leaf.delay_s for leaf in pool)
        near = [leaf for leaf in pool if leaf.delay_s == nearest_s]
        pair = [self.rng.choice(near), self.rng.choice(pool)]
        return min(pair, key=lambda leaf: leaf.cost)

    def _slow_bound_s(self, leaf: LeafState) -> float:
        group = self.service.groups_by_id[self._group_by_leaf[leaf.leaf_id]]
        peers = [
            self.leafs_by_id[leaf_id].service_s
            for leaf_id in group.leafs_by_id
            if leaf_id != leaf.leaf_id
        ]
        if not peers:
            return inf
        return OUTLIER_FACTOR * min(peers) + OUTLIER_MARGIN_S

    def _quantile_s(self, leaf_id: str, share: float) -> float:
        window = self._windows_by_group[self._group_by_leaf[leaf_id]]
        return max(
            MIN_HEDGE_DELAY_S, window.quantile(share, INITIAL_HEDGE_DELAY_S)
        )

    def _add_latency(self, leaf: LeafState, elapsed_s: float) -> None:
        window = self._windows_by_group[self._group_by_leaf[leaf.leaf_id]]
        window.add(max(0, elapsed_s - leaf.round_trip_s))

    def _follow(self, now: float | None) -> None:
        """Keep the state of known leafs; leafs added later are cold."""
        known = self.leafs_by_id
        self.leafs_by_id = {}
        for group in self.service.groups_by_id.values():
            self._windows_by_group.setdefault(group.group_id, LatencyWindow())
            for leaf_id in group.leafs_by_id:
                self._group_by_leaf[leaf_id] = group.group_id
                self.leafs_by_id[leaf_id] = known.get(
                    leaf_id
                ) or self._new_leaf(leaf_id, now)
                self._set_limits(self.leafs_by_id[leaf_id])

    def _new_leaf(self, leaf_id: str, now: float | None) -> LeafState:
        return LeafState(leaf_id, limit=self.service.slots, cold_since=now)

    def _set_limits(self, leaf: LeafState) -> None:
        leaf.delay_s = self.delays_by_leaf.get(leaf.leaf_id, 0)
        # One connection stays free for status probes and cancel messages.
        leaf.max_in_flight = max(1, self.connection_share - 1)
        leaf.limit = min(leaf.limit, leaf.max_in_flight)
