"""Runs forwarded requests over the connections to registered leafs."""

import random
from collections.abc import Callable

import attrs
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
from clementinebank.forwarding._forward import Forward
from clementinebank.forwarding._messages import (
    Answer,
    ForwardRequest,
    LeafAnswer,
    LeafCodec,
)
from clementinebank.forwarding._topology import LeafTopology, create_topology
from clementinebank.leafs import LeafDirectory, LeafRecord, LeafSettings
from clementinebank.routes import Route, RouteTable
from clementinebank.routing import (
    FORWARDING_POLICY,
    OUTCOMES_BY_CODE,
    SLOW_START_S,
    CallOutcome,
    ExtraLoadBudget,
    Router,
)
from clementinebank.upstream import LeafCall, LeafPool, LeafPools, LeafReply

MS_PER_S = 1000
# Several round trips between the farthest data centres.
CONNECT_TIMEOUT_S = 0.3
# Slots and connections of a leaf whose service states none.
DEFAULT_CONNECTIONS = 8
MAX_SLOTS = 1_000_000
# The bound of extra requests holds for the whole fleet; a part is kept for
# requests that are counted differently at its edge.
BUDGET_SAFETY = 0.9
# A process that has just started may follow one that spent its burst.
OPENING_SHARE = 0.5
MISDIRECTED = 421

OnTrace = Callable[[ForwardRequest, Route, list[TraceEvent], float], None]


@attrs.frozen
class ExtraLoadLimits:
    """Bound of the extra requests to one service by the whole fleet.

    Parameters
    ----------
    ratio : float
        Extra requests for each request.
    burst : float
        Extra requests beyond the ratio in one window.
    """

    ratio: float = 0.2
    burst: float = 50


@attrs.define(eq=False)
class ForwardingEngine:
    """Leaf connections and routing state of all services.

    Parameters
    ----------
    codec : LeafCodec
        Interface of the leafs.
    table : RouteTable
        Routes in force.
    directory : LeafDirectory
        Registered leafs.
    delays : LinkDelays
        Delays to the data centres.
    limits : ExtraLoadLimits
        Bound of the extra requests.
    fleet_size : int
        Instances that share the connections and the burst.
    on_trace : callable or None
        Receives each request that ended, with its trace.
    """

    codec: LeafCodec
    table: RouteTable
    directory: LeafDirectory
    delays: LinkDelays
    limits: ExtraLoadLimits = ExtraLoadLimits()
    fleet_size: int = 8
    on_trace: OnTrace | None = None
    rng: random.Random = attrs.Factory(random.Random)
    router: Router = attrs.field(init=False)
    _pools_by_service: dict[str, LeafPools] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the routing state."""
        self.router = Router(
            LeafTopology({}, MAX_SLOTS, self.limits.ratio),
            self.rng,
            policy=FORWARDING_POLICY,
        )

    async def update(self) -> None:
        """Follow the leafs and the configuration that are known now."""
        topology = create_topology(
            self.directory.records_by_id, MAX_SLOTS, self.limits.ratio
        )
        delays_by_leaf = {
            record.key: self.delays.delay_s(record.data_centre)
            for record in self.directory.records_by_id.values()
        }
        known = set(self.router.leafs_by_id)
        self.router.update_service(topology, now(), delays_by_leaf, MAX_SLOTS)
        for record in self.directory.records_by_id.values():
            self._describe(record, is_new=record.key not in known)
        for service, group in topology.groups_by_id.items():
            self._add_budget(service)
            pools = self._pools_by_service.get(service)
            if pools is None:
                pools = self._create_pools()
                self._pools_by_service[service] = pools
            await pools.update(group.leafs_by_id, self._share_of(service))
        for service in list(self._pools_by_service):
            if service not in topology.groups_by_id:
                await self._pools_by_service.pop(service).stop()

    def set_limits(self, limits: ExtraLoadLimits) -> None:
        """Follow changed bounds of the extra requests."""
        self.limits = limits
        for budget in self.router.budgets_by_group.values():
            budget.ratio = BUDGET_SAFETY * limits.ratio
            budget.capacity = self._burst_share()

    async def forward(
        self, request: ForwardRequest, route: Route
    ) -> Result[Answer, Failure]:
        """Run one request to its answer; never later than its deadline."""
        services = self.table.choose_services(route)
        forward = Forward(request, route, services, self.router)
        started = now()
        try:
            return await _ForwardRun(driven=forward, engine=self).run()
        finally:
            if self.on_trace is not None:
                self.on_trace(request, route, forward.trace, now() - started)

    def pool_of(self, action: SendCall) -> LeafPool | None:
        """Return the pool of the leaf that an action names."""
        pools = self._pools_by_service.get(action.group_id)
        return pools.pools_by_leaf.get(action.leaf_id) if pools else None

    def _describe(self, record: LeafRecord, *, is_new: bool) -> None:
        """Apply what a record says of its leaf to the routing state."""
        leaf = self.router.leafs_by_id[record.key]
        leaf.set_capacity(record.slots, self._share_of(record.service))
        if record.is_draining:
            leaf.start_drain(now())
        if is_new:
            cold_s = min(SLOW_START_S, record.cold_s)
            leaf.cold_since = (
                now() + cold_s - SLOW_START_S if cold_s > 0 else None
            )

    def _share_of(self, service: str) -> int:
        configuration = self.table.configuration
        limits = configuration.connections_by_service if configuration else {}
        connections = limits.get(service, DEFAULT_CONNECTIONS)
        return max(1, connections // self.fleet_size)

    def _burst_share(self) -> float:
        return max(1, BUDGET_SAFETY * self.limits.burst / self.fleet_size)

    def _add_budget(self, service: str) -> None:
        if service not in self.router.budgets_by_group:
            capacity = self._burst_share()
            opening = OPENING_SHARE * capacity
            self.router.budgets_by_group[service] = ExtraLoadBudget(
                BUDGET_SAFETY * self.limits.ratio,
                capacity,
                tokens=opening,
                earned=opening,
            )

    def _create_pools(self) -> LeafPools:
        return LeafPools(
            _ignore_status, create_pool=self._create_pool, is_probed=False
        )

    def _create_pool(self, leaf: LeafSettings, share: int) -> LeafPool:
        return LeafPool(
            leaf,
            share,
            self.codec.protocol,
            CONNECT_TIMEOUT_S,
            self._on_connected,
        )

    def _on_connected(self, leaf: LeafSettings, elapsed_s: float) -> None:
        self.delays.observe(leaf.data_centre, elapsed_s)
        state = self.router.leafs_by_id.get(leaf.leaf_id)
        if state is not None:
            state.delay_s = self.delays.delay_s(leaf.data_centre)


@attrs.define(eq=False, kw_only=True)
class _ForwardRun(RequestRun):
    """Runs one forwarded request."""

    driven: Forward
    engine: ForwardingEngine
    _pools_by_attempt: dict[str, LeafPool] = attrs.Factory(dict)

    async def cancel(self, action: CancelCall) -> None:
        """Cancel a call, if it was sent."""
        pool = self._pools_by_attempt.get(action.attempt_id)
        if pool is not None:
            await pool.cancel(action.attempt_id)

    async def send(self, action: SendCall) -> None:
        """Send the request to a leaf."""
        pool = self.engine.pool_of(action)
        if pool is None:
            await self._refuse_unpooled(action)
            return
        self._pools_by_attempt[action.attempt_id] = pool
        request = self.driven.request
        finish_at = self.driven.dispatcher.finish_at
        remaining_ms = max(1, int((finish_at - now()) * MS_PER_S))
        leaf_id = action.leaf_id.rpartition('@')[0]
        message = self.engine.codec.encode(request, leaf_id, remaining_ms)
        await pool.submit(
            LeafCall(
                action.attempt_id,
                message,
                finish_at,
                self._deliver,
                echoed_id=request.request_id,
            )
        )

    async def _refuse_unpooled(self, action: SendCall) -> None:
        """End a call to a leaf that an update adds or removes just now."""
        failure = Failure(
            'pool_retired',
            'the leaf has no connections',
            Step.DISPATCH,
            peer=action.leaf_id,
            execution=Execution.NOT_RUN,
        )
        self.engine.router.on_end(action.leaf_id, now(), 0, CallOutcome.UNSENT)
        await self.replies.put((action.attempt_id, Err(failure)))

    async def _deliver(self, reply: LeafReply) -> None:
        """Update the routing state, also after the request has ended."""
        dispatcher = self.driven.dispatcher
        router = self.engine.router
        is_current = reply.call_id in dispatcher.shards_by_attempt
        is_probe = router.end_stall(reply.leaf_id, reply.call_id)
        is_counted = is_current or is_probe
        outcome = reply.outcome.map(self.engine.codec.decode)
        self._take_load(reply.leaf_id, outcome)
        router.on_end(
            reply.leaf_id,
            now(),
            reply.elapsed_s,
            _call_outcome(outcome) if is_counted else CallOutcome.CANCELLED,
            self.driven.route.name,
        )
        if is_current and self.ending is None:
            await self.replies.put((reply.call_id, outcome))

    def _take_load(
        self, leaf_id: str, outcome: Result[LeafAnswer, Failure]
    ) -> None:
        leaf = self.engine.router.leafs_by_id.get(leaf_id)
        if leaf is None or isinstance(outcome, Err):
            return
        load = outcome.ok_value.load
        if load is not None:
            leaf.on_load(load.running, load.waiting)

    def take(
        self, call_id: str, outcome: Result[LeafAnswer, Failure]
    ) -> list[Action]:
        """Pass the response of a leaf to the request."""
        if isinstance(outcome, Err):
            return self.driven.on_failure(call_id, outcome.err_value, now())
        return self.driven.on_answer(call_id, outcome.ok_value, now())


def _call_outcome(outcome: Result[LeafAnswer, Failure]) -> CallOutcome:
    if isinstance(outcome, Err):
        code = outcome.err_value.code
        return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
    answer = outcome.ok_value
    if answer.response.status == MISDIRECTED:
        # Another leaf has the address, so this one is gone.
        return CallOutcome.DRAINING
    if answer.execution is Execution.NOT_RUN:
        return CallOutcome.REFUSED
    is_failure = answer.response.status >= 500
    return CallOutcome.FAILED if is_failure else CallOutcome.GOOD


def _ignore_status(*status: object) -> None:
    """Ignore a status, which is not asked for."""
