"""An instance that forwards requests of callers to leafs by route."""

from typing import Any

import attrs
import curio
from eliot import log_message
from result import Err

from clementinebank.aggregation import (
    AggregationService,
    AggregatorSelector,
    Delegator,
)
from clementinebank.clock import now
from clementinebank.departures import DepartureAnnouncer
from clementinebank.errors import Failure
from clementinebank.forwarding import (
    CallerCodec,
    ExtraLoadLimits,
    ForwardingEngine,
    LeafCodec,
    LinkDelays,
)
from clementinebank.gateway._admission import Admission
from clementinebank.gateway._caller_limits import create_caller_limits
from clementinebank.gateway._changes import DecodeEntry
from clementinebank.gateway._limit_peers import LimitPeers
from clementinebank.gateway._peer_server import PeerServices, create_peer_server
from clementinebank.gateway._probes import PlatformListeners
from clementinebank.gateway._refusal_log import RefusalLog
from clementinebank.gateway._request_log import RequestLog
from clementinebank.gateway._samples import read_gateway_samples
from clementinebank.gateway._settings import GatewaySettings
from clementinebank.gateway._state_facts import read_state_facts
from clementinebank.gateway._updater import ControlStateUpdater
from clementinebank.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    ServerResources,
)
from clementinebank.leafs import LeafDirectory
from clementinebank.metrics import Metrics, names
from clementinebank.process import SignalWaiter, supervise
from clementinebank.ratelimit import LimitClient, LimitService
from clementinebank.relay import (
    ControlStore,
    EntryLog,
    RelayClient,
    RelayDirectory,
    RelayedFeed,
    RelayRegistration,
    RelayService,
    RemovalBounds,
)
from clementinebank.routes import RouteTable
from clementinebank.rpc import RpcServer

# Time for which a stopping instance still accepts requests: the load balancer
# checks readiness once a second and removes an instance after two failures.
ACCEPT_AFTER_STOP_S = 2.5
# Share of the time between SIGTERM and the kill after which requests in flight
# are cut.
DRAIN_TIME_SHARE = 0.9
# Retry-After of a failed request; short, because the caller's next attempt
# reaches another instance.
RETRY_AFTER_S = 0.05
# Retry-After while no routes are loaded: loading them takes at least one call
# to the store.
RETRY_AFTER_WITHOUT_ROUTES_S = 0.25
# Time for which binding a listener to a port in use is retried.
BIND_TIMEOUT_S = 10.0


@attrs.define(eq=False)
class Gateway:
    """One gateway instance: its listeners, forwarding engine and control state.

    Parameters
    ----------
    settings : GatewaySettings
        Addresses of the listeners, bounds and seeds.
    store : ControlStore
        Holds routes, registered leafs and registered relays.
    decode_entry : callable
        Returns the change that an entry of the store makes, or ``None``.
    caller_codec : CallerCodec
        Decodes requests of callers and encodes responses to them.
    leaf_codec : LeafCodec
        Encodes requests to leafs and decodes their responses.
    background : list of callable
        Further coroutine functions that run with the gateway.
    """

    settings: GatewaySettings
    store: ControlStore
    decode_entry: DecodeEntry
    caller_codec: CallerCodec
    leaf_codec: LeafCodec
    stop_signal: SignalWaiter = attrs.Factory(SignalWaiter)
    route_table: RouteTable = attrs.Factory(RouteTable)
    metrics: Metrics = attrs.Factory(Metrics)
    is_draining: bool = False
    background: list[Any] = attrs.Factory(list)
    entry_log: EntryLog = attrs.Factory(EntryLog)
    relays: RelayDirectory = attrs.Factory(RelayDirectory)
    server_resources: ServerResources = attrs.field(init=False)
    leaf_directory: LeafDirectory = attrs.field(init=False)
    engine: ForwardingEngine = attrs.field(init=False)
    registration: RelayRegistration = attrs.field(init=False)
    feed: RelayedFeed = attrs.field(init=False)
    delegator: Delegator = attrs.field(init=False)
    aggregation: AggregationService = attrs.field(init=False)
    limit_service: LimitService = attrs.field(init=False)
    limit_client: LimitClient = attrs.field(init=False)
    admission: Admission = attrs.field(init=False)
    refusal_log: RefusalLog = attrs.Factory(RefusalLog)
    departures: DepartureAnnouncer = attrs.field(init=False)
    updater: ControlStateUpdater = attrs.field(init=False)
    peer_server: RpcServer = attrs.field(init=False)
    server: HttpServer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the parts of the instance; nothing is started."""
        settings = self.settings
        bounds = settings.bounds
        self.server_resources = ServerResources(
            settings.resources.memory_budget
        )
        self.leaf_directory = LeafDirectory(bounds.drain_s)
        self._bound_memory()
        self.admission = Admission(self.route_table, self.entry_log, bounds)
        self._bound_removals()
        self._create_engine()
        self._create_feed()
        self.updater = ControlStateUpdater(
            self.feed,
            self.decode_entry,
            self.route_table,
            self.leaf_directory,
            self.relays,
            self.entry_log,
            self._on_changes_applied,
            bounds.watch_wait_s,
        )
        self.server = HttpServer(
            settings.callers.host,
            settings.callers.port,
            self.handle,
            create_caller_limits(None, settings.resources),
            self._on_server_failure,
            BIND_TIMEOUT_S,
            self.server_resources,
        )
        self.metrics.add_source(lambda: read_gateway_samples(self))
        self.metrics.add_source(self.admission.metric_samples)

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests here.

        True once the control state is loaded and a configuration is in force,
        until the instance begins to stop.
        """
        return (
            self.updater.is_loaded
            and self.route_table.configuration is not None
            and not self.is_draining
        )

    async def run(self) -> int:
        """Serve until a stop signal, drain and return the exit status."""
        log_message(
            message_type='gateway:started',
            instance=self.settings.instance_id,
            data_centre=self.settings.data_centre,
        )
        listeners = PlatformListeners(
            lambda: self.is_ready, self.metrics, BIND_TIMEOUT_S
        )
        for corofunc in (
            listeners.create_readiness(self.settings.readiness).serve,
            listeners.create_metrics(self.settings.metrics).serve,
            self.updater.run,
            self.peer_server.serve,
            self.peer_server.cancel_disconnected,
            self.registration.run,
            self.limit_client.run,
            self.admission.quota_client.run,
            self.departures.run,
            self.server.serve,
            self.server.cancel_disconnected,
            *self.background,
        ):
            await curio.spawn(
                supervise, corofunc, self._count_task_failure, daemon=True
            )
        await self.stop_signal.wait()
        return await self._drain()

    async def handle(self, message: HttpRequest) -> HttpResponse:
        """Forward one request of a caller and return the response to it."""
        try:
            request = self.caller_codec.decode(message)
        except Failure as failure:
            self._count_refusal(failure)
            return self.caller_codec.encode_failure('', failure, RETRY_AFTER_S)
        try:
            route = self.admission.find_route(message)
            request = await self.admission.admit(request, route)
        except Failure as failure:
            return self._refuse(request.request_id, failure)
        outcome = await self.delegator.forward(request, route)
        if isinstance(outcome, Err):
            return self.caller_codec.encode_failure(
                request.request_id,
                outcome.err_value,
                outcome.err_value.retry_after_s or RETRY_AFTER_S,
            )
        return self.caller_codec.encode(request.request_id, outcome.ok_value)

    def _refuse(self, request_id: str, failure: Failure) -> HttpResponse:
        """Return the response to a request that is not admitted."""
        self._count_refusal(failure)
        self.refusal_log.record(
            failure,
            request_id=request_id,
            instance=self.settings.instance_id,
            **read_state_facts(self.route_table, self.entry_log),
        )
        return self.caller_codec.encode_failure(
            request_id,
            failure,
            failure.retry_after_s or RETRY_AFTER_WITHOUT_ROUTES_S,
        )

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put changed bounds and seeds in force.

        Other changed settings are ignored until a restart, which is logged.
        """
        bounds, seeds = settings.bounds, settings.seeds
        applied = attrs.evolve(self.settings, bounds=bounds, seeds=seeds)
        if applied != settings:
            log_message(message_type='gateway:restart_needed')
        self.settings = applied
        self.feed.seed_relays = seeds
        self.admission.apply_bounds(bounds)
        self.registration.is_seed = applied.peers in seeds
        self.leaf_directory.drain_limit_s = bounds.drain_s
        self._bound_removals()
        self.updater.watch_wait_s = bounds.watch_wait_s
        self.feed.bounds = bounds.freshness
        self.engine.set_limits(
            ExtraLoadLimits(bounds.retry_ratio, bounds.retry_burst)
        )

    def _bound_memory(self) -> None:
        """Bound what is kept longer than a request by the own memory."""
        resources = self.settings.resources
        self.entry_log.max_state_bytes = resources.state_bytes
        self.entry_log.max_removal_bytes = resources.removal_bytes
        self.metrics.max_distribution_bytes = resources.distribution_bytes

    def _bound_removals(self) -> None:
        """Let removals count early enough for the drain limit."""
        self.entry_log.removal_bounds = RemovalBounds(
            self.leaf_directory.removal_notice_s,
            self.settings.bounds.freshness.max_age_s,
        )

    def _create_engine(self) -> None:
        """Create the forwarding of requests, here and by aggregators."""
        settings = self.settings
        bounds = settings.bounds
        delays = LinkDelays(
            settings.data_centre, settings.regions_by_data_centre
        )
        request_log = RequestLog(
            self.metrics,
            self.route_table,
            self.entry_log,
            settings.instance_id,
        )
        self.engine = ForwardingEngine(
            self.leaf_codec,
            self.route_table,
            self.leaf_directory,
            delays,
            ExtraLoadLimits(bounds.retry_ratio, bounds.retry_burst),
            buffers=settings.resources.buffer_limit,
            on_request_end=request_log.record,
            on_gathering_end=request_log.record_gathering,
            placement=settings.placement,
        )
        self.delegator = Delegator(
            self.engine,
            self.relays,
            AggregatorSelector(settings.peers, delays),
            on_request_end=request_log.record,
        )
        self.aggregation = AggregationService(
            self.engine.gather, self._has_leafs, self.metrics
        )

        router = self.engine.router
        self.limit_service = self.admission.create_limit_service(
            router.limits, router.merge_limits
        )
        limit_peers = LimitPeers(
            settings.data_centre,
            settings.peers,
            self.relays,
            self.leaf_directory,
        )
        self.limit_client = LimitClient(
            settings.peers,
            self.limit_service,
            limit_peers.find_coordinator,
            limit_peers.listeners,
            self.entry_log.wake_waiting,
        )
        self.admission.use_limits(
            self.limit_client, lambda: self.relays.fleet_size(now())
        )
        self.departures = DepartureAnnouncer(
            settings.peers,
            self.leaf_directory,
            limit_peers.listeners,
            self.engine.statements.on_leaving,
            self.entry_log.wake_waiting,
        )

    def _encode_notice(self) -> bytes:
        """Return what the followers of this relay have to know of leafs.

        The encodings of two protobuf messages without a common field number
        can be appended to each other.
        """
        limits = self.limit_service.encode_notice()
        return limits + self.departures.encode_notice()

    def _apply_notice(self, notice: bytes) -> None:
        self.limit_service.apply_notice(notice)
        self.departures.apply_notice(notice)

    def _has_leafs(self, service: str) -> bool:
        return service in self.engine.router.service.groups_by_id

    def _create_feed(self) -> None:
        """Create the feed of control entries and the relay of this instance."""
        settings = self.settings
        service = RelayService(
            self.entry_log,
            self._encode_notice,
            settings.resources.follower_bytes,
        )
        cores = settings.resources.cores
        self.peer_server = create_peer_server(
            settings,
            PeerServices(
                service, self.aggregation, self.limit_service, self.departures
            ),
            self.server_resources,
        )
        self.registration = RelayRegistration(
            settings.instance_id,
            settings.data_centre,
            settings.peers,
            self.store,
            self.relays,
            self.entry_log,
            service,
            is_seed=settings.peers in settings.seeds,
            cores=cores,
        )
        self.feed = RelayedFeed(
            self.store,
            RelayClient(
                settings.instance_id,
                settings.peers,
                self.entry_log,
                data_centre=settings.data_centre,
                cores=cores,
                on_notice=self._apply_notice,
            ),
            self.relays,
            self.registration,
            self.entry_log,
            settings.bounds.freshness,
            settings.seeds,
            settings.regions_by_data_centre,
        )

    async def _on_changes_applied(self) -> None:
        """Pass changed limits and leafs on to the server and the engine."""
        configuration = self.route_table.configuration
        if configuration is not None:
            self.admission.update()
            self.server.state.limits = create_caller_limits(
                configuration.limits, self.settings.resources
            )
        await self.delegator.update()
        self.aggregation.is_accepting = not self.is_draining

    async def _drain(self) -> int:
        """Finish accepted requests and return the exit status.

        Requests are still accepted for a while, because the load balancer
        needs time to send callers elsewhere. Then the listener is closed, and
        requests in flight may finish until shortly before the kill.
        """
        started = now()
        self.is_draining = True
        self.aggregation.is_accepting = False
        self.server.announce_close()
        log_message(
            message_type='gateway:leaving', in_flight=self.server.in_flight
        )
        await curio.spawn(self.registration.unregister, daemon=True)
        await curio.sleep(
            min(ACCEPT_AFTER_STOP_S, self.settings.bounds.shutdown_s / 2)
        )
        end = started + DRAIN_TIME_SHARE * self.settings.bounds.shutdown_s
        await self.server.stop_accepting()
        cut_count = await self.server.drain(max(0, end - now()))
        cut_count += await self.aggregation.drain(max(0, end - now()))
        log_message(message_type='gateway:stopped', requests_cut=cut_count)
        return 0

    def _count_refusal(self, failure: Failure) -> None:
        self.metrics.add(names.REFUSALS, listener='callers', code=failure.code)

    def _count_task_failure(self, name: str) -> None:
        self.metrics.add(names.TASK_FAILURES, task=name)

    def _on_server_failure(self, failure: Failure) -> None:
        self._count_refusal(failure)
        log_message(message_type='caller:failure', reason=str(failure))
