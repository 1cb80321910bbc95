"""Execution of forwarded requests over connections to registered leafs."""

import random
from collections import Counter
from collections.abc import Callable
from typing import cast

import attrs
from eliot import write_traceback
from result import Err, Result

from clementinebank.clock import now
from clementinebank.dispatch import (
    Action,
    CancelCall,
    RequestRun,
    SendCall,
    TraceEvent,
)
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding._delays import LinkDelays
from clementinebank.forwarding._forward import ForwardStateMachine
from clementinebank.forwarding._messages import (
    Answer,
    ForwardRequest,
    LeafCodec,
    LeafResponse,
    MergedAnswer,
)
from clementinebank.forwarding._shares import FleetShares
from clementinebank.forwarding._statements import StatementRecorder
from clementinebank.forwarding._topology import LeafTopology, create_topology
from clementinebank.forwarding._worth import values_of_services
from clementinebank.http import BufferLimit
from clementinebank.leafs import LeafDirectory, LeafEndpoint, LeafRecord
from clementinebank.placement import PlacementSettings, create_placement
from clementinebank.ratelimit import LimitTable
from clementinebank.routes import Route, RouteTable
from clementinebank.routing import (
    COLD_KEY_PREFIX,
    FORWARDING_ROUTING_POLICY,
    OUTCOMES_BY_CODE,
    SLOW_START_S,
    CallOutcome,
    ExtraLoadBudget,
    Router,
)
from clementinebank.upstream import LeafCall, LeafPool, LeafPools, LeafReply

MS_PER_S = 1000
# Time limit of a connect: several round trips between the farthest data
# centres.
CONNECT_TIMEOUT_S = 0.3
# Connections that a leaf accepts if the configuration gives no number for its
# service.
DEFAULT_CONNECTIONS_PER_LEAF = 8
# Slots of a leaf that the router assumes for all services. It is too large to
# limit requests: the slots that each leaf registers and the connections to it
# limit them.
MAX_SLOTS = 1_000_000
# Share of the allowed extra requests (retries and hedges) that the instances
# use. The limits apply to the whole fleet in each time window, and a request
# near the end of a window can be counted in the next one.
BUDGET_SAFETY_FACTOR = 0.9
# Share of the burst that is available at the start of a process: the process
# that it replaces may have spent its whole burst just before.
INITIAL_BURST_SHARE = 0.5
# HTTP status 421: the leaf is not the one that the request names.
MISDIRECTED_STATUS = 421

OnRequestEnd = Callable[[ForwardRequest, Route, list[TraceEvent], float], None]


@attrs.frozen
class ExtraLoadLimits:
    """Bound of the retries and hedges that the fleet sends to one service.

    Parameters
    ----------
    ratio : float
        Extra requests allowed for each request.
    burst : float
        Extra requests allowed beyond the ratio in one time window.
    """

    ratio: float = 0.2
    burst: float = 50


@attrs.define(eq=False)
class ForwardingEngine:
    """Forwarder of requests, with their shared connections and routing state.

    Parameters
    ----------
    codec : LeafCodec
        Encodes requests to leafs and decodes their responses.
    table : RouteTable
        Routes in force.
    directory : LeafDirectory
        Registered leafs.
    delays : LinkDelays
        Estimates of the link delays to the data centres.
    limits : ExtraLoadLimits
        Bound of the retries and hedges to one service by the whole fleet.
    shares : FleetShares
        Shares of this instance in the connections to a leaf and in the burst
        of extra requests.
    buffers : BufferLimit
        Bounds of the response bodies that are being read.
    on_request_end : callable or None
        Called when a request has ended, with the request, its route, its
        trace and its duration in seconds.
    on_gathering_end : callable or None
        Called in the same way when a request has ended that was gathered for
        another instance.
    rng : random.Random
        Source of randomness for the choice of leafs.
    placement : PlacementSettings
        What the operators pay for work that leaves its data centre.
    router : Router
        Routing state; its groups are the services.
    statements : StatementRecorder
        Applies what leafs state about themselves.
    answer_counts : Counter of str
        Answers that were not taken for the one due, on all connections.
    """

    codec: LeafCodec
    table: RouteTable
    directory: LeafDirectory
    delays: LinkDelays
    limits: ExtraLoadLimits = ExtraLoadLimits()
    shares: FleetShares = FleetShares(8)
    buffers: BufferLimit = attrs.Factory(BufferLimit)
    on_request_end: OnRequestEnd | None = None
    on_gathering_end: OnRequestEnd | None = None
    rng: random.Random = attrs.Factory(random.Random)
    placement: PlacementSettings = PlacementSettings()
    router: Router = attrs.field(init=False)
    statements: StatementRecorder = attrs.field(init=False)
    answer_counts: Counter[str] = attrs.field(init=False, factory=Counter)
    _pools_by_service: dict[str, LeafPools] = attrs.Factory(dict)
    _aggregated_services: set[str] = attrs.Factory(set)

    def __attrs_post_init__(self) -> None:
        """Create a router without leafs, which ``update`` adds."""
        self.router = Router(
            LeafTopology({}, MAX_SLOTS, self.limits.ratio),
            self.rng,
            policy=FORWARDING_ROUTING_POLICY,
            placement=create_placement(self.placement),
            limits=LimitTable(self._limit_share, rng=self.rng),
        )
        self.statements = StatementRecorder(self.router, self.directory)

    def set_fleet(
        self, size: int, aggregator_count: int, *, is_aggregator: bool
    ) -> None:
        """Change the shares of this instance; ``update`` applies them.

        Parameters
        ----------
        size : int
            Number of instances.
        aggregator_count : int
            Number of instances that gather requests for the others.
        is_aggregator : bool
            Whether this instance is one of them.
        """
        self.shares = FleetShares(size, aggregator_count, is_aggregator)

    async def update(self) -> None:
        """Apply the current leaf records and routing configuration.

        Updates the routing state, opens and retires connection pools, and
        stops the pools of services that have no leaf any more.
        """
        self._aggregated_services = self.aggregated_services()
        topology = create_topology(
            self.directory.records_by_id, MAX_SLOTS, self.limits.ratio
        )
        delays_s_by_leaf = {
            record.incarnation_id: self.delays.delay_s(record.data_centre)
            for record in self.directory.records_by_id.values()
        }
        self.router.regions_by_leaf = {
            record.incarnation_id: self.delays.region_of(record.data_centre)
            for record in self.directory.records_by_id.values()
        }
        self._update_placement()
        known_leaf_ids = set(self.router.leafs_by_id)
        self._apply_cold_rates()
        self.router.update_service(topology, now(), delays_s_by_leaf, MAX_SLOTS)
        self._update_budgets()
        for record in self.directory.records_by_id.values():
            self._update_leaf(
                record, is_new=record.incarnation_id not in known_leaf_ids
            )
        self.statements.retain()
        for service, group in topology.groups_by_id.items():
            self._ensure_budget(service)
            pools = self._pools_by_service.get(service)
            if pools is None:
                pools = self._create_pools()
                self._pools_by_service[service] = pools
            share = self._connection_share(service)
            await pools.update(group.leafs_by_id, max(1, int(share)))
            for pool in pools.pools_by_leaf.values():
                # All instances together must not hold more connections than
                # the leaf accepts, so one without a whole share closes its
                # connection after each call.
                pool.keeps_connections = share >= 1
        for service in list(self._pools_by_service):
            if service not in topology.groups_by_id:
                await self._pools_by_service.pop(service).stop()

    def _apply_cold_rates(self) -> None:
        configuration = self.table.configuration
        if configuration is not None:
            cold_rates = configuration.cold_rates_by_service
            self.router.cold_rates_by_group = cold_rates

    def _update_placement(self) -> None:
        """Apply the places of the leafs and the worth of the services."""
        placement = self.router.placement
        if placement is None:
            return
        placement.set_values(values_of_services(self.table.configuration))
        delays = self.delays
        own_region = delays.region_of(delays.data_centre)
        self.router.prices_by_leaf = {
            record.incarnation_id: self.placement.price(
                is_same_data_centre=record.data_centre == delays.data_centre,
                is_same_region=(
                    delays.region_of(record.data_centre) == own_region
                ),
            )
            for record in self.directory.records_by_id.values()
        }

    def set_limits(self, limits: ExtraLoadLimits) -> None:
        """Apply changed bounds of the extra requests to every budget."""
        self.limits = limits
        self._update_budgets()

    async def forward(
        self, request: ForwardRequest, route: Route
    ) -> Result[Answer, Failure]:
        """Forward one request; return its answer or a failure by its deadline.

        Parameters
        ----------
        request : ForwardRequest
            Request of the caller.
        route : Route
            Route of the request.

        Returns
        -------
        Result
            The answer for the caller, or the failure if no leaf gave one.
        """
        services = self.table.choose_services(route)
        forward = ForwardStateMachine(request, route, services, self.router)
        return await self._run(forward, self.on_request_end)

    async def gather(
        self, request: ForwardRequest, route: Route
    ) -> Result[MergedAnswer, Failure]:
        """Gather the answers to one scatter-gather request.

        Parameters
        ----------
        request : ForwardRequest
            Request of a caller of another instance.
        route : Route
            Scatter-gather route, as the other instance knows it.

        Returns
        -------
        Result
            The merged answer, or the failure if too few leafs answered.
        """
        forward = ForwardStateMachine(
            request, route, route.services, self.router
        )
        outcome = await self._run(forward, self.on_gathering_end)
        return cast(Result[MergedAnswer, Failure], outcome)

    async def _run(
        self, forward: ForwardStateMachine, on_end: OnRequestEnd | None
    ) -> Result[Answer, Failure]:
        """Run a request and report its end."""
        started_at = now()
        try:
            return await _ForwardRun(state_machine=forward, engine=self).run()
        finally:
            if on_end is not None:
                on_end(
                    forward.request,
                    forward.route,
                    forward.trace,
                    now() - started_at,
                )

    def aggregated_services(self) -> set[str]:
        """Return the services whose requests aggregators gather."""
        configuration = self.table.configuration
        if configuration is None:
            return set()
        return {
            service
            for route in configuration.routes
            if route.scatter_gather is not None
            for service in route.scatter_gather.services
        }

    def pool_of(self, action: SendCall) -> LeafPool | None:
        """Return the pool of the leaf to call, ``None`` if it has no pool."""
        pools = self._pools_by_service.get(action.group_id)
        return pools.pools_by_leaf.get(action.leaf_id) if pools else None

    def _update_leaf(self, record: LeafRecord, *, is_new: bool) -> None:
        """Copy slots, drain and slow start from a record to its leaf's state.

        A leaf that was known before keeps its slow start.
        """
        leaf = self.router.leafs_by_id[record.incarnation_id]
        leaf.set_capacity(
            record.slots, max(1, int(self._connection_share(record.service)))
        )
        if record.is_draining:
            leaf.start_drain(now())
        leaf.set_evacuated(
            now(), is_evacuated=self.directory.is_evacuated(record.data_centre)
        )
        self.statements.update_cold(record)
        if is_new:
            cold_s = min(SLOW_START_S, record.cold_s)
            leaf.cold_since = (
                now() + cold_s - SLOW_START_S if cold_s > 0 else None
            )

    def _connection_share(self, service: str) -> float:
        """Return how many connections to each leaf are this instance's."""
        configuration = self.table.configuration
        limits = configuration.connections_by_service if configuration else {}
        return self.shares.share_of(
            limits.get(service, DEFAULT_CONNECTIONS_PER_LEAF),
            is_aggregated=service in self._aggregated_services,
        )

    def _limit_share(self, leaf_id: str) -> float:
        """Return the share of this instance in the rate limit of a leaf."""
        service = self.router.group_of(leaf_id.removeprefix(COLD_KEY_PREFIX))
        return self.shares.share_of(
            1, is_aggregated=service in self._aggregated_services
        )

    def _burst_share(self, service: str) -> float:
        """Return the burst of extra requests that this instance may send."""
        burst_share = self.shares.share_of(
            BUDGET_SAFETY_FACTOR * self.limits.burst,
            is_aggregated=service in self._aggregated_services,
        )
        return max(1, burst_share)

    def _update_budgets(self) -> None:
        """Apply the limits and the shares of this instance to every budget."""
        for service, budget in self.router.budgets_by_group.items():
            capacity = self._burst_share(service)
            budget.set_limits(
                BUDGET_SAFETY_FACTOR * self.limits.ratio, capacity
            )
            # The share is known only after the first relays have registered,
            # when the bucket exists already.
            budget.set_initial_tokens(INITIAL_BURST_SHARE * capacity)

    def _ensure_budget(self, service: str) -> None:
        """Create the budget of extra requests of a service if it has none."""
        if service not in self.router.budgets_by_group:
            capacity = self._burst_share(service)
            budget = ExtraLoadBudget(
                BUDGET_SAFETY_FACTOR * self.limits.ratio, capacity
            )
            budget.set_initial_tokens(INITIAL_BURST_SHARE * capacity)
            self.router.budgets_by_group[service] = budget

    def _create_pools(self) -> LeafPools:
        return LeafPools(
            _ignore_status, create_pool=self._create_pool, is_probed=False
        )

    def _create_pool(
        self, leaf: LeafEndpoint, max_connections: int
    ) -> LeafPool:
        return LeafPool(
            leaf,
            max_connections,
            self.codec.protocol,
            CONNECT_TIMEOUT_S,
            self._on_connected,
            self.buffers,
            answer_counts=self.answer_counts,
        )

    def _on_connected(self, leaf: LeafEndpoint, elapsed_s: float) -> None:
        """Update the delay estimate of the data centre and of the leaf."""
        self.delays.observe(leaf.data_centre, elapsed_s)
        state = self.router.leafs_by_id.get(leaf.leaf_id)
        if state is not None:
            state.delay_s = self.delays.delay_s(leaf.data_centre)


@attrs.define(eq=False, kw_only=True)
class _ForwardRun(RequestRun):
    """Runner of one forwarded request, which performs its actions.

    Parameters
    ----------
    state_machine : ForwardStateMachine
        State of the request.
    engine : ForwardingEngine
        Connections and routing state.
    """

    state_machine: ForwardStateMachine
    engine: ForwardingEngine
    _pools_by_attempt: dict[str, LeafPool | None] = attrs.Factory(dict)

    async def cancel(self, action: CancelCall) -> None:
        """Cancel a call, or give its place back if it never came to a pool."""
        if action.attempt_id not in self._pools_by_attempt:
            self._release(action)
        pool = self._pools_by_attempt.get(action.attempt_id)
        if pool is not None:
            await pool.cancel(action.attempt_id)

    async def send(self, action: SendCall) -> None:
        """Send the request to a leaf, with the time left as its deadline."""
        pool = self.engine.pool_of(action)
        if pool is None:
            await self._fail_without_pool(action)
            return
        request = self.state_machine.request
        finish_at = self.state_machine.dispatcher.finish_at
        remaining_ms = max(1, int((finish_at - now()) * MS_PER_S))
        leaf_id = action.leaf_id.rpartition('@')[0]
        message = self.engine.codec.encode(request, leaf_id, remaining_ms)
        self._pools_by_attempt[action.attempt_id] = pool
        await pool.submit(
            LeafCall(
                action.attempt_id,
                message,
                finish_at,
                self._on_reply,
                echoed_id=request.request_id,
            )
        )

    async def _fail_without_pool(self, action: SendCall) -> None:
        """Report a call as not run because its leaf has no pool.

        This happens while ``update`` adds or removes the leaf.
        """
        failure = Failure(
            'pool_retired',
            'the leaf has no connections',
            Step.DISPATCH,
            peer=action.leaf_id,
            execution=Execution.NOT_RUN,
        )
        self._pools_by_attempt[action.attempt_id] = None
        self._release(action)
        await self.replies.put((action.attempt_id, Err(failure)))

    def _release(self, action: SendCall | CancelCall) -> None:
        """Give back the place at the leaf of a call that no pool gets."""
        self.engine.router.on_end(action.leaf_id, now(), 0, CallOutcome.UNSENT)

    async def _on_reply(self, reply: LeafReply) -> None:
        """Update the routing state and pass the outcome to the request.

        A reply that arrives after the request or its shard has ended only
        updates the routing state. It counts as a cancelled call, unless it
        ends an overtaken call: one that was slower than its hedge delay and
        kept new requests from the leaf until its end.
        """
        dispatcher = self.state_machine.dispatcher
        router = self.engine.router
        is_current = reply.call_id in dispatcher.shards_by_attempt
        ended_overtaken_call = router.end_overtaken_call(
            reply.leaf_id, reply.call_id
        )
        is_counted = is_current or ended_overtaken_call
        outcome = self._decode(reply)
        router.on_end(
            reply.leaf_id,
            now(),
            reply.elapsed_s,
            _classify_outcome(outcome) if is_counted else CallOutcome.CANCELLED,
            self.state_machine.route.name,
        )
        if is_current and self.result is None:
            self._trace_exchange(reply, outcome)
            await self.replies.put((reply.call_id, outcome))

    def _trace_exchange(
        self, reply: LeafReply, outcome: Result[LeafResponse, Failure]
    ) -> None:
        """Trace on which connection a call failed, or got a late answer."""
        exchange = reply.exchange
        is_usual = not isinstance(outcome, Err) and outcome.ok_value.is_success
        if exchange is None or (is_usual and not exchange.late_count):
            return
        status = None
        if not isinstance(outcome, Err):
            status = outcome.ok_value.response.status
        self.state_machine.dispatcher.trace(
            now(),
            'reply',
            leaf=reply.leaf_id,
            status=status,
            connection=exchange.port,
            request_number=exchange.request_number,
            late_answers=exchange.late_count,
        )

    def _decode(self, reply: LeafReply) -> Result[LeafResponse, Failure]:
        """Decode a reply and update the routing state with its statements.

        An unexpected error fails the call, which may have run.
        """
        try:
            outcome = reply.outcome.map(self.engine.codec.decode)
            if not isinstance(outcome, Err):
                self.engine.statements.record(
                    reply.leaf_id, outcome.ok_value, reply.elapsed_s
                )
        except Exception as error:
            write_traceback()
            return Err(
                Failure(
                    'internal_error',
                    f'unexpected {type(error).__name__}',
                    Step.READ,
                    peer=reply.leaf_id,
                    execution=Execution.UNKNOWN,
                )
            )
        return outcome

    def on_outcome(
        self, call_id: str, outcome: Result[LeafResponse, Failure]
    ) -> list[Action]:
        """Pass the outcome of a call to the request; return its actions."""
        if isinstance(outcome, Err):
            return self.state_machine.on_failure(
                call_id, outcome.err_value, now()
            )
        return self.state_machine.on_response(call_id, outcome.ok_value, now())


def _classify_outcome(outcome: Result[LeafResponse, Failure]) -> CallOutcome:
    """Return how the outcome of a call counts in the state of its leaf."""
    if isinstance(outcome, Err):
        code = outcome.err_value.code
        return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
    leaf_response = outcome.ok_value
    if leaf_response.response.status == MISDIRECTED_STATUS:
        # Another leaf listens at the address now, so the called one has left
        # and must get no more requests.
        return CallOutcome.DRAINING
    if leaf_response.execution is Execution.NOT_RUN:
        return CallOutcome.REFUSED
    is_failure = leaf_response.response.status >= 500
    return CallOutcome.FAILED if is_failure else CallOutcome.GOOD


def _ignore_status(*status: object) -> None:
    """Ignore the status of a leaf; pools without probes never request it."""
