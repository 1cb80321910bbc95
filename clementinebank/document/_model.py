"""Settings in the operators' document as typed objects."""

import attrs

from clementinebank.leafs import LeafEndpoint

DEFAULT_MAX_INSTANCES = 8
MS_PER_S = 1000
DEFAULT_EXTRA_LOAD = 0.05
DEFAULT_DEADLINE_MS = 110
DEFAULT_RETENTION_HOURS = 24
# Id of the only group of a booking service, which has no shards.
BOOKING_GROUP_ID = 'all'


@attrs.frozen
class GroupSettings:
    """Settings of one group: the leafs that hold replicas of one shard.

    Parameters
    ----------
    group_id : str
        Id of the group, unique in its service.
    yard : str
        Yard whose records the shard holds; empty for a booking service.
    leafs_by_id : dict of str to LeafEndpoint
        Leafs that hold a replica of the shard.
    """

    group_id: str
    yard: str
    leafs_by_id: dict[str, LeafEndpoint]


@attrs.frozen
class Objectives:
    """Service-level objectives of a service.

    Parameters
    ----------
    latency_ms : int
        Longest response time that meets the latency objective, in
        milliseconds.
    latency_ratio : float
        Share of the answers that must arrive within ``latency_ms``, from 0
        to 1.
    coverage_ratio : float
        Share of the answers that must be complete, from 0 to 1.
    """

    latency_ms: int = DEFAULT_DEADLINE_MS
    latency_ratio: float = 0.99
    coverage_ratio: float = 0.999


@attrs.frozen
class ServiceSettings:
    """Settings of one service, the content of its section.

    Parameters
    ----------
    name : str
        Name of the service.
    owner : str
        Team that owns the section.
    kind : str
        ``search`` or ``booking``.
    groups_by_id : dict of str to GroupSettings
        Groups, one for each shard; a booking service has one group named
        ``all``.
    slots : int
        Requests that a leaf executes at the same time, for all instances
        together.
    connections : int
        Connections that a leaf accepts, from all instances together.
    connect_ms : int
        Usual time to open a connection, in milliseconds.
    deadline_ms : int
        Deadline of a request that states none, in milliseconds.
    answer_policy : str
        Name of a registered answer policy.
    extra_load : float
        Largest share of hedges and retries in relation to the shard requests.
    retention_hours : int
        Time for which idempotency keys are kept, in hours.
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
        """Return the leafs of all groups by their ids."""
        return {
            leaf_id: leaf
            for group in self.groups_by_id.values()
            for leaf_id, leaf in group.leafs_by_id.items()
        }


@attrs.frozen
class FleetSettings:
    """Settings of all instances together, the content of the fleet section.

    Parameters
    ----------
    owner : str
        Team that owns the section.
    regions_by_data_centre : dict of str to str
        Region of each data centre.
    max_instances : int
        Largest number of instances in the fleet.
    instances_per_leaf : int or None
        Largest number of instances that connect to one leaf; ``None`` if all
        instances do.
    isolation : str
        What an instance does with requests while it cannot confirm that its
        document is current: ``refuse`` or ``serve``.
    data_centre_delay_ms : float
        One-way delay between two data centres of a region, in milliseconds.
    region_delay_ms : float
        One-way delay between two regions, in milliseconds.
    caller_delay_ms : float
        One-way delay between a caller and an instance, in milliseconds.
    booking_writes_per_second : int
        Writes per second to the key-value service that bookings may cause, for
        all instances together.
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
    def instances_sharing_leaf(self) -> int:
        """Return how many instances share the connections of one leaf."""
        if self.instances_per_leaf is None:
            return self.max_instances
        return self.instances_per_leaf

    def delay_ms(self, from_data_centre: str, to_data_centre: str) -> float:
        """Return the one-way delay between data centres in milliseconds."""
        if from_data_centre == to_data_centre:
            return 0
        regions = self.regions_by_data_centre
        if regions.get(from_data_centre) == regions.get(to_data_centre):
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

    def connections_per_instance(self, service: ServiceSettings) -> int:
        """Return how many connections an instance may open to a leaf."""
        return max(1, service.connections // self.fleet.instances_sharing_leaf)

    def delays_s_by_leaf(
        self, service: ServiceSettings, data_centre: str
    ) -> dict[str, float]:
        """Return the one-way delay to each leaf, in seconds.

        Parameters
        ----------
        service : ServiceSettings
            Service whose leafs are returned.
        data_centre : str
            Data centre of the instance that sends to the leafs.
        """
        return {
            leaf_id: self.fleet.delay_ms(data_centre, leaf.data_centre)
            / MS_PER_S
            for leaf_id, leaf in service.leafs_by_id.items()
        }
