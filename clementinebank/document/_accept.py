"""Acceptance of a change by a compare-and-swap of the head record."""

from collections.abc import Callable

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.clock import now, wall_time
from clementinebank.coordination import Entry, KeyValueService
from clementinebank.document._change import (
    Change,
    SectionConflict,
    merge_change,
)
from clementinebank.document._decode import decode_head
from clementinebank.document._head import (
    DOCUMENT_KEY,
    HeadRecord,
    HeadTooLargeError,
)
from clementinebank.document._parse import parse_document
from clementinebank.document._result import ChangeResult, Outcome
from clementinebank.errors import Execution, Failure, FieldProblem, Step
from clementinebank.invariants import check, invariant

# Largest number of swaps for one change. A swap is refused only if another
# change was written first, so up to this many operators can write at once.
MAX_SWAPS = 16
# Consecutive failed reads after which the outcome is reported as unknown.
MAX_CONSECUTIVE_READ_FAILURES = 3
# Pause before the head is read again after a failed read.
RETRY_DELAY_S = 0.05
# Once an acceptance has taken this long, it starts no further round of calls,
# so that the operator gets the result before the command-line tool times out.
ACCEPT_TIME_LIMIT_S = 8.0
# Error code of a swap that wrote nothing because the version had changed.
VERSION_MISMATCH = 'version_mismatch'

# Steps of an acceptance, in order. The fault matrix of the tests combines each
# step with every fault.
ACCEPT_STEPS = (Step.READ_HEAD, Step.MERGE, Step.SWAP, Step.CONFIRM)


@attrs.frozen
class SwapHead:
    """Request of a compare-and-swap of the head record.

    Parameters
    ----------
    head : HeadRecord
        Record to write.
    version : int
        Version that the key must still have for the write to take effect.
    """

    head: HeadRecord
    version: int


@invariant('change_touches_only_its_sections', 'R8')
def touches_only_its_sections(
    before: HeadRecord, after: HeadRecord, change: Change
) -> bool:
    """Return whether every section that the change does not name is equal."""
    changed_names = change.texts_by_section.keys()
    return {
        name: section
        for name, section in before.sections_by_name.items()
        if name not in changed_names
    } == {
        name: section
        for name, section in after.sections_by_name.items()
        if name not in changed_names
    }


@invariant('swap_extends_record_in_force', 'R8')
def extends_record_in_force(after: HeadRecord, in_force: HeadRecord) -> bool:
    """Return whether a record to write contains the one in force.

    True if its revision is higher and it contains every change of the record
    in force.
    """
    return after.revision > in_force.revision and after.extends(in_force)


@attrs.define
class ChangeDecision:
    """Decision logic for the acceptance of one change; performs no I/O.

    Parameters
    ----------
    change : Change
        Change to accept.
    """

    change: Change
    # Head read last; the next swap must contain it.
    _last_head: HeadRecord = HeadRecord()
    # Versions at which a swap failed without telling whether it wrote; such a
    # swap may still take effect.
    _undecided_versions: set[int] = attrs.Factory(set)
    _swap_count: int = 0
    _read_failures: int = 0

    @property
    def step(self) -> Step:
        """Return the step to which the next read of the head belongs."""
        return Step.CONFIRM if self._undecided_versions else Step.READ_HEAD

    def on_read(
        self, reply: Result[Entry, Failure], in_force: HeadRecord, time: float
    ) -> ChangeResult | SwapHead | None:
        """Return what to do after a read of the head.

        Parameters
        ----------
        reply : Result
            Answer of the key-value service to the read.
        in_force : HeadRecord
            Record that this instance has in force.
        time : float
            Current Unix time in seconds, the accept time of the change.

        Returns
        -------
        ChangeResult, SwapHead or None
            The result of the change, the swap to send, or ``None`` if the
            read failed and must be repeated.
        """
        if isinstance(reply, Err):
            return self._on_read_failure(reply.err_value)
        self._read_failures = 0
        entry = reply.ok_value
        try:
            head = decode_head(entry.value) if entry.version else HeadRecord()
        except ValueError as error:
            return self._refuse('head_invalid', str(error))
        result = self._find_accepted(head, in_force)
        if result is not None:
            return result
        for earlier in (in_force, self._last_head):
            if not head.extends(earlier):
                return self._refuse_for(_head_restored_failure(head, earlier))
        self._last_head = head
        # An earlier swap can still take effect only if the key still has the
        # version that the swap requires.
        self._undecided_versions &= {entry.version}
        return self._merge(head, entry.version, time)

    def on_swap(
        self, action: SwapHead, reply: Result[Entry, Failure]
    ) -> ChangeResult | None:
        """Return the result after a swap, or ``None`` to read the head again.

        The head is read again if the version had changed or if the failure
        does not tell whether the swap took effect.
        """
        if isinstance(reply, Ok):
            return self._accepted_result(action.head)
        if reply.err_value.code != VERSION_MISMATCH:
            self._undecided_versions.add(action.version)
        return None

    def on_time_limit(self) -> ChangeResult:
        """Return the result of a change that reached the time limit."""
        return self._refuse(
            'time_limit',
            f'not accepted within {ACCEPT_TIME_LIMIT_S} s',
            Step.SWAP,
        )

    def _find_accepted(
        self, head: HeadRecord, in_force: HeadRecord
    ) -> ChangeResult | None:
        for record in (in_force, head):
            entry = record.find_change(self.change.change_id)
            if entry is None:
                continue
            if entry.digest and entry.digest != self.change.digest:
                return self._refuse(
                    'change_id_reused',
                    f'revision {entry.revision} accepted this id with other '
                    'section texts; use a new id',
                )
            if record.extends(in_force):
                return self._accepted_result(record)
            # The stored head contains the change but not the record in force.
            # Until the two are merged, another restore could lose the change.
            return self._unknown_result(_head_restored_failure(head, in_force))
        return None

    def _accepted_result(self, head: HeadRecord) -> ChangeResult:
        change_id = self.change.change_id
        entry = head.find_change(change_id)
        revision = entry.revision if entry else head.revision
        return ChangeResult(Outcome.ACCEPTED, change_id, head, revision)

    def _merge(
        self, head: HeadRecord, version: int, time: float
    ) -> ChangeResult | SwapHead:
        if self.change.base_revision > head.revision:
            # The key-value service was restored to a state older than the
            # base. An earlier apply of this change id may have been accepted
            # and may still be in force at another instance.
            message = (
                f'base revision {self.change.base_revision} is above the '
                f'stored document revision {head.revision}; this request '
                'wrote nothing'
            )
            return self._unknown_result(
                Failure('base_ahead_of_head', message, Step.MERGE)
            )
        try:
            merged = merge_change(head, self.change, time)
        except HeadTooLargeError as error:
            return self._invalid_result([FieldProblem('document', str(error))])
        if isinstance(merged, Err):
            return self._conflict_result(head, merged.err_value)
        after = merged.ok_value
        parsed = parse_document(after.texts_by_section, after.revision)
        if isinstance(parsed, Err):
            return self._invalid_result(parsed.err_value)
        return self._check_and_swap(head, after, version)

    def _check_and_swap(
        self, head: HeadRecord, after: HeadRecord, version: int
    ) -> ChangeResult | SwapHead:
        change_id = self.change.change_id
        is_safe = check(
            'change_touches_only_its_sections',
            change_id,
            before=head,
            after=after,
            change=self.change,
        ) and check(
            'swap_extends_record_in_force',
            change_id,
            after=after,
            in_force=self._last_head,
        )
        if not is_safe:
            return self._refuse(
                'invariant_violated',
                'the merged record breaks an invariant',
                Step.MERGE,
            )
        if self._swap_count >= MAX_SWAPS:
            return self._refuse(
                'head_moving',
                f'the document changed during each of {MAX_SWAPS} swaps',
                Step.SWAP,
            )
        self._swap_count += 1
        return SwapHead(after, version)

    def _on_read_failure(self, failure: Failure) -> ChangeResult | None:
        self._read_failures += 1
        if self._read_failures < MAX_CONSECUTIVE_READ_FAILURES:
            return None
        return self._unknown_result(failure)

    def _refuse(
        self, code: str, message: str, step: Step = Step.READ_HEAD
    ) -> ChangeResult:
        return self._refuse_for(Failure(code, message, step))

    def _refuse_for(self, failure: Failure) -> ChangeResult:
        # A refusal would be untrue if an earlier swap still takes effect.
        if self._undecided_versions:
            return self._unknown_result(failure)
        return ChangeResult(
            Outcome.REFUSED, self.change.change_id, failure=failure
        )

    def _conflict_result(
        self, head: HeadRecord, conflicts: tuple[SectionConflict, ...]
    ) -> ChangeResult:
        change_id = self.change.change_id
        if self.change.base_revision >= head.history_start:
            return ChangeResult(
                Outcome.CONFLICT, change_id, conflicts=conflicts
            )
        # The base is older than the history, so an earlier apply of this change
        # id may have been accepted and its entry trimmed.
        failure = Failure(
            'history_trimmed',
            f'the change history starts after revision {head.history_start}, '
            f'above the base revision {self.change.base_revision}; an earlier '
            'apply of this id may have been accepted; this one wrote nothing',
            Step.MERGE,
            execution=Execution.UNKNOWN,
        )
        return ChangeResult(
            Outcome.UNKNOWN, change_id, conflicts=conflicts, failure=failure
        )

    def _invalid_result(self, problems: list[FieldProblem]) -> ChangeResult:
        return ChangeResult(
            Outcome.INVALID, self.change.change_id, problems=tuple(problems)
        )

    def _unknown_result(self, failure: Failure) -> ChangeResult:
        return ChangeResult(
            Outcome.UNKNOWN,
            self.change.change_id,
            failure=attrs.evolve(failure, execution=Execution.UNKNOWN),
        )


def _head_restored_failure(head: HeadRecord, earlier: HeadRecord) -> Failure:
    return Failure(
        'head_restored',
        f'the key-value service returned revision {head.revision}, which does '
        f'not contain revision {earlier.revision}; it was restored to an older '
        'state',
        Step.READ_HEAD,
    )


@attrs.frozen
class AcceptChange:
    """Acceptance of changes through the key-value service.

    Parameters
    ----------
    key_value : KeyValueService
        The platform's key-value service.
    get_head_in_force : callable
        Returns the record that this instance has in force.
    get_refusal : callable
        Returns the failure with which changes are refused while this instance
        does not know the record in force, otherwise ``None``. After a restore
        of the key-value service, an instance that has not yet heard from its
        peers could contradict a change that another process has in force.
    """

    key_value: KeyValueService
    get_head_in_force: Callable[[], HeadRecord]
    get_refusal: Callable[[], Failure | None]

    async def preview(self, change: Change) -> ChangeResult | None:
        """Return the result if the change would not be accepted now.

        Returns ``None`` if it would be accepted. Nothing is written.
        """
        refusal_result = self._refused_result(change)
        if refusal_result is not None:
            return refusal_result
        decision = ChangeDecision(change)
        action = None
        while action is None:
            reply = await self.key_value.read(DOCUMENT_KEY)
            action = decision.on_read(
                reply, self.get_head_in_force(), wall_time()
            )
        return action if isinstance(action, ChangeResult) else None

    async def run(self, change: Change) -> ChangeResult:
        """Accept the change and return its result.

        The calling code must put the head of an accepted change in force
        before it reports the result, so that this instance writes the head
        back if the key-value service loses it.
        """
        refusal_result = self._refused_result(change)
        if refusal_result is not None:
            return refusal_result
        decision = ChangeDecision(change)
        limit = now() + ACCEPT_TIME_LIMIT_S
        while now() < limit:
            reply = await self.key_value.read(DOCUMENT_KEY)
            action = decision.on_read(
                reply, self.get_head_in_force(), wall_time()
            )
            if isinstance(action, ChangeResult):
                return action
            if action is None:
                await curio.sleep(RETRY_DELAY_S)
                continue
            swap_reply = await self.key_value.compare_and_swap(
                DOCUMENT_KEY, action.head.encode(), action.version
            )
            result = decision.on_swap(action, swap_reply)
            if result is not None:
                return result
        return decision.on_time_limit()

    def _refused_result(self, change: Change) -> ChangeResult | None:
        failure = self.get_refusal()
        if failure is None:
            return None
        return ChangeResult(Outcome.REFUSED, change.change_id, failure=failure)
