"""Choice of the replica that gets a shard request."""

import random
from collections.abc import Collection

import attrs

from clementinebank.document import ServiceSettings
from clementinebank.upstream import LeafStatus

LATENCY_WEIGHT = 0.2
INITIAL_LATENCY_S = 0.005


@attrs.define
class LeafState:
    """What this instance observed of one leaf.

    Parameters
    ----------
    leaf_id : str
        The leaf.
    in_flight : int
        Requests sent and not answered.
    latency_s : float
        Moving average of the reply time in seconds.
    reported : LeafStatus or None
        Last status; it only lowers the rank.
    """

    leaf_id: str
    in_flight: int = 0
    latency_s: float = INITIAL_LATENCY_S
    reported: LeafStatus | None = None

    @property
    def cost(self) -> float:
        """Return the expected time of one more request in seconds."""
        return (self.in_flight + 1) * self.latency_s

    @property
    def is_draining(self) -> bool:
        """Return whether the leaf reported that it is leaving."""
        return self.reported is not None and self.reported.state == 'draining'


@attrs.define
class Router:
    """Chooses replicas of the groups of one service.

    Parameters
    ----------
    service : ServiceSettings
        The service.
    rng : random.Random
        Source of randomness.
    """

    service: ServiceSettings
    rng: random.Random = attrs.Factory(random.Random)
    leafs_by_id: dict[str, LeafState] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the state of every leaf."""
        self.update_service(self.service)

    def update_service(self, service: ServiceSettings) -> None:
        """Follow a new revision of the service's section."""
        self.service = service
        self.leafs_by_id = {
            leaf_id: self.leafs_by_id.get(leaf_id) or LeafState(leaf_id)
            for leaf_id in service.leafs_by_id
        }

    def choose(
        self, group_id: str, now: float, excluded: Collection[str] = ()
    ) -> str | None:
        """Return the better of two random replicas, or ``None``."""
        group = self.service.groups_by_id[group_id]
        usable = [
            self.leafs_by_id[leaf_id]
            for leaf_id in group.leafs_by_id
            if leaf_id not in excluded
            and not self.leafs_by_id[leaf_id].is_draining
        ]
        if not usable:
            return None
        pair = self.rng.sample(usable, min(2, len(usable)))
        return min(pair, key=lambda leaf: leaf.cost).leaf_id

    def on_sent(self, leaf_id: str, now: float) -> None:
        """Count a request that goes to the leaf."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            leaf.in_flight += 1

    def on_reply(
        self, leaf_id: str, now: float, elapsed_s: float, *, is_good: bool
    ) -> None:
        """Record the end of a request."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is None:
            return
        leaf.in_flight = max(0, leaf.in_flight - 1)
        if is_good:
            leaf.latency_s += LATENCY_WEIGHT * (elapsed_s - leaf.latency_s)

    def on_status(self, leaf_id: str, now: float, status: LeafStatus) -> None:
        """Record the status that a leaf reported."""
        leaf = self.leafs_by_id.get(leaf_id)
        if leaf is not None:
            leaf.reported = status
