"""Runs queries of one service over its leaf connections."""

import json
from typing import Any

import attrs
import curio
from eliot import log_message
from result import Err, Result

from clementinebank.clock import now
from clementinebank.document import Document, LeafSettings, ServiceSettings
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_request
from clementinebank.routing import Router
from clementinebank.search._messages import (
    SearchRequest,
    ShardReply,
    decode_shard_reply,
)
from clementinebank.search._query import (
    Action,
    Answer,
    CancelShard,
    Finish,
    Query,
    SendShard,
)
from clementinebank.search._snapshots import SnapshotCatalogue
from clementinebank.upstream import (
    LeafCall,
    LeafPool,
    LeafReply,
    decode_status,
)

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0
MS_PER_S = 1000


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
    """

    service: ServiceSettings
    document: Document
    data_centre: str
    router: Router = attrs.field(init=False)
    catalogue: SnapshotCatalogue = attrs.Factory(SnapshotCatalogue)
    pools_by_leaf: dict[str, LeafPool] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the routing state."""
        self.router = Router(self.service)

    async def start(self) -> None:
        """Open a pool and start probing for every leaf."""
        await self.update(self.service, self.document)

    async def update(
        self, service: ServiceSettings, document: Document
    ) -> None:
        """Follow a new revision; running queries keep their own settings."""
        self.service = service
        self.document = document
        self.router.update_service(service)
        share = document.connection_share(service)
        leafs = service.leafs_by_id
        for leaf_id, pool in list(self.pools_by_leaf.items()):
            if leafs.get(leaf_id) != pool.leaf or pool.share != share:
                self.catalogue.forget(leaf_id)
                await self.pools_by_leaf.pop(leaf_id).retire()
        for group in service.groups_by_id.values():
            for leaf in group.leafs_by_id.values():
                if leaf.leaf_id not in self.pools_by_leaf:
                    await self._open_pool(group.group_id, leaf, share)

    async def stop(self) -> None:
        """Retire every pool."""
        for pool in self.pools_by_leaf.values():
            await pool.retire()
        self.pools_by_leaf.clear()

    async def search(self, request: SearchRequest) -> Answer:
        """Run one query to its answer; never later than its deadline."""
        query = Query(
            request, self.service, self.router, self.catalogue.newest()
        )
        run = _QueryRun(query, dict(self.pools_by_leaf), self)
        return await run.run()

    def delay_to(self, leaf: LeafSettings) -> float:
        """Return the one-way delay to a leaf in seconds."""
        delay_ms = self.document.fleet.delay_ms(
            self.data_centre, leaf.data_centre
        )
        return delay_ms / MS_PER_S

    async def _open_pool(
        self, group_id: str, leaf: LeafSettings, share: int
    ) -> None:
        pool = LeafPool(leaf, share)
        self.pools_by_leaf[leaf.leaf_id] = pool
        await curio.spawn(self._probe, pool, group_id, daemon=True)

    async def _probe(self, pool: LeafPool, group_id: str) -> None:
        number = 0
        while not pool.is_retired:
            replies = curio.Queue()
            call = LeafCall(
                f'probe-{pool.leaf.leaf_id}-{number}',
                HttpRequest('GET', '/v1/status', {}),
                now() + PROBE_TIMEOUT_S,
                replies.put,
            )
            call.request.headers['request-id'] = call.call_id
            await pool.submit(call)
            self._take_status(pool, group_id, await replies.get())
            number += 1
            await curio.sleep(PROBE_INTERVAL_S)

    def _take_status(
        self, pool: LeafPool, group_id: str, reply: LeafReply
    ) -> None:
        if pool.is_retired or isinstance(reply.outcome, Err):
            return
        status = decode_status(reply.outcome.ok_value.body)
        if isinstance(status, Err):
            log_message(
                message_type='leaf:invalid_status',
                leaf=reply.leaf_id,
                problems=[str(problem) for problem in status.err_value],
            )
            return
        self.router.on_status(reply.leaf_id, now(), status.ok_value)
        self.catalogue.learn(reply.leaf_id, group_id, status.ok_value.snapshots)


@attrs.define(eq=False)
class _QueryRun:
    """Drives one query: performs its actions and feeds it events."""

    query: Query
    pools: dict[str, LeafPool]
    engine: SearchEngine
    replies: Any = attrs.field(factory=curio.Queue)
    answer: Answer | None = None

    async def run(self) -> Answer:
        """Return the answer of the query."""
        await self._perform(self.query.start(now()))
        while self.answer is None:
            wait_s = max(0, self.query.next_wakeup - now())
            reply = await curio.ignore_after(wait_s, self.replies.get)
            if reply is None:
                await self._perform(self.query.on_time(now()))
            else:
                await self._perform(self._take(reply))
        return self.answer

    async def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, SendShard):
                await self._send(action)
            elif isinstance(action, CancelShard):
                await self.pools[action.leaf_id].cancel(action.attempt_id)
            elif isinstance(action, Finish):
                self.answer = action.answer

    async def _send(self, action: SendShard) -> None:
        pool = self.pools[action.leaf_id]
        request = self.query.request
        deadline = request.deadline - self.engine.delay_to(pool.leaf)
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
        self.engine.router.on_sent(action.leaf_id, now())
        await pool.submit(
            LeafCall(action.attempt_id, message, deadline, self._deliver)
        )

    async def _deliver(self, reply: LeafReply) -> None:
        """Update the routing state, also after the query has ended."""
        is_good = reply.outcome.is_ok() and reply.outcome.unwrap().status < 300
        self.engine.router.on_reply(
            reply.leaf_id, now(), reply.elapsed_s, is_good=is_good
        )
        if self.answer is None:
            await self.replies.put(reply)

    def _take(self, reply: LeafReply) -> list[Action]:
        outcome = reply.outcome.and_then(_shard_reply_of)
        if isinstance(outcome, Err):
            return self.query.on_failure(
                reply.call_id, outcome.err_value, now()
            )
        return self.query.on_reply(reply.call_id, outcome.ok_value, now())


def _shard_reply_of(response: HttpResponse) -> Result[ShardReply, Failure]:
    """Interpret a leaf's response as a shard reply or a refusal."""
    if response.status == 200:
        return decode_shard_reply(response.body).map_err(
            lambda problems: Failure(
                'leaf_malformed',
                '; '.join(str(problem) for problem in problems),
                Step.READ,
                execution=Execution.UNKNOWN,
            )
        )
    try:
        code = str(json.loads(response.body)['code'])
    except (ValueError, KeyError, TypeError):
        code = 'leaf_refused'
    return Err(Failure(code, f'status {response.status}', Step.READ))
