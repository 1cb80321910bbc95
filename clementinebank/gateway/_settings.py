"""Settings of a gateway instance."""

import resource
from math import inf
from pathlib import Path

import attrs
from result import Result

from clementinebank.errors import FieldProblem
from clementinebank.http import BufferLimit, MemoryBudget
from clementinebank.placement import PLACEMENT_POLICIES, PlacementSettings
from clementinebank.ratelimit import QuotaBounds
from clementinebank.relay import FreshnessBounds
from clementinebank.validation import Address, FieldReader, load_yaml

MS_PER_S = 1000
# Time that is left for a silent watch to time out and for the call that
# replaces it.
WATCH_RENEWAL_RESERVE_S = 2.0
# Least time for which a watch waits.
MIN_WATCH_WAIT_S = 1.0
# Least share and speed of a processor.
MIN_PROCESSOR = 0.01
# Least memory of an instance; without any load it takes half of it.
MIN_MEMORY_MB = 64
BYTES_PER_MB = 1_000_000
# Share of the memory for the bodies of responses of leafs that are being read.
BUFFERED_MEMORY_SHARE = 0.2
# Shares of the memory for the entries of the store as bytes, for what is kept
# of removed ones, for the followers of a relay, for the distributions of the
# metrics, and for log lines that aren't written yet.
STATE_MEMORY_SHARE = 0.25
REMOVALS_MEMORY_SHARE = 0.01
FOLLOWERS_MEMORY_SHARE = 0.02
METRICS_MEMORY_SHARE = 0.05
LOG_MEMORY_SHARE = 0.02
# Share of the memory for bodies of callers, answers to them and messages of
# other instances. With the share above, what is left is for the program, its
# connections and the entries of the control store.
CALLER_MEMORY_SHARE = 0.25
# Descriptors that are kept for files.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors for connections of callers and of other
# instances; what is left is for connections to leafs and the store.
CALLER_DESCRIPTOR_SHARE = 0.5
PEER_DESCRIPTOR_SHARE = 0.3
MIN_CONNECTIONS = 16
MIN_DESCRIPTORS = 300
# Bodies of the largest accepted size that fit into the buffers at once.
MAX_BODIES_IN_BUFFERS = 16


@attrs.frozen
class GatewayBounds:
    """Limits that the operators of the platform guarantee or require.

    Parameters
    ----------
    drain_s : float
        Time after which a leaf that drains or whose registration was removed
        must get no new requests, in seconds.
    shutdown_s : float
        Time from SIGTERM to the kill of the process, in seconds.
    stable_window_s : float
        Time after a fault within which the bounds need not hold, in seconds.
    change_s : float
        Time after which a changed configuration must be in force, in seconds.
    evacuation_s : float
        Time after which the leafs of an evacuated data centre must get no
        requests, in seconds; infinity if the platform states none.
    retry_ratio : float
        Extra requests (retries and hedges) to a service for each request of
        a caller, over the whole fleet.
    retry_burst : float
        Extra requests to a service beyond the ratio in one window.
    quota : QuotaBounds
        How far the requests of client accounts may exceed their quotas.
    """

    drain_s: float
    shutdown_s: float
    retry_ratio: float
    retry_burst: float
    stable_window_s: float = 4.0
    change_s: float = 3.0
    evacuation_s: float = inf
    quota: QuotaBounds = QuotaBounds()

    @property
    def freshness(self) -> FreshnessBounds:
        """Return the bounds on the age of the instance's control state."""
        return FreshnessBounds(
            min(self.change_s, self.drain_s, self.evacuation_s)
        )

    @property
    def watch_wait_s(self) -> float:
        """Return how long one watch may wait for a change, in seconds.

        A watch whose connection went silent in a fault must have timed out
        and been replaced before the first change after the fault has to be in
        force.
        """
        wait_s = self.stable_window_s + self.change_s - WATCH_RENEWAL_RESERVE_S
        return max(MIN_WATCH_WAIT_S, wait_s)


def _descriptor_limit() -> int:
    """Return the limit of the system for this process."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft_limit


@attrs.frozen
class ResourceLimits:
    """Resources of the machine of an instance.

    Parameters
    ----------
    processor_share : float
        Share of its processor that the instance may use, above 0.
    processor_speed : float
        Speed of the processor, as a multiple of a core.
    memory_mb : float
        Memory at which the process is killed, in megabytes.
    max_descriptors : int
        Largest number of open descriptors of the process.
    """

    processor_share: float
    processor_speed: float
    memory_mb: float
    max_descriptors: int = attrs.field(factory=_descriptor_limit)

    @property
    def memory_budget(self) -> MemoryBudget:
        """Return the budget of what callers make the instance hold."""
        return MemoryBudget(CALLER_MEMORY_SHARE * self.memory_mb * BYTES_PER_MB)

    @property
    def max_caller_connections(self) -> int:
        """Return the largest number of connections of callers."""
        return self._connections(CALLER_DESCRIPTOR_SHARE)

    @property
    def max_peer_connections(self) -> int:
        """Return the largest number of connections of other instances."""
        return self._connections(PEER_DESCRIPTOR_SHARE)

    @property
    def buffer_limit(self) -> BufferLimit:
        """Return the bounds of the response bodies that are being read."""
        max_bytes = self._share_bytes(BUFFERED_MEMORY_SHARE)
        return BufferLimit(max_bytes, int(max_bytes / MAX_BODIES_IN_BUFFERS))

    @property
    def state_bytes(self) -> float:
        """Return the largest size of the entries of the store, in bytes."""
        return self._share_bytes(STATE_MEMORY_SHARE)

    @property
    def removal_bytes(self) -> float:
        """Return the largest size of the removed entries, in bytes."""
        return self._share_bytes(REMOVALS_MEMORY_SHARE)

    @property
    def follower_bytes(self) -> float:
        """Return the largest size of what a relay keeps of followers."""
        return self._share_bytes(FOLLOWERS_MEMORY_SHARE)

    @property
    def distribution_bytes(self) -> float:
        """Return the largest size of the distributions of the metrics."""
        return self._share_bytes(METRICS_MEMORY_SHARE)

    @property
    def log_bytes(self) -> float:
        """Return the largest size of log lines that aren't written yet."""
        return self._share_bytes(LOG_MEMORY_SHARE)

    @property
    def cores(self) -> float:
        """Return the processor of the instance in cores."""
        return round(self.processor_share * self.processor_speed, 3)

    def _share_bytes(self, share: float) -> float:
        """Return a share of the memory in bytes."""
        return share * self.memory_mb * BYTES_PER_MB

    def _connections(self, share: float) -> int:
        sockets = self.max_descriptors - FILE_DESCRIPTORS
        return max(MIN_CONNECTIONS, int(share * sockets))


@attrs.frozen
class GatewaySettings:
    """Settings of one gateway instance.

    Parameters
    ----------
    instance_id : str
        Unique id of the instance.
    data_centre : str
        Data centre of the instance.
    callers, readiness, metrics, peers : Address
        Where the instance listens for requests of callers, readiness checks,
        reads of its metrics and other instances.
    control_store : Address
        Store that holds routes and registered leafs.
    regions_by_data_centre : dict of str to str
        Region of each data centre.
    bounds : GatewayBounds
        Limits of the platform.
    resources : ResourceLimits
        Resources of the machine.
    seeds : tuple of Address
        Addresses at which a few instances listen for other instances; asked
        for the control state before any relay is registered. This instance
        and instances that no longer exist may be among them.
    placement : PlacementSettings
        What the operators pay for work that leaves its data centre.
    """

    instance_id: str
    data_centre: str
    callers: Address
    readiness: Address
    metrics: Address
    peers: Address
    control_store: Address
    regions_by_data_centre: dict[str, str]
    bounds: GatewayBounds
    resources: ResourceLimits
    seeds: tuple[Address, ...] = ()
    placement: PlacementSettings = PlacementSettings()


def load_gateway_settings(
    path: Path,
) -> Result[GatewaySettings, list[FieldProblem]]:
    """Read and validate a YAML settings file.

    Returns
    -------
    Result
        The settings, or every problem found in the file.
    """
    return load_yaml(path, _read_settings)


def _read_settings(reader: FieldReader) -> GatewaySettings:
    listen = reader.child('listen')
    regions = reader.child('regions_by_data_centre')
    settings = GatewaySettings(
        instance_id=reader.text('instance_id'),
        data_centre=reader.text('data_centre'),
        callers=listen.address('callers'),
        readiness=listen.address('readiness'),
        metrics=listen.address('metrics'),
        peers=listen.address('peers'),
        control_store=reader.address('control_store'),
        regions_by_data_centre={
            name: regions.text(name) for name in regions.data
        },
        bounds=_read_bounds(reader.child('bounds')),
        resources=_read_resources(reader.child('resources')),
        seeds=reader.addresses('seeds'),
        placement=_read_placement(reader.child('placement', required=False)),
    )
    for part in (reader, listen, regions):
        part.report_unknown_fields()
    return settings


def _read_placement(reader: FieldReader) -> PlacementSettings:
    """Read the prices of work that leaves; without them nothing is held."""
    defaults = PlacementSettings()
    placement = PlacementSettings(
        reader.text(
            'policy', defaults.policy, choices=tuple(PLACEMENT_POLICIES)
        ),
        reader.number(
            'data_centre_price', defaults.data_centre_price, maximum=1
        ),
        reader.number('region_price', defaults.region_price, maximum=1),
        reader.number('max_away_share', defaults.max_away_share, maximum=1),
    )
    if placement.region_price < placement.data_centre_price:
        reader.report('region_price', 'must not be below data_centre_price')
    reader.report_unknown_fields()
    return placement


def _read_resources(reader: FieldReader) -> ResourceLimits:
    resources = ResourceLimits(
        reader.number('processor_share', minimum=MIN_PROCESSOR),
        reader.number('processor_speed', minimum=MIN_PROCESSOR),
        reader.number('memory_mb', minimum=MIN_MEMORY_MB),
        reader.integer(
            'max_descriptors', _descriptor_limit(), minimum=MIN_DESCRIPTORS
        ),
    )
    reader.report_unknown_fields()
    return resources


def _read_bounds(reader: FieldReader) -> GatewayBounds:
    bounds = GatewayBounds(
        drain_s=reader.number('drain_ms', minimum=1) / MS_PER_S,
        shutdown_s=reader.number('shutdown_s', minimum=0.1),
        retry_ratio=reader.number('retry_ratio', maximum=1),
        retry_burst=reader.number('retry_burst'),
        stable_window_s=reader.number('stable_window_ms') / MS_PER_S,
        change_s=reader.number('change_ms') / MS_PER_S,
        evacuation_s=(
            reader.number('evacuation_ms', minimum=1) / MS_PER_S
            if reader.has('evacuation_ms')
            else inf
        ),
        quota=_read_quota_bounds(reader),
    )
    reader.report_unknown_fields()
    return bounds


def _read_quota_bounds(reader: FieldReader) -> QuotaBounds:
    defaults = QuotaBounds()
    return QuotaBounds(
        reader.number('quota_window_s', defaults.window_s, minimum=0.1),
        reader.number('quota_excess', defaults.excess),
        reader.number('quota_slack', defaults.slack),
    )
