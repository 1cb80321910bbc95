"""Engine that runs the bookings of one service on its leafs."""

import contextlib
import uuid
from typing import Any

import attrs
import curio
from eliot import log_message

from clementinebank.booking import _answers
from clementinebank.booking._booking import Booking
from clementinebank.booking._budget import BookingBudget
from clementinebank.booking._dispatch_monitor import DispatchMonitor
from clementinebank.booking._messages import BookingAnswer, BookingRequest
from clementinebank.booking._record import ClaimRecord
from clementinebank.booking._run import BookingRun, Observer, ignore_step
from clementinebank.clock import now, run_before, wall_time
from clementinebank.coordination import KeyValueService
from clementinebank.document import Document, ServiceSettings
from clementinebank.ratelimit import equal_share
from clementinebank.routing import Router
from clementinebank.upstream import LeafPool, LeafPools, LeafStatus


@attrs.define(eq=False)
class BookingEngine:
    """Runs the attempts of one booking service and keeps its leaf pools.

    Parameters
    ----------
    service : ServiceSettings
        Settings of the service in the document in force.
    document : Document
        Document in force.
    instance_id : str
        Name of this instance, stored in its claims.
    data_centre : str
        Data centre of this instance.
    key_value : KeyValueService
        Key-value service that stores the claims.
    budget : BookingBudget
        Budget that all services of this instance share.
    dispatch_monitor : DispatchMonitor
        Run-time check of the invariants of the attempts.
    observer : callable
        Coroutine function that is awaited before each step, with the run and
        the step.
    create_booking, create_pool : callable
        Factories of the ``Booking`` of an attempt and of the pool of a leaf.
    router : Router
        Chooses the leaf of a call.
    leaf_pools : LeafPools
        Connection pools of the leafs.
    """

    service: ServiceSettings
    document: Document
    instance_id: str
    data_centre: str
    key_value: KeyValueService
    budget: BookingBudget
    dispatch_monitor: DispatchMonitor = attrs.Factory(DispatchMonitor)
    observer: Observer = ignore_step
    create_booking: Any = Booking
    create_pool: Any = LeafPool
    router: Router = attrs.field(init=False)
    leaf_pools: LeafPools = attrs.field(init=False)

    @leaf_pools.default
    def _create_leaf_pools(self) -> LeafPools:
        return LeafPools(self._record_status, create_pool=self.create_pool)

    def __attrs_post_init__(self) -> None:
        """Create the router."""
        self.router = Router(
            self.service,
            delays_s_by_leaf=self._delays_s_by_leaf(),
            connections_per_instance=self.document.connections_per_instance(
                self.service
            ),
        )
        self._set_limit_share()

    async def update(
        self, service: ServiceSettings, document: Document
    ) -> None:
        """Apply a new revision of the document to the router and the pools.

        Calls that were submitted to a pool already stay with it.
        """
        self.service = service
        self.document = document
        self._set_limit_share()
        connections_per_instance = document.connections_per_instance(service)
        self.router.update_service(
            service, now(), self._delays_s_by_leaf(), connections_per_instance
        )
        await self.leaf_pools.update(
            service.leafs_by_id, connections_per_instance
        )

    async def stop(self) -> None:
        """Retire the pools of all leafs."""
        await self.leaf_pools.stop()

    def invalidate_state(self) -> None:
        """Discard the open connections and the reported statuses of the leafs.

        This is called after the process was paused, because both may then be
        out of date. Measured latencies are kept. A drain stays in force until
        a newer status ends it.
        """
        self.leaf_pools.invalidate_connections()
        for leaf in self.router.leafs_by_id.values():
            leaf.reported_status = None

    @property
    def pools_by_leaf(self) -> dict[str, LeafPool]:
        """Return the connection pools in use, by the id of their leaf."""
        return self.leaf_pools.pools_by_leaf

    async def book(self, request: BookingRequest) -> BookingAnswer:
        """Run one request and return its answer, at the latest at its deadline.

        After the deadline the attempt continues in the background to record
        the outcome or release the claim, so that a repeated request gets a
        late outcome.
        """
        run = BookingRun(self._new_booking(request), self)
        await curio.spawn(run.run, daemon=True)
        with contextlib.suppress(curio.TaskTimeout):
            await run_before(request.deadline, run.answer_known.wait)
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

    def over_budget_answer(self) -> BookingAnswer:
        """Return the answer to a request that the shared budget refuses."""
        return _answers.over_budget_answer(self.budget.bookings_per_second)

    def _set_limit_share(self) -> None:
        """Divide the rate limits of leafs by the number of instances."""
        self.router.limits.share_of = equal_share(
            self.document.fleet.instances_sharing_leaf
        )

    def _delays_s_by_leaf(self) -> dict[str, float]:
        return self.document.delays_s_by_leaf(self.service, self.data_centre)

    def _record_status(
        self, leaf_id: str, status: LeafStatus, requested_at: float
    ) -> None:
        """Pass the status that a leaf reported to the router."""
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
