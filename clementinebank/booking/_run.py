"""Performs the I/O of one booking attempt, step by step."""

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import attrs
import curio
from eliot import log_message
from result import Err, Result

from clementinebank.booking._booking import Booking
from clementinebank.booking._budget import WRITES_PER_BOOKING
from clementinebank.booking._messages import (
    BookingAnswer,
    decode_leaf_reply,
)
from clementinebank.booking._record import Outcome, storage_key
from clementinebank.booking._steps import BOOKING_STEPS, booking_step
from clementinebank.clock import get_before, now, wall_time
from clementinebank.coordination import MAX_VALUE_BYTES, Entry
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpRequest
from clementinebank.routing import OUTCOMES_BY_CODE, CallOutcome
from clementinebank.upstream import LeafCall, LeafReply

if TYPE_CHECKING:
    from clementinebank.booking._engine import BookingEngine

MS_PER_S = 1000
# Pauses before later tries to end a claim that the answer left unresolved.
LATE_DELAYS_S = (1, 5, 30)
# A call that the pool has not ended this long after its deadline is given up;
# the pool itself waits one second for a late reply.
CALL_GRACE_S = 2.0

Observer = Callable[['BookingRun', Step], Awaitable[None]]


async def observe_nothing(run: 'BookingRun', step: Step) -> None:
    """Ignore the steps."""


@attrs.define(eq=False)
class BookingRun:
    """Drives one decision object through the registered steps.

    Parameters
    ----------
    booking : Booking
        Decisions of this attempt.
    engine : BookingEngine
        Engine of the service.
    """

    booking: Booking
    engine: 'BookingEngine'
    answered: Any = attrs.field(factory=curio.Event)
    call: LeafCall | None = None
    reply: LeafReply | None = None
    replies: Any = attrs.field(factory=curio.Queue)

    async def run(self) -> None:
        """Perform the steps; the claim's state outlives a failure."""
        claim = self.booking.claim
        self.engine.ledger.open(claim.key, claim.attempt_id)
        step: Step | None = Step.ACCEPT
        try:
            while step is not None:
                await self.engine.observer(self, step)
                step = await BOOKING_STEPS[step].run(self)
            await self.end_late()
        finally:
            self.engine.ledger.close(claim.key, claim.attempt_id)

    def answer_now(self) -> BookingAnswer:
        """Return the answer; before it is known, that of the deadline."""
        is_withdrawn = self.call is not None and not self.call.is_sent
        if is_withdrawn and self.call is not None:
            # The pool checks this again right before the first byte.
            self.call.is_cancelled = True
        return self.booking.on_deadline(is_withdrawn=is_withdrawn)

    @property
    def storage_key(self) -> str:
        """Return where the claim is kept."""
        return storage_key(
            self.booking.request.service, self.booking.request.key
        )

    async def read(self) -> Result[Entry, Failure]:
        """Read the entry of the key."""
        self.engine.budget.reads.charge(1, now())
        return await self.engine.key_value.read(self.storage_key)

    async def write(self, value: bytes) -> Result[Entry, Failure]:
        """Write the entry if its version is still the known one."""
        return await self.engine.key_value.swap(
            self.storage_key, value, self.booking.version
        )

    async def end_late(self) -> None:
        """End a claim that could not be ended before the answer."""
        for delay_s in LATE_DELAYS_S:
            if not self.booking.needs_late_write:
                return
            await curio.sleep(delay_s)
            if self.booking.on_late_read(await self.read()):
                ended = self.booking.record_to_write(wall_time())
                self.engine.budget.writes.charge(1, now())
                written = await self.write(ended.encode() if ended else b'')
                self.booking.on_record_written(written)


@booking_step(Step.ACCEPT)
async def accept(run: BookingRun) -> Step:
    """Look the key up, then reserve the two writes of a booking."""
    booking = run.booking
    budget = run.engine.budget
    if not budget.reads.take(1, now()):
        return booking.refuse(run.engine.refusal_over_budget())
    following = booking.on_read(
        await run.engine.key_value.read(run.storage_key)
    )
    is_new = following is Step.CLAIM_SEND
    if is_new and not budget.writes.take(WRITES_PER_BOOKING, now()):
        return booking.refuse(run.engine.refusal_over_budget())
    return following


@booking_step(Step.CLAIM_SEND)
async def claim_send(run: BookingRun) -> Step:
    """Write the claim; no byte was sent to a leaf before."""
    if not run.booking.may_claim(now()):
        return run.booking.on_claim_too_late()
    if run.booking.claim_writes:
        run.engine.budget.writes.charge(1, now())
    run.booking.on_claim_send()
    written = await run.write(run.booking.claim.encode())
    return run.booking.on_claim_written(written)


@booking_step(Step.CLAIM_CONFIRM)
async def claim_confirm(run: BookingRun) -> Step:
    """Hold the claim as confirmed, or read back what became of it."""
    booking = run.booking
    if not booking.is_confirmed:
        following = booking.on_claim_read_back(await run.read(), now())
        if not booking.is_confirmed:
            return following
    run.engine.ledger.confirm(booking.request.key, booking.claim.attempt_id)
    return Step.DISPATCH


@booking_step(Step.DISPATCH)
async def dispatch(run: BookingRun) -> Step:
    """Pass the request to one leaf, if it is still permitted."""
    booking = run.booking
    engine = run.engine
    if not booking.may_dispatch(now(), wall_time()):
        message = 'the deadline passed before the request was sent'
        return booking.on_no_dispatch('deadline_passed', message)
    # A booking service has one group.
    group_id = next(iter(engine.service.groups_by_id))
    leaf_id = engine.router.choose(group_id, now(), booking.leafs_tried)
    pool = engine.pools_by_leaf.get(leaf_id or '')
    if leaf_id is None or pool is None:
        return booking.on_no_dispatch('no_leaf', 'no leaf is available')
    claim = booking.claim
    if not engine.ledger.permit_dispatch(claim.key, claim.attempt_id):
        message = 'refused by a run-time invariant'
        return booking.on_no_dispatch('invariant_violated', message)
    following = booking.on_dispatch(leaf_id)
    run.call = _leaf_call(run, leaf_id)
    engine.router.on_sent(leaf_id, now())
    await pool.submit(run.call)
    return following


@booking_step(Step.FIRST_BYTE)
async def first_byte(run: BookingRun) -> Step:
    """Wait for the end of the call, from the first byte on."""
    reply = await _await_reply(run)
    run.reply = reply
    return Step.REPLY_READ


@booking_step(Step.REPLY_READ)
async def reply_read(run: BookingRun) -> Step:
    """Interpret what the leaf answered."""
    if run.reply is None:
        raise RuntimeError('reply_read follows a reply')
    leaf_id = run.reply.leaf_id
    interpreted: Result[Outcome, Failure] = run.reply.outcome.and_then(
        lambda response: decode_leaf_reply(response, leaf_id)
    )
    run.call = None
    run.engine.router.on_end(
        leaf_id, now(), run.reply.elapsed_s, _call_outcome(interpreted)
    )
    if (
        isinstance(interpreted, Err)
        and interpreted.err_value.execution is Execution.NOT_RUN
    ):
        claim = run.booking.claim
        run.engine.ledger.refute_dispatch(claim.key, claim.attempt_id)
    return run.booking.on_reply(interpreted)


@booking_step(Step.RECORD)
async def record(run: BookingRun) -> Step | None:
    """Store the outcome or the release by compare-and-swap."""
    booking = run.booking
    ended = booking.record_to_write(wall_time())
    value = ended.encode() if ended else b''
    if not value or len(value) > MAX_VALUE_BYTES:
        _log_unrecorded(run, 'the outcome is too large')
        return booking.on_unrecordable()
    if booking.record_writes:
        run.engine.budget.writes.charge(1, now())
    written = await run.write(value)
    following = booking.on_record_written(written)
    if following is None:
        following = booking.on_record_read_back(await run.read())
    if following is Step.RESPOND and isinstance(written, Err):
        _log_unrecorded(run, written.err_value.message)
    return following


@booking_step(Step.RESPOND)
async def respond(run: BookingRun) -> None:
    """Let the caller's task answer."""
    await run.answered.set()


async def _await_reply(run: BookingRun) -> LeafReply:
    call = run.call
    if call is None:
        raise RuntimeError('first_byte follows dispatch')
    wait_s = max(0, call.deadline - now()) + CALL_GRACE_S
    reply: LeafReply | None = await get_before(now() + wait_s, run.replies)
    if reply is not None:
        return reply
    call.is_cancelled = True
    execution = Execution.UNKNOWN if call.is_sent else Execution.NOT_RUN
    leaf_id = run.booking.leafs_tried[-1]
    failure = Failure(
        'leaf_timeout',
        'the call did not end in time',
        Step.FIRST_BYTE,
        peer=leaf_id,
        execution=execution,
    )
    return LeafReply(call.call_id, leaf_id, Err(failure), wait_s)


def _log_unrecorded(run: BookingRun, reason: str) -> None:
    log_message(
        message_type='booking:record_failed',
        key=run.booking.request.key,
        attempt_id=run.booking.claim.attempt_id,
        reason=reason,
    )


def _leaf_call(run: BookingRun, leaf_id: str) -> LeafCall:
    """Return the call, whose deadline leaves time for both ways."""
    request = run.booking.request
    claim = run.booking.claim
    leaf = run.engine.pools_by_leaf[leaf_id].leaf
    delay_ms = run.engine.document.fleet.delay_ms(
        run.engine.data_centre, leaf.data_centre
    )
    # The leaf counts the stated time from the arrival of the request.
    deadline = request.deadline - 2 * delay_ms / MS_PER_S
    call_id = f'{claim.attempt_id}-{len(run.booking.leafs_tried)}'
    message = HttpRequest(
        'POST',
        '/v1/execute',
        {
            'content-type': 'application/json',
            'request-id': call_id,
            'idempotency-key': request.key,
            'deadline-ms': str(max(0, int((deadline - now()) * MS_PER_S))),
        },
        request.body,
    )
    return LeafCall(call_id, message, deadline, run.replies.put)


def _call_outcome(interpreted: Result[Outcome, Failure]) -> CallOutcome:
    if isinstance(interpreted, Err):
        code = interpreted.err_value.code
        return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
    return CallOutcome.GOOD
