"""Runs queries of one service over its leaf connections."""

import json
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
from clementinebank.document import Document, LeafSettings, ServiceSettings
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpResponse, json_request
from clementinebank.routing import OUTCOMES_BY_CODE, CallOutcome, Router
from clementinebank.search._actions import Answer, SendShard
from clementinebank.search._messages import (
    SearchRequest,
    ShardReply,
    decode_shard_reply,
)
from clementinebank.search._query import Query
from clementinebank.search._snapshots import SnapshotCatalogue
from clementinebank.upstream import (
    LeafCall,
    LeafPool,
    LeafPools,
    LeafReply,
    LeafStatus,
)

MS_PER_S = 1000

OnTrace = Callable[[str, list[TraceEvent]], None]


@attrs.define(eq=False)
class SearchEngine:
    """Leaf connections, routing state and snapshots of one service.

    Parameters
    ----------
    service : ServiceSettings
        Settings in force.
    document : Document
        Document in force.
    data_centre : str
        Data centre of this instance.
    on_trace : callable or None
        Receives the request id and the trace of each query that ended.
    """

    service: ServiceSettings
    document: Document
    data_centre: str
    on_trace: OnTrace | None = None
    router: Router = attrs.field(init=False)
    catalogue: SnapshotCatalogue = attrs.Factory(SnapshotCatalogue)
    leaf_pools: LeafPools = attrs.field(init=False)
    _group_by_leaf: dict[str, str] = attrs.Factory(dict)

    @leaf_pools.default
    def _create_leaf_pools(self) -> LeafPools:
        return LeafPools(
            self._take_status, self._on_lost_probe, self.catalogue.forget
        )

    def __attrs_post_init__(self) -> None:
        """Create the routing state."""
        self.router = Router(
            self.service,
            delays_by_leaf=self._delays_by_leaf(),
            connection_share=self.document.connection_share(self.service),
        )

    async def start(self) -> None:
        """Open a pool and start probing for every leaf."""
        await self.update(self.service, self.document)

    async def update(
        self, service: ServiceSettings, document: Document
    ) -> None:
        """Follow a new revision; running queries keep their own settings."""
        self.service = service
        self.document = document
        share = document.connection_share(service)
        self.router.update_service(
            service, now(), self._delays_by_leaf(), share
        )
        self._group_by_leaf = {
            leaf_id: group.group_id
            for group in service.groups_by_id.values()
            for leaf_id in group.leafs_by_id
        }
        await self.leaf_pools.update(service.leafs_by_id, share)

    async def stop(self) -> None:
        """Retire every pool."""
        await self.leaf_pools.stop()

    def distrust(self) -> None:
        """Trust no connection and no reported status until it is renewed.

        Measured latencies are kept. A drain stays in force until a newer
        status ends it.
        """
        self.leaf_pools.distrust()
        for leaf in self.router.leafs_by_id.values():
            leaf.reported = None

    async def search(self, request: SearchRequest) -> Result[Answer, Failure]:
        """Run one query to its answer; never later than its deadline."""
        query = Query(request, self.service, self.router, self.catalogue)
        run = _QueryRun(
            driven=query, engine=self, pools=dict(self.leaf_pools.pools_by_leaf)
        )
        try:
            return await run.run()
        finally:
            if self.on_trace is not None:
                self.on_trace(request.request_id, query.trace)

    def delay_to(self, leaf: LeafSettings) -> float:
        """Return the one-way delay to a leaf in seconds."""
        delay_ms = self.document.fleet.delay_ms(
            self.data_centre, leaf.data_centre
        )
        return delay_ms / MS_PER_S

    def _delays_by_leaf(self) -> dict[str, float]:
        return self.document.delays_by_leaf(self.service, self.data_centre)

    def _take_status(
        self, leaf_id: str, status: LeafStatus, requested_at: float
    ) -> None:
        self.router.on_status(leaf_id, now(), status, requested_at)
        # The leaf may just have left the document.
        group_id = self._group_by_leaf.get(leaf_id)
        if group_id is not None:
            self.catalogue.learn(leaf_id, group_id, status.snapshots)

    def _on_lost_probe(self, leaf_id: str) -> None:
        self.router.on_invalid_reply(leaf_id, now())


@attrs.define(eq=False, kw_only=True)
class _QueryRun(RequestRun):
    """Runs one query over the pools of its start."""

    driven: Query
    engine: SearchEngine
    pools: dict[str, LeafPool]

    async def cancel(self, action: CancelCall) -> None:
        """Cancel a shard request."""
        await self.pools[action.leaf_id].cancel(action.attempt_id)

    async def send(self, action: SendCall) -> None:
        """Send a shard request of the pinned snapshot."""
        if not isinstance(action, SendShard):
            raise TypeError(f'not a shard request: {action}')
        pool = self.pools[action.leaf_id]
        request = self.driven.request
        # The request must reach the leaf and the reply come back in time.
        deadline = request.deadline - 2 * self.engine.delay_to(pool.leaf)
        remaining_ms = max(0, int((deadline - now()) * MS_PER_S))
        message = json_request(
            'POST',
            '/v1/search',
            {
                'query': request.query,
                'limit': request.limit,
                'partitions': list(action.partitions),
            },
            {
                'request-id': action.attempt_id,
                'deadline-ms': str(remaining_ms),
                'snapshot': action.snapshot,
            },
        )
        await pool.submit(
            LeafCall(action.attempt_id, message, deadline, self._deliver)
        )

    async def _deliver(self, reply: LeafReply) -> None:
        """Update the routing state, also after the query has ended."""
        is_current = reply.call_id in self.driven.dispatcher.shards_by_attempt
        outcome = reply.outcome.and_then(
            lambda response: _shard_reply_of(response, reply.call_id)
        )
        self.engine.router.on_end(
            reply.leaf_id,
            now(),
            reply.elapsed_s,
            _call_outcome(outcome) if is_current else CallOutcome.CANCELLED,
        )
        if is_current and self.ending is None:
            await self.replies.put((reply.call_id, outcome))

    def take(
        self, call_id: str, outcome: Result[ShardReply, Failure]
    ) -> list[Action]:
        """Pass the reply of a leaf to the query."""
        if isinstance(outcome, Err):
            return self.driven.on_failure(call_id, outcome.err_value, now())
        return self.driven.on_reply(call_id, outcome.ok_value, now())


def _call_outcome(outcome: Result[ShardReply, Failure]) -> CallOutcome:
    if isinstance(outcome, Err):
        code = outcome.err_value.code
        return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
    return CallOutcome.GOOD


def _shard_reply_of(
    response: HttpResponse, call_id: str
) -> Result[ShardReply, Failure]:
    """Interpret a leaf's response as a shard reply or a refusal."""
    if response.status == 200:
        return decode_shard_reply(response.body, call_id).map_err(
            lambda problems: Failure(
                'leaf_malformed',
                '; '.join(str(problem) for problem in problems),
                Step.READ,
                execution=Execution.UNKNOWN,
            )
        )
    code, execution = _read_refusal(response.body)
    message = f'status {response.status}'
    return Err(Failure(code, message, Step.READ, execution=execution))


def _read_refusal(body: bytes) -> tuple[str, Execution]:
    """Return code and execution; only a stated ``ran: false`` is not run."""
    try:
        refusal = json.loads(body)
    except (ValueError, RecursionError):
        return 'leaf_refused', Execution.UNKNOWN
    if not isinstance(refusal, dict):
        return 'leaf_refused', Execution.UNKNOWN
    is_not_run = refusal.get('ran') is False
    return (
        str(refusal.get('code', 'leaf_refused')),
        Execution.NOT_RUN if is_not_run else Execution.UNKNOWN,
    )
