"""Decisions of one booking attempt, without I/O."""

import attrs
from result import Err, Ok, Result

from clementinebank.booking import _answers
from clementinebank.booking._key import read_key
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

# Writes of one claim, and of one record, before the attempt gives up.
MAX_WRITES = 3
MAX_LEAFS = 3


@attrs.define
class Booking:
    """One attempt of a caller's request.

    Every method takes the result of the I/O of a step and returns the next
    step. ``answer`` is set once it is known what the caller is told.

    Parameters
    ----------
    request : BookingRequest
        The request.
    claim : ClaimRecord
        Record that claims the key for this attempt.
    retention_hours : int
        Retention of claim records in hours.
    """

    request: BookingRequest
    claim: ClaimRecord
    retention_hours: int
    answer: BookingAnswer | None = None
    version: int = 0
    target: ClaimRecord | None = None
    claim_writes: int = 0
    record_writes: int = 0
    may_land: bool = False
    is_confirmed: bool = False
    is_dispatched: bool = False
    is_closed: bool = False
    is_stored: bool = False
    leafs_tried: list[str] = attrs.Factory(list)

    def on_read(self, stored: Result[Entry, Failure]) -> Step:
        """Take the entry of the key, read before anything is written."""
        if isinstance(stored, Err):
            return self._finish(
                _answers.refusal(
                    'key_value_unavailable',
                    f'{stored.err_value.message}; {_answers.REPEAT_HINT}',
                    Step.ACCEPT,
                    peer=stored.err_value.peer,
                )
            )
        return self._take_entry(stored.ok_value, Step.CLAIM_SEND)

    def may_claim(self, now: float) -> bool:
        """Return whether the claim may be written now."""
        return self._is_open(now)

    def on_claim_too_late(self) -> Step:
        """End the attempt, because no leaf could be contacted any more."""
        if self.may_land:
            return self._finish(_answers.unconfirmed(None))
        return self._finish(
            _answers.deadline_passed(Step.CLAIM_SEND, Execution.NOT_RUN)
        )

    def on_claim_send(self) -> None:
        """Note that from now on the claim may take effect."""
        self.claim_writes += 1
        self.may_land = True

    def refuse(self, answer: BookingAnswer) -> Step:
        """End the attempt before its claim was sent."""
        return self._finish(answer)

    def on_claim_written(self, written: Result[Entry, Failure]) -> Step:
        """Take the answer to the write of the claim."""
        if isinstance(written, Ok):
            self._confirm(written.ok_value.version)
            return Step.CLAIM_CONFIRM
        failure = written.err_value
        is_unsent = (
            failure.execution is Execution.NOT_RUN
            and failure.code != 'version_mismatch'
        )
        if is_unsent and self.claim_writes == 1:
            self.may_land = False
            return self.on_read(written)
        return Step.CLAIM_CONFIRM

    def on_claim_read_back(
        self, stored: Result[Entry, Failure], now: float
    ) -> Step:
        """Take the entry that was read because the write was not answered."""
        can_retry = self.claim_writes < MAX_WRITES and self._is_open(now)
        if isinstance(stored, Err):
            if not can_retry:
                return self._finish(_answers.unconfirmed(stored.err_value.peer))
            # The same claim is written again: at most one of the writes can
            # take effect, and each names this attempt.
            return Step.CLAIM_SEND
        if self._is_own(stored.ok_value):
            self._confirm(stored.ok_value.version)
            return Step.DISPATCH
        following = self._take_entry(stored.ok_value, Step.CLAIM_SEND)
        if following is Step.CLAIM_SEND and not can_retry:
            return self._finish(_answers.unconfirmed(None))
        return following

    def may_dispatch(self, now: float, wall_s: float) -> bool:
        """Return whether a leaf may be contacted now.

        The age of the key is checked again, because an expired record of an
        earlier run may have been removed before this claim was written.
        """
        if not self.is_confirmed or self.is_dispatched:
            return False
        key = read_key(self.request.key, wall_s, self.retention_hours)
        return self._is_open(now) and key.is_ok()

    def on_dispatch(self, leaf_id: str) -> Step:
        """Note that the request is passed to a leaf."""
        self.is_dispatched = True
        self.leafs_tried.append(leaf_id)
        return Step.FIRST_BYTE

    def on_no_dispatch(self, code: str, message: str) -> Step:
        """Release the claim, because no leaf is contacted any more."""
        self.is_closed = True
        self.answer = self.answer or _answers.refusal(
            code, message, Step.DISPATCH
        )
        self.target = self.claim
        return Step.RECORD

    def on_reply(self, reply: Result[Outcome, Failure]) -> Step:
        """Take what a leaf answered, or how the call failed."""
        if isinstance(reply, Ok):
            # A late outcome replaces nothing the caller was told already.
            self.answer = self.answer or BookingAnswer(reply.ok_value)
            self.target = attrs.evolve(self.claim, outcome=reply.ok_value)
            return Step.RECORD
        failure = reply.err_value
        if failure.execution is not Execution.NOT_RUN:
            return self._finish(BookingAnswer(failure=failure))
        self.is_dispatched = False
        if len(self.leafs_tried) < MAX_LEAFS:
            return Step.DISPATCH
        return self.on_no_dispatch(failure.code, failure.message)

    def record_to_write(self, wall_s: float) -> ClaimRecord | None:
        """Return the record that ends the claim, with its history."""
        if self.target is None:
            return None
        has_outcome = self.target.outcome is not None
        state = ClaimState.RECORDED if has_outcome else ClaimState.RELEASED
        entry = HistoryEntry(wall_s, self.claim.instance_id, state.value)
        return self.target.changed(state, entry)

    def on_unrecordable(self) -> Step:
        """Leave the claim unresolved, because its end cannot be stored."""
        self.target = None
        return Step.RESPOND

    def on_record_written(self, written: Result[Entry, Failure]) -> Step | None:
        """Take the answer to the last write; ``None`` asks for a read."""
        self.record_writes += 1
        if isinstance(written, Ok):
            return self._recorded()
        return None if self.record_writes < MAX_WRITES else Step.RESPOND

    def on_record_read_back(self, stored: Result[Entry, Failure]) -> Step:
        """Take the entry that was read because the write was not answered."""
        if isinstance(stored, Err):
            return Step.RECORD
        decoded = decode_record(stored.ok_value.value)
        if isinstance(decoded, Err) or self.target is None:
            return Step.RESPOND
        record = decoded.ok_value
        if record.attempt_id != self.claim.attempt_id:
            return Step.RESPOND
        self.version = stored.ok_value.version
        if record.state is ClaimState.CLAIMED:
            return Step.RECORD
        if record.state is ClaimState.SETTLED and self.target.outcome:
            # The leaf's answer outweighs the operator's statement, which
            # stays in the history.
            self.target = attrs.evolve(self.target, history=record.history)
            return Step.RECORD
        return self._recorded()

    @property
    def needs_late_write(self) -> bool:
        """Return whether the claim may be left unresolved."""
        if self.target is None:
            return self.may_land and not self.is_confirmed
        return not self.is_stored

    def on_late_read(self, stored: Result[Entry, Failure]) -> bool:
        """Return whether the claim, read after the answer, is to be ended.

        A claim that took effect late is released: this attempt is its
        holder, sent nothing and is closed.
        """
        self.is_closed = True
        if isinstance(stored, Err):
            return False
        if self.target is None and self._is_own(stored.ok_value):
            self.target = self.claim
        if self.target is None:
            return False
        return self.on_record_read_back(stored) is Step.RECORD

    def on_deadline(self, *, is_withdrawn: bool) -> BookingAnswer:
        """Return the answer at the deadline and forbid any dispatch.

        Parameters
        ----------
        is_withdrawn : bool
            Whether the call to the leaf was cancelled before any byte of it
            was sent.
        """
        self.is_closed = True
        if self.answer is None:
            self.answer = self._answer_at_deadline(is_withdrawn=is_withdrawn)
        return self.answer

    def _answer_at_deadline(self, *, is_withdrawn: bool) -> BookingAnswer:
        if self.is_dispatched and not is_withdrawn:
            return _answers.deadline_passed(
                Step.REPLY_READ, Execution.UNKNOWN, self.leafs_tried[-1]
            )
        if self.may_land and not self.is_confirmed:
            return _answers.unconfirmed(None)
        return _answers.deadline_passed(Step.DISPATCH, Execution.NOT_RUN)

    def _take_entry(self, entry: Entry, if_free: Step) -> Step:
        if not entry.version:
            self.version = 0
            return if_free
        decoded = decode_record(entry.value)
        if isinstance(decoded, Err):
            return self._finish(_answers.unresolved())
        record = decoded.ok_value
        is_same_body = record.digest == self.request.digest
        if record.state is ClaimState.RELEASED and is_same_body:
            self.version = entry.version
            self.claim = attrs.evolve(self.claim, history=record.history)
            return if_free
        return self._finish(_answers.answer_of_record(record, self.request))

    def _is_own(self, entry: Entry) -> bool:
        decoded = decode_record(entry.value)
        return (
            isinstance(decoded, Ok)
            and decoded.ok_value.attempt_id == self.claim.attempt_id
            and decoded.ok_value.is_unresolved
        )

    def _is_open(self, now: float) -> bool:
        return not self.is_closed and now < self.request.deadline

    def _confirm(self, version: int) -> None:
        self.version = version
        self.is_confirmed = True

    def _recorded(self) -> Step:
        self.is_stored = True
        if self.answer and self.answer.outcome:
            self.answer = attrs.evolve(self.answer, is_recorded=True)
        return Step.RESPOND

    def _finish(self, answer: BookingAnswer) -> Step:
        self.answer = self.answer or answer
        return Step.RESPOND
