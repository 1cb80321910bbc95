"""Runs bookings of one service over its leafs."""

import contextlib
import uuid
from typing import Any

import attrs
import curio
from eliot import log_message

from clementinebank.booking import _answers
from clementinebank.booking._booking import Booking
from clementinebank.booking._budget import BookingBudget
from clementinebank.booking._ledger import BookingLedger
from clementinebank.booking._messages import BookingAnswer, BookingRequest
from clementinebank.booking._record import ClaimRecord
from clementinebank.booking._run import BookingRun, Observer, observe_nothing
from clementinebank.clock import now, run_before, wall_time
from clementinebank.coordination import KeyValueService
from clementinebank.document import Document, ServiceSettings
from clementinebank.routing import Router
from clementinebank.upstream import LeafPool, LeafPools, LeafStatus


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
    leaf_pools: LeafPools = attrs.field(init=False)

    @leaf_pools.default
    def _create_leaf_pools(self) -> LeafPools:
        return LeafPools(self._take_status, create_pool=self.create_pool)

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

    @property
    def pools_by_leaf(self) -> dict[str, LeafPool]:
        """Return the pools in use."""
        return self.leaf_pools.pools_by_leaf

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

    def _take_status(
        self, leaf_id: str, status: LeafStatus, requested_at: float
    ) -> None:
        """Learn from the leaf's status whether it is leaving."""
        self.router.on_status(leaf_id, now(), status, requested_at)

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
