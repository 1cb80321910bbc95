"""Typed content of the operators' document."""

import attrs

from clementinebank.leafs import LeafEndpoint

DEFAULT_MAX_INSTANCES = 8
MS_PER_S = 1000
DEFAULT_EXTRA_LOAD = 0.05
DEFAULT_DEADLINE_MS = 110
DEFAULT_RETENTION_HOURS = 24
SINGLE_GROUP = 'all'


@attrs.frozen
class GroupSettings:
    """Replicas of one shard.

    Parameters
    ----------
    group_id : str
        Unique name in the service.
    yard : str
        Yard whose records the shard holds.
    leafs_by_id : dict of str to LeafEndpoint
        Replicas.
    """

    group_id: str
    yard: str
    leafs_by_id: dict[str, LeafEndpoint]


@attrs.frozen
class Objectives:
    """Service-level objectives.

    Parameters
    ----------
    latency_ms : int
        Longest time of a good answer, in milliseconds.
    latency_ratio : float
        Share of answers that must be within it.
    coverage_ratio : float
        Share of answers that must be complete.
    """

    latency_ms: int = DEFAULT_DEADLINE_MS
    latency_ratio: float = 0.99
    coverage_ratio: float = 0.999


@attrs.frozen
class ServiceSettings:
    """One service section.

    Parameters
    ----------
    name : str
        Name of the service.
    owner : str
        Team that owns the section.
    kind : str
        ``search`` or ``booking``.
    groups_by_id : dict of str to GroupSettings
        Shards; a booking service has one group named ``all``.
    slots, connections : int
        Per leaf, over all instances.
    connect_ms : int
        Usual time of a new connection in milliseconds.
    deadline_ms : int
        Default deadline in milliseconds.
    answer_policy : str
        Registered answer policy.
    extra_load : float
        Hedges and retries as a share of shard requests.
    retention_hours : int
        Retention of idempotency keys in hours.
    objectives : Objectives
        Service-level objectives.
    """

    name: str
    owner: str
    kind: str
    groups_by_id: dict[str, GroupSettings]
    slots: int
    connections: int
    connect_ms: int = 6
    deadline_ms: int = DEFAULT_DEADLINE_MS
    answer_policy: str = 'latency_first'
    extra_load: float = DEFAULT_EXTRA_LOAD
    retention_hours: int = DEFAULT_RETENTION_HOURS
    objectives: Objectives = Objectives()

    @property
    def leafs_by_id(self) -> dict[str, LeafEndpoint]:
        """Return the leafs of all groups."""
        return {
            leaf_id: leaf
            for group in self.groups_by_id.values()
            for leaf_id, leaf in group.leafs_by_id.items()
        }


@attrs.frozen
class FleetSettings:
    """The ``fleet`` section.

    Parameters
    ----------
    owner : str
        Team that owns the section.
    regions_by_data_centre : dict of str to str
        Region of each data centre.
    max_instances : int
        Largest number of instances.
    instances_per_leaf : int or None
        Largest number of instances that use one leaf; ``None`` for all.
    isolation : str
        ``refuse`` or ``serve``.
    data_centre_delay_ms, region_delay_ms, caller_delay_ms : float
        One-way delays in milliseconds.
    booking_writes_per_second : int
        Writes a second of the whole fleet on the key-value service.
    """

    owner: str
    regions_by_data_centre: dict[str, str]
    max_instances: int = DEFAULT_MAX_INSTANCES
    isolation: str = 'refuse'
    data_centre_delay_ms: float = 4
    region_delay_ms: float = 8
    caller_delay_ms: float = 3
    booking_writes_per_second: int = 200
    instances_per_leaf: int | None = None

    @property
    def users_per_leaf(self) -> int:
        """Return the number of instances that share a leaf's connections."""
        if self.instances_per_leaf is None:
            return self.max_instances
        return self.instances_per_leaf

    def delay_ms(self, one: str, other: str) -> float:
        """Return the one-way delay between two data centres in ms."""
        if one == other:
            return 0
        regions = self.regions_by_data_centre
        if regions.get(one) == regions.get(other):
            return self.data_centre_delay_ms
        return self.region_delay_ms


@attrs.frozen
class Document:
    """The whole document at one revision.

    Parameters
    ----------
    revision : int
        Revision of the head record it was read from.
    fleet : FleetSettings
        The ``fleet`` section.
    services_by_name : dict of str to ServiceSettings
        The ``service.<name>`` sections.
    """

    revision: int
    fleet: FleetSettings
    services_by_name: dict[str, ServiceSettings]

    def connection_share(self, service: ServiceSettings) -> int:
        """Return the connections of one instance to one leaf."""
        return max(1, service.connections // self.fleet.users_per_leaf)

    def delays_by_leaf(
        self, service: ServiceSettings, data_centre: str
    ) -> dict[str, float]:
        """Return the one-way delay to each leaf in seconds.

        Parameters
        ----------
        service : ServiceSettings
            Service of the leafs.
        data_centre : str
            Data centre from which the delay counts.
        """
        return {
            leaf_id: self.fleet.delay_ms(data_centre, leaf.data_centre)
            / MS_PER_S
            for leaf_id, leaf in service.leafs_by_id.items()
        }
