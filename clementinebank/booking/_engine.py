"""Runs bookings of one service over its leafs."""

import contextlib
import uuid
from typing import Any

import attrs
import curio
from eliot import log_message
from result import Ok

from clementinebank.booking import _answers
from clementinebank.booking._booking import Booking
from clementinebank.booking._budget import BookingBudget
from clementinebank.booking._ledger import BookingLedger
from clementinebank.booking._messages import BookingAnswer, BookingRequest
from clementinebank.booking._record import ClaimRecord
from clementinebank.booking._run import BookingRun, Observer, observe_nothing
from clementinebank.clock import now, run_before, wall_time
from clementinebank.document import Document, LeafSettings, ServiceSettings
from clementinebank.http import HttpRequest
from clementinebank.platform import KeyValueService
from clementinebank.routing import Router
from clementinebank.upstream import (
    LeafCall,
    LeafPool,
    LeafReply,
    decode_status,
)

STATUS_PATH = '/v1/status'
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 1.0


@attrs.define(eq=False)
class BookingEngine:
    """Leaf connections of one booking service and its running attempts.

    Parameters
    ----------
    service : ServiceSettings
        Settings in force.
    document : Document
        Document in force.
    instance_id : str
        This instance, which is named in the claims.
    data_centre : str
        Data centre of this instance.
    key_value : KeyValueService
        Where claims are kept.
    budget : BookingBudget
        Shared by all services of this instance.
    ledger : BookingLedger
        Run-time check of the attempts.
    observer : callable
        Coroutine function that is told the run and each step it starts.
    create_booking, create_pool : callable
        Create the decision object of an attempt and the pool of a leaf.
    """

    service: ServiceSettings
    document: Document
    instance_id: str
    data_centre: str
    key_value: KeyValueService
    budget: BookingBudget
    ledger: BookingLedger = attrs.Factory(BookingLedger)
    observer: Observer = observe_nothing
    create_booking: Any = Booking
    create_pool: Any = LeafPool
    router: Router = attrs.field(init=False)
    pools_by_leaf: dict[str, LeafPool] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the routing state."""
        self.router = Router(
            self.service,
            delays_by_leaf=self._delays_by_leaf(),
            connection_share=self.document.connection_share(self.service),
        )

    async def update(
        self, service: ServiceSettings, document: Document
    ) -> None:
        """Follow a new revision; running attempts keep their pools."""
        self.service = service
        self.document = document
        share = document.connection_share(service)
        self.router.update_service(
            service, now(), self._delays_by_leaf(), share
        )
        leafs = service.leafs_by_id
        for leaf_id, pool in list(self.pools_by_leaf.items()):
            if leafs.get(leaf_id) != pool.leaf or pool.share != share:
                await self.pools_by_leaf.pop(leaf_id).retire()
        for leaf_id, leaf in leafs.items():
            if leaf_id not in self.pools_by_leaf:
                await self._open_pool(leaf, share)

    async def stop(self) -> None:
        """Retire every pool."""
        for pool in self.pools_by_leaf.values():
            await pool.retire()
        self.pools_by_leaf.clear()

    async def book(self, request: BookingRequest) -> BookingAnswer:
        """Run one request to its answer; never later than its deadline.

        The attempt goes on after the deadline until its claim is recorded or
        released, so that a late outcome is found by a repeat.
        """
        run = BookingRun(self._new_booking(request), self)
        await curio.spawn(run.run, daemon=True)
        with contextlib.suppress(curio.TaskTimeout):
            await run_before(request.deadline, run.answered.wait)
        answer = run.answer_now()
        log_message(
            message_type='booking:answered',
            request_id=request.request_id,
            key=request.key,
            attempt_id=run.booking.claim.attempt_id,
            execution=answer.execution.value,
            code=answer.failure.code if answer.failure else 'outcome',
        )
        return answer

    def refusal_over_budget(self) -> BookingAnswer:
        """Return the answer above the write budget."""
        return _answers.over_budget(self.budget.bookings_per_second)

    def _delays_by_leaf(self) -> dict[str, float]:
        return self.document.delays_by_leaf(self.service, self.data_centre)

    async def _open_pool(self, leaf: LeafSettings, share: int) -> None:
        pool = self.create_pool(leaf, share)
        self.pools_by_leaf[leaf.leaf_id] = pool
        await curio.spawn(self._probe, pool, daemon=True)

    async def _probe(self, pool: LeafPool) -> None:
        """Learn from the leaf's status whether it is leaving."""
        number = 0
        while not pool.is_retired:
            replies = curio.Queue()
            call_id = f'probe-{pool.leaf.leaf_id}-{number}'
            request = HttpRequest('GET', STATUS_PATH, {'request-id': call_id})
            deadline = now() + PROBE_TIMEOUT_S
            await pool.submit(LeafCall(call_id, request, deadline, replies.put))
            reply: LeafReply = await replies.get()
            if not pool.is_retired:
                self._take_status(reply)
            number += 1
            await curio.sleep(PROBE_INTERVAL_S)

    def _take_status(self, reply: LeafReply) -> None:
        status = reply.outcome.and_then(
            lambda response: decode_status(response.body)
        )
        if isinstance(status, Ok):
            self.router.on_status(reply.leaf_id, now(), status.ok_value)

    def _new_booking(self, request: BookingRequest) -> Booking:
        claim = ClaimRecord(
            key=request.key,
            service=request.service,
            digest=request.digest,
            attempt_id=uuid.uuid4().hex,
            instance_id=self.instance_id,
            claimed_at=wall_time(),
        )
        booking: Booking = self.create_booking(
            request, claim, self.service.retention_hours
        )
        return booking
