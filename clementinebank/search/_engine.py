"""Engine that runs the search queries of one service over its leafs."""

import json
from collections.abc import Callable

import attrs
from eliot import write_traceback
from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.dispatch import (
    Action,
    CancelCall,
    RequestRun,
    SendCall,
    TraceEvent,
)
from clementinebank.document import Document, LeafEndpoint, ServiceSettings
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpResponse, json_request
from clementinebank.ratelimit import equal_share, named_limit_of
from clementinebank.routing import OUTCOMES_BY_CODE, CallOutcome, Router
from clementinebank.search._actions import SearchAnswer, SendShardRequest
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
    """Runs the queries of one service.

    Holds the leaf connections, the routing state and the known snapshots of
    the service. Queries share them.

    Parameters
    ----------
    service : ServiceSettings
        Current settings of the service.
    document : Document
        Current configuration document.
    data_centre : str
        Data centre of this instance; decides the delays to the leafs.
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
            self._on_status, self._on_probe_failed, self.catalogue.remove_leaf
        )

    def __attrs_post_init__(self) -> None:
        """Create the routing state."""
        self.router = Router(
            self.service,
            delays_s_by_leaf=self._delays_s_by_leaf(),
            connections_per_instance=self.document.connections_per_instance(
                self.service
            ),
        )
        self.router.limits.share_of = equal_share(
            self.document.fleet.instances_sharing_leaf
        )

    async def start(self) -> None:
        """Create a pool and start a status probe for every leaf."""
        await self.update(self.service, self.document)

    async def update(
        self, service: ServiceSettings, document: Document
    ) -> None:
        """Apply a new revision of the document to routing and leaf pools.

        Running queries keep the settings they started with.
        """
        self.service = service
        self.document = document
        share = document.connections_per_instance(service)
        self.router.limits.share_of = equal_share(
            document.fleet.instances_sharing_leaf
        )
        self.router.update_service(
            service, now(), self._delays_s_by_leaf(), share
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

    def invalidate_state(self) -> None:
        """Stop using open connections and reported statuses.

        Called after the process was paused, because both can be outdated.
        Later calls open new connections, and a leaf has no reported status
        until the next probe. Measured latencies are kept. A leaf that
        reported a drain stays draining until a newer status ends it.
        """
        self.leaf_pools.invalidate_connections()
        for leaf in self.router.leafs_by_id.values():
            leaf.reported_status = None

    async def search(
        self, request: SearchRequest
    ) -> Result[SearchAnswer, Failure]:
        """Run one query and return its answer, or its failure.

        The query ends by its deadline at the latest. Its trace is passed to
        ``on_trace`` in every case.
        """
        query = Query(request, self.service, self.router, self.catalogue)
        run = _QueryRun(
            state_machine=query,
            engine=self,
            pools=dict(self.leaf_pools.pools_by_leaf),
        )
        try:
            return await run.run()
        finally:
            if self.on_trace is not None:
                self.on_trace(request.request_id, query.trace)

    def delay_to(self, leaf: LeafEndpoint) -> float:
        """Return the one-way delay to a leaf in seconds."""
        delay_ms = self.document.fleet.delay_ms(
            self.data_centre, leaf.data_centre
        )
        return delay_ms / MS_PER_S

    def _delays_s_by_leaf(self) -> dict[str, float]:
        return self.document.delays_s_by_leaf(self.service, self.data_centre)

    def _on_status(
        self, leaf_id: str, status: LeafStatus, requested_at: float
    ) -> None:
        self.router.on_status(leaf_id, now(), status, requested_at)
        # The current document may no longer contain the leaf of this probe.
        group_id = self._group_by_leaf.get(leaf_id)
        if group_id is not None:
            self.catalogue.set_leaf_snapshots(
                leaf_id, group_id, status.snapshots
            )

    def _on_probe_failed(self, leaf_id: str) -> None:
        self.router.on_invalid_reply(leaf_id, now())


@attrs.define(eq=False, kw_only=True)
class _QueryRun(RequestRun):
    """Runs one query over the leaf pools that existed when it started.

    A pool that an update removes meanwhile still delivers the replies to the
    calls that it has accepted.
    """

    state_machine: Query
    engine: SearchEngine
    pools: dict[str, LeafPool]

    async def cancel(self, action: CancelCall) -> None:
        """Cancel a shard request at the leaf that received it."""
        await self.pools[action.leaf_id].cancel(action.attempt_id)

    async def send(self, action: SendCall) -> None:
        """Send a shard request for the pinned snapshot to a leaf."""
        if not isinstance(action, SendShardRequest):
            raise TypeError(f'not a shard request: {action}')
        pool = self.pools[action.leaf_id]
        request = self.state_machine.request
        # The round trip is subtracted, so that the reply arrives in time.
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
            LeafCall(action.attempt_id, message, deadline, self._on_reply)
        )

    async def _on_reply(self, reply: LeafReply) -> None:
        """Record the end of a call and pass its reply to the query.

        Routing state is updated even if the query has ended or no longer waits
        for the call; such a call is recorded as cancelled.
        """
        is_current = (
            reply.call_id in self.state_machine.dispatcher.shards_by_attempt
        )
        outcome = self._decode(reply)
        self.engine.router.on_end(
            reply.leaf_id,
            now(),
            reply.elapsed_s,
            _call_outcome(outcome) if is_current else CallOutcome.CANCELLED,
        )
        if is_current and self.result is None:
            await self.replies.put((reply.call_id, outcome))

    def _decode(self, reply: LeafReply) -> Result[ShardReply, Failure]:
        """Decode a reply and record the rate limit that it names.

        An unexpected error fails the call, which may have run.
        """
        try:
            outcome = reply.outcome.and_then(
                lambda response: _decode_response(response, reply.call_id)
            )
            self._record_limit(reply, outcome)
        except Exception as error:
            write_traceback()
            message = f'unexpected {type(error).__name__}'
            return Err(
                Failure(
                    'internal_error',
                    message,
                    Step.READ,
                    execution=Execution.UNKNOWN,
                )
            )
        return outcome

    def _record_limit(
        self, reply: LeafReply, outcome: Result[ShardReply, Failure]
    ) -> None:
        if isinstance(reply.outcome, Ok):
            self.engine.router.on_named_limit(
                reply.leaf_id,
                named_limit_of(reply.outcome.ok_value, _execution_of(outcome)),
                now(),
                reply.elapsed_s,
            )

    def on_outcome(
        self, call_id: str, outcome: Result[ShardReply, Failure]
    ) -> list[Action]:
        """Pass the reply or the failure of a call to the query.

        Returns
        -------
        list of Action
            What the query does next.
        """
        if isinstance(outcome, Err):
            return self.state_machine.on_failure(
                call_id, outcome.err_value, now()
            )
        return self.state_machine.on_reply(call_id, outcome.ok_value, now())


def _call_outcome(outcome: Result[ShardReply, Failure]) -> CallOutcome:
    """Return the outcome of a call as the router records it."""
    if isinstance(outcome, Err):
        code = outcome.err_value.code
        return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
    return CallOutcome.GOOD


def _execution_of(outcome: Result[ShardReply, Failure]) -> Execution:
    """Return whether a response says that the leaf ran the request."""
    if isinstance(outcome, Err):
        return outcome.err_value.execution
    return Execution.RAN


def _decode_response(
    response: HttpResponse, call_id: str
) -> Result[ShardReply, Failure]:
    """Return the shard reply of a response, or its error as a failure.

    A body with status 200 that cannot be decoded gives the failure
    ``leaf_malformed``. For any other status the body states the error code and
    whether the request was run.
    """
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
    """Return the error code of an error body and whether the request was run.

    The request counts as not run only if the body says ``"ran": false``;
    otherwise it is unknown whether the leaf ran it.
    """
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
