"""Steps of one booking attempt, which perform its I/O."""

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
from clementinebank.ratelimit import named_limit_of
from clementinebank.routing import OUTCOMES_BY_CODE, CallOutcome
from clementinebank.upstream import LeafCall, LeafReply

if TYPE_CHECKING:
    from clementinebank.booking._engine import BookingEngine

MS_PER_S = 1000
# Pauses in seconds before the writes that still try to resolve a claim after
# the caller was answered.
LATE_WRITE_DELAYS_S = (1, 5, 30)
# Time in seconds after the deadline of a call at which the attempt stops
# waiting for its reply. It is longer than the one second for which the pool
# itself waits for a late reply.
CALL_GRACE_S = 2.0
# Share of the time left in which a booking waits for a leaf that names a rate
# limit. The rest is for the call.
TOKEN_WAIT_SHARE = 0.5
TOKEN_CHECK_INTERVAL_S = 0.02

Observer = Callable[['BookingRun', Step], Awaitable[None]]


async def ignore_step(run: 'BookingRun', step: Step) -> None:
    """Do nothing. This is the default observer of steps."""


@attrs.define(eq=False)
class BookingRun:
    """Runs the steps of one booking attempt.

    Parameters
    ----------
    booking : Booking
        State machine of the attempt, which chooses the next step.
    engine : BookingEngine
        Engine of the service.
    answer_known : curio.Event
        Set when the answer is known.
    call : LeafCall or None
        Call to a leaf whose reply was not decoded yet.
    reply : LeafReply or None
        Reply of the leaf to the last call, or the failure of that call.
    replies : curio.Queue
        Receives the ``LeafReply`` of each call.
    """

    booking: Booking
    engine: 'BookingEngine'
    answer_known: Any = attrs.field(factory=curio.Event)
    call: LeafCall | None = None
    reply: LeafReply | None = None
    replies: Any = attrs.field(factory=curio.Queue)

    async def run(self) -> None:
        """Run the steps of the attempt, then the late writes of its claim.

        An exception ends the attempt and leaves its stored claim as it is.
        """
        claim = self.booking.claim
        self.engine.dispatch_monitor.open(claim.key, claim.attempt_id)
        step: Step | None = Step.ACCEPT
        try:
            while step is not None:
                await self.engine.observer(self, step)
                step = await BOOKING_STEPS[step].run(self)
            await self.resolve_claim_late()
        finally:
            self.engine.dispatch_monitor.close(claim.key, claim.attempt_id)

    def answer_now(self) -> BookingAnswer:
        """Return the answer to give now, even if no outcome is known.

        No leaf is contacted any more after this call, and a call of which no
        byte was sent yet is cancelled.
        """
        is_withdrawn = self.call is not None and not self.call.is_sent
        if is_withdrawn and self.call is not None:
            # The pool checks this flag right before it sends the first byte.
            self.call.is_cancelled = True
        return self.booking.on_deadline(is_withdrawn=is_withdrawn)

    @property
    def storage_key(self) -> str:
        """Return the key of the claim in the key-value service."""
        return storage_key(
            self.booking.request.service, self.booking.request.key
        )

    async def read(self) -> Result[Entry, Failure]:
        """Return the stored entry of the key."""
        self.engine.budget.reads.charge(1, now())
        return await self.engine.key_value.read(self.storage_key)

    async def write(self, value: bytes) -> Result[Entry, Failure]:
        """Replace the entry of the key if it has the version last seen."""
        return await self.engine.key_value.compare_and_swap(
            self.storage_key, value, self.booking.version
        )

    async def resolve_claim_late(self) -> None:
        """Record or release a claim that may be unresolved after the answer."""
        for delay_s in LATE_WRITE_DELAYS_S:
            if not self.booking.may_be_unresolved:
                return
            await curio.sleep(delay_s)
            if self.booking.on_late_read(await self.read()):
                final_record = self.booking.record_to_write(wall_time())
                self.engine.budget.writes.charge(1, now())
                written = await self.write(
                    final_record.encode() if final_record else b''
                )
                self.booking.on_record_written(written)


@booking_step(Step.ACCEPT)
async def accept(run: BookingRun) -> Step:
    """Read the entry of the key, then reserve the two writes of a booking.

    Return the step that writes the claim, or that answers a request whose key
    cannot be claimed or for which the budget has too few tokens.
    """
    booking = run.booking
    budget = run.engine.budget
    if not budget.reads.try_acquire(1, now()):
        return booking.refuse(run.engine.over_budget_answer())
    next_step = booking.on_read(
        await run.engine.key_value.read(run.storage_key)
    )
    can_claim = next_step is Step.CLAIM_SEND
    if can_claim and not budget.writes.try_acquire(WRITES_PER_BOOKING, now()):
        return booking.refuse(run.engine.over_budget_answer())
    return next_step


@booking_step(Step.CLAIM_SEND)
async def claim_send(run: BookingRun) -> Step:
    """Write the claim, before any byte is sent to a leaf."""
    if not run.booking.may_claim(now()):
        return run.booking.on_claim_too_late()
    if run.booking.claim_writes:
        run.engine.budget.writes.charge(1, now())
    run.booking.on_claim_send()
    written = await run.write(run.booking.claim.encode())
    return run.booking.on_claim_written(written)


@booking_step(Step.CLAIM_CONFIRM)
async def claim_confirm(run: BookingRun) -> Step:
    """Continue if the claim is confirmed, else read the entry of the key back.

    The dispatch monitor forbids a dispatch unless this step has reported to it
    that the claim is confirmed.
    """
    booking = run.booking
    if not booking.is_confirmed:
        next_step = booking.on_claim_read_back(await run.read(), now())
        if not booking.is_confirmed:
            return next_step
    run.engine.dispatch_monitor.record_claim_confirmed(
        booking.request.key, booking.claim.attempt_id
    )
    return Step.DISPATCH


@booking_step(Step.DISPATCH)
async def dispatch(run: BookingRun) -> Step:
    """Submit the request to one leaf, or release the claim."""
    booking = run.booking
    engine = run.engine
    # A booking service has exactly one group.
    group_id = next(iter(engine.service.groups_by_id))
    is_limited = not await _wait_for_token(run, group_id)
    if not booking.may_dispatch(now(), wall_time()):
        message = 'the deadline passed before the request was sent'
        return booking.on_no_dispatch('deadline_passed', message)
    leaf_id = engine.router.choose(group_id, now(), booking.leafs_tried)
    pool = engine.pools_by_leaf.get(leaf_id or '')
    if leaf_id is None or pool is None:
        if is_limited:
            message = 'every leaf names a rate limit that is used up'
            return booking.on_no_dispatch('rate_limited', message)
        return booking.on_no_dispatch('no_leaf', 'no leaf is available')
    claim = booking.claim
    if not engine.dispatch_monitor.check_dispatch(claim.key, claim.attempt_id):
        message = 'the dispatch would violate a run-time invariant'
        return booking.on_no_dispatch('invariant_violated', message)
    next_step = booking.on_dispatch(leaf_id)
    run.call = _new_leaf_call(run, leaf_id)
    engine.router.on_sent(leaf_id, now())
    await pool.submit(run.call)
    return next_step


async def _wait_for_token(run: BookingRun, group_id: str) -> bool:
    """Wait until a request may be sent to a leaf that names a rate limit.

    Returns
    -------
    bool
        False if no leaf may get the request before its deadline is near; this
        is returned at once if it is known before.
    """
    router = run.engine.router
    wait_s = TOKEN_WAIT_SHARE * (run.booking.request.deadline - now())
    end = now() + wait_s
    if router.token_wait_s(group_id, now()) > wait_s:
        return router.has_token(group_id, now())
    router.add_waiting(group_id, 1)
    try:
        while not router.has_token(group_id, now()) and now() < end:
            await curio.sleep(TOKEN_CHECK_INTERVAL_S)
    finally:
        router.add_waiting(group_id, -1)
    return router.has_token(group_id, now())


@booking_step(Step.FIRST_BYTE)
async def first_byte(run: BookingRun) -> Step:
    """Wait for the reply of the leaf or the failure of the call."""
    reply = await _await_reply(run)
    run.reply = reply
    return Step.REPLY_READ


@booking_step(Step.REPLY_READ)
async def reply_read(run: BookingRun) -> Step:
    """Decode the reply, and report to the router how the call ended."""
    if run.reply is None:
        raise RuntimeError('step reply_read was run before a call ended')
    leaf_id = run.reply.leaf_id
    decoded: Result[Outcome, Failure] = run.reply.outcome.and_then(
        lambda response: decode_leaf_reply(response, leaf_id)
    )
    run.call = None
    _record_limit(run, run.reply, decoded)
    run.engine.router.on_end(
        leaf_id, now(), run.reply.elapsed_s, _call_outcome(decoded)
    )
    if (
        isinstance(decoded, Err)
        and decoded.err_value.execution is Execution.NOT_RUN
    ):
        claim = run.booking.claim
        run.engine.dispatch_monitor.record_dispatch_not_run(
            claim.key, claim.attempt_id
        )
    return run.booking.on_reply(decoded)


def _record_limit(
    run: BookingRun, reply: LeafReply, decoded: Result[Outcome, Failure]
) -> None:
    """Tell the router what a reply states about the rate limit of its leaf."""
    if isinstance(reply.outcome, Err):
        return
    execution = Execution.RAN
    if isinstance(decoded, Err):
        execution = decoded.err_value.execution
    run.engine.router.on_named_limit(
        reply.leaf_id,
        named_limit_of(reply.outcome.ok_value, execution),
        now(),
        reply.elapsed_s,
    )


@booking_step(Step.RECORD)
async def record(run: BookingRun) -> Step | None:
    """Write the record that holds the outcome or releases the claim.

    The write is a compare-and-swap. If it fails, the entry is read back.
    """
    booking = run.booking
    final_record = booking.record_to_write(wall_time())
    value = final_record.encode() if final_record else b''
    if not value or len(value) > MAX_VALUE_BYTES:
        _log_record_failure(run, 'the outcome is too large')
        return booking.on_unrecordable()
    if booking.record_writes:
        run.engine.budget.writes.charge(1, now())
    written = await run.write(value)
    next_step = booking.on_record_written(written)
    if next_step is None:
        next_step = booking.on_record_read_back(await run.read())
    if next_step is Step.RESPOND and isinstance(written, Err):
        _log_record_failure(run, written.err_value.message)
    return next_step


@booking_step(Step.RESPOND)
async def respond(run: BookingRun) -> None:
    """Wake the task that answers the caller."""
    await run.answer_known.set()


async def _await_reply(run: BookingRun) -> LeafReply:
    """Return how the call ended, or cancel it if it does not end in time.

    The failure of a cancelled call states whether the leaf may have run the
    request.
    """
    call = run.call
    if call is None:
        raise RuntimeError('step first_byte was run without a call to a leaf')
    wait_s = max(0, call.deadline - now()) + CALL_GRACE_S
    reply: LeafReply | None = await get_before(now() + wait_s, run.replies)
    if reply is not None:
        return reply
    call.is_cancelled = True
    execution = Execution.UNKNOWN if call.is_sent else Execution.NOT_RUN
    leaf_id = run.booking.leafs_tried[-1]
    failure = Failure(
        'leaf_timeout',
        'the call to the leaf did not end in time',
        Step.FIRST_BYTE,
        peer=leaf_id,
        execution=execution,
    )
    return LeafReply(call.call_id, leaf_id, Err(failure), wait_s)


def _log_record_failure(run: BookingRun, reason: str) -> None:
    log_message(
        message_type='booking:record_failed',
        key=run.booking.request.key,
        attempt_id=run.booking.claim.attempt_id,
        reason=reason,
    )


def _new_leaf_call(run: BookingRun, leaf_id: str) -> LeafCall:
    """Return the call that passes the request to a leaf.

    Its deadline is earlier than that of the caller by the link delay to the
    leaf and back.
    """
    request = run.booking.request
    claim = run.booking.claim
    leaf = run.engine.pools_by_leaf[leaf_id].leaf
    delay_ms = run.engine.document.fleet.delay_ms(
        run.engine.data_centre, leaf.data_centre
    )
    # The leaf counts its time limit from the arrival of the request, so both
    # ways are subtracted.
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


def _call_outcome(decoded: Result[Outcome, Failure]) -> CallOutcome:
    """Return the outcome of the call as the router counts it."""
    if isinstance(decoded, Err):
        code = decoded.err_value.code
        return OUTCOMES_BY_CODE.get(code, CallOutcome.FAILED)
    return CallOutcome.GOOD
