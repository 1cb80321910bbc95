"""State machine of one booking attempt, without I/O."""

import attrs
from result import Err, Ok, Result

from clementinebank.booking import _answers
from clementinebank.booking._key import validate_key
from clementinebank.booking._messages import BookingAnswer, BookingRequest
from clementinebank.booking._record import (
    ClaimRecord,
    ClaimState,
    HistoryEntry,
    Outcome,
    decode_record,
)
from clementinebank.coordination import Entry
from clementinebank.errors import Execution, Failure, Step

# Largest number of times that an attempt writes its claim, and likewise its
# final record, before it gives up.
MAX_WRITES = 3
# Largest number of leafs that an attempt tries, one after another. It tries the
# next one only if the last one is known not to have run the request.
MAX_LEAFS_TRIED = 3


@attrs.define
class Booking:
    """State of one attempt to run a caller's request at most once.

    The caller of this class performs the I/O of each step and passes the
    result to the ``on_...`` method of that step, which returns the next step.

    Parameters
    ----------
    request : BookingRequest
        The request.
    claim : ClaimRecord
        Record that claims the key for this attempt.
    retention_hours : int
        Retention of claim records in hours.
    answer : BookingAnswer or None
        Answer to the caller, ``None`` until it is known.
    version : int
        Version of the stored entry that the next write replaces, 0 if there
        is no entry.
    final_claim : ClaimRecord or None
        Claim from which the final record is made: with the outcome to record,
        or without an outcome if the claim is to be released. ``None`` if no
        final record is to be written.
    claim_writes : int
        Number of writes of the claim that were started.
    record_writes : int
        Number of writes of the final record that have ended.
    claim_may_take_effect : bool
        Whether the claim may be stored now or later, because a write of it was
        started that is not known to have had no effect.
    is_confirmed : bool
        Whether the stored claim is known to belong to this attempt.
    is_dispatched : bool
        Whether the request was passed to a leaf that may have run it.
    is_dispatch_forbidden : bool
        Whether this attempt must not contact a leaf any more.
    is_final_record_stored : bool
        Whether the final record is known to be stored.
    leafs_tried : list of str
        Ids of the leafs that the request was passed to, in this order.
    """

    request: BookingRequest
    claim: ClaimRecord
    retention_hours: int
    answer: BookingAnswer | None = None
    version: int = 0
    final_claim: ClaimRecord | None = None
    claim_writes: int = 0
    record_writes: int = 0
    claim_may_take_effect: bool = False
    is_confirmed: bool = False
    is_dispatched: bool = False
    is_dispatch_forbidden: bool = False
    is_final_record_stored: bool = False
    leafs_tried: list[str] = attrs.Factory(list)

    def on_read(self, stored: Result[Entry, Failure]) -> Step:
        """Return the next step after the first read of the entry of the key."""
        if isinstance(stored, Err):
            return self._finish(
                _answers.failure_answer(
                    'key_value_unavailable',
                    f'{stored.err_value.message}; {_answers.REPEAT_HINT}',
                    Step.ACCEPT,
                    peer=stored.err_value.peer,
                )
            )
        return self._next_step_for_entry(stored.ok_value, Step.CLAIM_SEND)

    def may_claim(self, now: float) -> bool:
        """Return whether writing the claim is still allowed at ``now``."""
        return self._may_proceed(now)

    def on_claim_too_late(self) -> Step:
        """Answer the caller because it is too late to write the claim.

        No leaf was contacted, and none will be contacted later.
        """
        if self.claim_may_take_effect:
            return self._finish(_answers.unconfirmed_claim_answer(None))
        return self._finish(
            _answers.deadline_passed_answer(Step.CLAIM_SEND, Execution.NOT_RUN)
        )

    def on_claim_send(self) -> None:
        """Record that a write of the claim is sent and may take effect."""
        self.claim_writes += 1
        self.claim_may_take_effect = True

    def refuse(self, answer: BookingAnswer) -> Step:
        """Answer the caller before any write of the claim was started."""
        return self._finish(answer)

    def on_claim_written(self, written: Result[Entry, Failure]) -> Step:
        """Return the next step after a write of the claim.

        If the first write is known to have had no effect, the caller is
        answered. After any other failure the entry of the key is read back.
        """
        if isinstance(written, Ok):
            self._mark_confirmed(written.ok_value.version)
            return Step.CLAIM_CONFIRM
        failure = written.err_value
        is_unsent = (
            failure.execution is Execution.NOT_RUN
            and failure.code != 'version_mismatch'
        )
        if is_unsent and self.claim_writes == 1:
            self.claim_may_take_effect = False
            return self.on_read(written)
        return Step.CLAIM_CONFIRM

    def on_claim_read_back(
        self, stored: Result[Entry, Failure], now: float
    ) -> Step:
        """Return the next step after reading back whether the claim is stored.

        The entry of the key is read back because the write of the claim failed
        or its answer was lost.
        """
        can_retry = self.claim_writes < MAX_WRITES and self._may_proceed(now)
        if isinstance(stored, Err):
            if not can_retry:
                return self._finish(
                    _answers.unconfirmed_claim_answer(stored.err_value.peer)
                )
            # Writing the same claim again is safe: at most one of the writes
            # can take effect, and each names this attempt.
            return Step.CLAIM_SEND
        if self._is_own_claim(stored.ok_value):
            self._mark_confirmed(stored.ok_value.version)
            return Step.DISPATCH
        next_step = self._next_step_for_entry(stored.ok_value, Step.CLAIM_SEND)
        if next_step is Step.CLAIM_SEND and not can_retry:
            return self._finish(_answers.unconfirmed_claim_answer(None))
        return next_step

    def may_dispatch(self, now: float, wall_s: float) -> bool:
        """Return whether contacting a leaf is allowed now.

        The age of the key is checked again. If the key has expired since it
        was accepted, the record of an earlier run may have been removed
        before this claim was written.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        wall_s : float
            Unix time in seconds.
        """
        if not self.is_confirmed or self.is_dispatched:
            return False
        key = validate_key(self.request.key, wall_s, self.retention_hours)
        return self._may_proceed(now) and key.is_ok()

    def on_dispatch(self, leaf_id: str) -> Step:
        """Record that a leaf gets the request, and return the next step."""
        self.is_dispatched = True
        self.leafs_tried.append(leaf_id)
        return Step.FIRST_BYTE

    def on_no_dispatch(self, code: str, message: str) -> Step:
        """Prepare the release of the claim and forbid any later dispatch.

        The caller gets an answer with the code and the message, unless an
        answer was set already.
        """
        self.is_dispatch_forbidden = True
        self.answer = self.answer or _answers.failure_answer(
            code, message, Step.DISPATCH
        )
        self.final_claim = self.claim
        return Step.RECORD

    def on_reply(self, reply: Result[Outcome, Failure]) -> Step:
        """Return the next step after a call to a leaf ended.

        An outcome is recorded. If the leaf did not run the request, another
        leaf is tried, or the claim is released after ``MAX_LEAFS_TRIED``. If
        the leaf may have run the request, the claim stays unresolved.
        """
        if isinstance(reply, Ok):
            # A caller that was answered at the deadline keeps that answer;
            # the late outcome is recorded for its repeats.
            self.answer = self.answer or BookingAnswer(reply.ok_value)
            self.final_claim = attrs.evolve(self.claim, outcome=reply.ok_value)
            return Step.RECORD
        failure = reply.err_value
        if failure.execution is not Execution.NOT_RUN:
            return self._finish(BookingAnswer(failure=failure))
        self.is_dispatched = False
        if len(self.leafs_tried) < MAX_LEAFS_TRIED:
            return Step.DISPATCH
        return self.on_no_dispatch(failure.code, failure.message)

    def record_to_write(self, wall_s: float) -> ClaimRecord | None:
        """Return the final record of the claim, or ``None`` if there is none.

        Its state is ``recorded`` with an outcome, else ``released``.
        """
        if self.final_claim is None:
            return None
        has_outcome = self.final_claim.outcome is not None
        state = ClaimState.RECORDED if has_outcome else ClaimState.RELEASED
        entry = HistoryEntry(wall_s, self.claim.instance_id, state.value)
        return self.final_claim.with_state(state, entry)

    def on_unrecordable(self) -> Step:
        """Leave the claim unresolved: its final record cannot be stored."""
        self.final_claim = None
        return Step.RESPOND

    def on_record_written(self, written: Result[Entry, Failure]) -> Step | None:
        """Return the next step after a write of the final record.

        ``None`` means that the entry of the key must be read back first.
        """
        self.record_writes += 1
        if isinstance(written, Ok):
            return self._mark_final_record_stored()
        return None if self.record_writes < MAX_WRITES else Step.RESPOND

    def on_record_read_back(self, stored: Result[Entry, Failure]) -> Step:
        """Return the next step after reading back the final record.

        The entry of the key is read back because the write of the final record
        failed or its answer was lost. The record is written again if the entry
        could not be read, still holds the claim of this attempt, or holds the
        statement of an operator although the outcome is known.
        """
        if isinstance(stored, Err):
            return Step.RECORD
        decoded = decode_record(stored.ok_value.value)
        if isinstance(decoded, Err) or self.final_claim is None:
            return Step.RESPOND
        record = decoded.ok_value
        if record.attempt_id != self.claim.attempt_id:
            return Step.RESPOND
        self.version = stored.ok_value.version
        if record.state is ClaimState.CLAIMED:
            return Step.RECORD
        if record.state is ClaimState.SETTLED and self.final_claim.outcome:
            # The answer of the leaf replaces the operator's statement, which
            # stays in the history.
            self.final_claim = attrs.evolve(
                self.final_claim, history=record.history
            )
            return Step.RECORD
        return self._mark_final_record_stored()

    @property
    def may_be_unresolved(self) -> bool:
        """Return whether the stored claim may still be unresolved.

        True if a write of the claim may take effect late, or if the final
        record is not known to be stored.
        """
        if self.final_claim is None:
            return self.claim_may_take_effect and not self.is_confirmed
        return not self.is_final_record_stored

    def on_late_read(self, stored: Result[Entry, Failure]) -> bool:
        """Return whether the final record is to be written now.

        The entry ``stored`` was read after the caller was answered. If it
        shows that the claim took effect late, the claim is released: this
        attempt sent nothing to a leaf and never will.
        """
        self.is_dispatch_forbidden = True
        if isinstance(stored, Err):
            return False
        if self.final_claim is None and self._is_own_claim(stored.ok_value):
            self.final_claim = self.claim
        if self.final_claim is None:
            return False
        return self.on_record_read_back(stored) is Step.RECORD

    def on_deadline(self, *, is_withdrawn: bool) -> BookingAnswer:
        """Return the answer and forbid any later dispatch.

        If no answer is known yet, the answer follows from the last step that
        the attempt reached.

        Parameters
        ----------
        is_withdrawn : bool
            Whether the call to the leaf was cancelled before any byte of it
            was sent.
        """
        self.is_dispatch_forbidden = True
        if self.answer is None:
            self.answer = self._answer_at_deadline(is_withdrawn=is_withdrawn)
        return self.answer

    def _answer_at_deadline(self, *, is_withdrawn: bool) -> BookingAnswer:
        """Return the answer if none was set before the deadline."""
        if self.is_dispatched and not is_withdrawn:
            return _answers.deadline_passed_answer(
                Step.REPLY_READ, Execution.UNKNOWN, self.leafs_tried[-1]
            )
        if self.claim_may_take_effect and not self.is_confirmed:
            return _answers.unconfirmed_claim_answer(None)
        return _answers.deadline_passed_answer(Step.DISPATCH, Execution.NOT_RUN)

    def _next_step_for_entry(
        self, entry: Entry, step_if_claimable: Step
    ) -> Step:
        """Return the given step if the key can be claimed, else set the answer.

        A key can be claimed if it has no entry, or if its record is released
        and belongs to the same request body.
        """
        if not entry.version:
            self.version = 0
            return step_if_claimable
        decoded = decode_record(entry.value)
        if isinstance(decoded, Err):
            return self._finish(_answers.unresolved_claim_answer())
        record = decoded.ok_value
        has_same_body = record.digest == self.request.digest
        if record.state is ClaimState.RELEASED and has_same_body:
            self.version = entry.version
            self.claim = attrs.evolve(self.claim, history=record.history)
            return step_if_claimable
        return self._finish(_answers.answer_from_record(record, self.request))

    def _is_own_claim(self, entry: Entry) -> bool:
        """Return whether the entry is the unresolved claim of this attempt."""
        decoded = decode_record(entry.value)
        return (
            isinstance(decoded, Ok)
            and decoded.ok_value.attempt_id == self.claim.attempt_id
            and decoded.ok_value.is_unresolved
        )

    def _may_proceed(self, now: float) -> bool:
        """Return whether writing the claim or contacting a leaf is allowed."""
        return not self.is_dispatch_forbidden and now < self.request.deadline

    def _mark_confirmed(self, version: int) -> None:
        """Record that the entry of this version is the claim of the attempt."""
        self.version = version
        self.is_confirmed = True

    def _mark_final_record_stored(self) -> Step:
        """Record that the final record is stored, and return ``Step.RESPOND``.

        An answer with an outcome is marked as recorded.
        """
        self.is_final_record_stored = True
        if self.answer and self.answer.outcome:
            self.answer = attrs.evolve(self.answer, is_recorded=True)
        return Step.RESPOND

    def _finish(self, answer: BookingAnswer) -> Step:
        """Set the answer unless one is set, and return ``Step.RESPOND``."""
        self.answer = self.answer or answer
        return Step.RESPOND
