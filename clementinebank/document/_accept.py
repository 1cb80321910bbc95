"""Acceptance of a change by one compare-and-swap."""

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

# Each swap that is refused was won by another change, so that this many
# operators may write at the same moment.
MAX_SWAPS = 16
MAX_READ_FAILURES = 3
RETRY_DELAY_S = 0.05
# No call starts after this time, so that the operator gets the result before
# the tool's own limit.
ACCEPT_LIMIT_S = 8.0
VERSION_MISMATCH = 'version_mismatch'

# Steps of an acceptance. The fault matrix covers each with every fault.
ACCEPT_STEPS = (Step.READ_HEAD, Step.MERGE, Step.SWAP, Step.CONFIRM)


@attrs.frozen
class SwapHead:
    """Action: swap the head record at a version.

    Parameters
    ----------
    head : HeadRecord
        Record to write.
    version : int
        Version that must still hold.
    """

    head: HeadRecord
    version: int


@invariant('change_touches_only_its_sections', 'R8')
def touches_only_its_sections(
    before: HeadRecord, after: HeadRecord, change: Change
) -> bool:
    """Return whether all other sections are as they were."""
    named = change.texts_by_section.keys()
    return {
        name: section
        for name, section in before.sections_by_name.items()
        if name not in named
    } == {
        name: section
        for name, section in after.sections_by_name.items()
        if name not in named
    }


@invariant('swap_extends_record_in_force', 'R8')
def extends_record_in_force(after: HeadRecord, in_force: HeadRecord) -> bool:
    """Return whether a record to write contains the one in force."""
    return after.revision > in_force.revision and after.extends(in_force)


@attrs.define
class ChangeDecision:
    """Decides how one change is accepted; performs no I/O.

    Parameters
    ----------
    change : Change
        Change to accept.
    """

    change: Change
    _newest: HeadRecord = HeadRecord()
    _unsettled_versions: set[int] = attrs.Factory(set)
    _swaps: int = 0
    _read_failures: int = 0

    @property
    def step(self) -> Step:
        """Return the step of the next read."""
        return Step.CONFIRM if self._unsettled_versions else Step.READ_HEAD

    def on_read(
        self, reply: Result[Entry, Failure], in_force: HeadRecord, time: float
    ) -> ChangeResult | SwapHead | None:
        """Decide on the head that was read.

        Parameters
        ----------
        reply : Result
            Answer of the key-value service.
        in_force : HeadRecord
            Record that this instance has in force.
        time : float
            Unix time in seconds.

        Returns
        -------
        ChangeResult, SwapHead or None
            The result, the next swap, or ``None`` to read again.
        """
        if isinstance(reply, Err):
            return self._on_read_failure(reply.err_value)
        self._read_failures = 0
        entry = reply.ok_value
        try:
            head = decode_head(entry.value) if entry.version else HeadRecord()
        except ValueError as error:
            return self._refuse('head_invalid', str(error))
        settled = self._find_accepted(head, in_force)
        if settled is not None:
            return settled
        for newest in (in_force, self._newest):
            if not head.extends(newest):
                return self._reject(_restored_failure(head, newest))
        self._newest = head
        # A swap whose version has passed can no longer take effect.
        self._unsettled_versions &= {entry.version}
        return self._merge(head, entry.version, time)

    def on_swap(
        self, action: SwapHead, reply: Result[Entry, Failure]
    ) -> ChangeResult | None:
        """Decide on the answer to a swap; ``None`` to read the head."""
        if isinstance(reply, Ok):
            return self._accepted(action.head)
        if reply.err_value.code != VERSION_MISMATCH:
            self._unsettled_versions.add(action.version)
        return None

    def on_time_limit(self) -> ChangeResult:
        """Return the result once the time limit is reached."""
        return self._refuse(
            'time_limit',
            f'not accepted within {ACCEPT_LIMIT_S} s',
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
                return self._accepted(record)
            # Until it is merged with the record in force, another restore
            # would lose the change.
            return self._unknown(_restored_failure(head, in_force))
        return None

    def _accepted(self, head: HeadRecord) -> ChangeResult:
        change_id = self.change.change_id
        entry = head.find_change(change_id)
        revision = entry.revision if entry else head.revision
        return ChangeResult(Outcome.ACCEPTED, change_id, head, revision)

    def _merge(
        self, head: HeadRecord, version: int, time: float
    ) -> ChangeResult | SwapHead:
        if self.change.base_revision > head.revision:
            # The service was restored below the base, so that an earlier
            # apply of this id may be in force elsewhere.
            message = (
                f'base revision {self.change.base_revision} is above the '
                f'revision {head.revision} of the document; this request '
                'wrote nothing'
            )
            return self._unknown(
                Failure('base_ahead_of_head', message, Step.MERGE)
            )
        try:
            merged = merge_change(head, self.change, time)
        except HeadTooLargeError as error:
            return self._invalid([FieldProblem('document', str(error))])
        if isinstance(merged, Err):
            return self._conflict(head, merged.err_value)
        after = merged.ok_value
        parsed = parse_document(after.texts_by_section, after.revision)
        if isinstance(parsed, Err):
            return self._invalid(parsed.err_value)
        return self._swap(head, after, version)

    def _swap(
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
            in_force=self._newest,
        )
        if not is_safe:
            return self._refuse(
                'invariant_violated', 'the merge is faulty', Step.MERGE
            )
        if self._swaps >= MAX_SWAPS:
            return self._refuse(
                'head_moving',
                f'the document changed during each of {MAX_SWAPS} swaps',
                Step.SWAP,
            )
        self._swaps += 1
        return SwapHead(after, version)

    def _on_read_failure(self, failure: Failure) -> ChangeResult | None:
        self._read_failures += 1
        if self._read_failures < MAX_READ_FAILURES:
            return None
        return self._unknown(failure)

    def _refuse(
        self, code: str, message: str, step: Step = Step.READ_HEAD
    ) -> ChangeResult:
        return self._reject(Failure(code, message, step))

    def _reject(self, failure: Failure) -> ChangeResult:
        if self._unsettled_versions:
            return self._unknown(failure)
        return ChangeResult(
            Outcome.REFUSED, self.change.change_id, failure=failure
        )

    def _conflict(
        self, head: HeadRecord, conflicts: tuple[SectionConflict, ...]
    ) -> ChangeResult:
        change_id = self.change.change_id
        if self.change.base_revision >= head.history_start:
            return ChangeResult(
                Outcome.CONFLICT, change_id, conflicts=conflicts
            )
        # An earlier apply of this id may have been accepted and trimmed.
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

    def _invalid(self, problems: list[FieldProblem]) -> ChangeResult:
        return ChangeResult(
            Outcome.INVALID, self.change.change_id, problems=tuple(problems)
        )

    def _unknown(self, failure: Failure) -> ChangeResult:
        return ChangeResult(
            Outcome.UNKNOWN,
            self.change.change_id,
            failure=attrs.evolve(failure, execution=Execution.UNKNOWN),
        )


def _restored_failure(head: HeadRecord, newest: HeadRecord) -> Failure:
    return Failure(
        'head_restored',
        f'the key-value service returned revision {head.revision}, which does '
        f'not contain revision {newest.revision}; it was restored to an older '
        'state',
        Step.READ_HEAD,
    )


@attrs.frozen
class AcceptChange:
    """Use case: accept a change through the key-value service.

    Parameters
    ----------
    key_value : KeyValueService
        The platform's key-value service.
    head_in_force : callable
        Returns the record that this instance has in force.
    refusal : callable
        Returns why this instance does not know the record in force, or
        ``None``. Before it has heard its peers it could contradict a change
        that another process holds after a restore.
    """

    key_value: KeyValueService
    head_in_force: Callable[[], HeadRecord]
    refusal: Callable[[], Failure | None]

    async def preview(self, change: Change) -> ChangeResult | None:
        """Return why the change would not be accepted now, else ``None``."""
        refused = self._refused(change)
        if refused is not None:
            return refused
        decision = ChangeDecision(change)
        action = None
        while action is None:
            reply = await self.key_value.read(DOCUMENT_KEY)
            action = decision.on_read(reply, self.head_in_force(), wall_time())
        return action if isinstance(action, ChangeResult) else None

    async def run(self, change: Change) -> ChangeResult:
        """Accept the change or state why not.

        The caller puts the head of an accepted change in force before it
        reports the result, so that this instance restores the head if the
        key-value service loses it.
        """
        refused = self._refused(change)
        if refused is not None:
            return refused
        decision = ChangeDecision(change)
        limit = now() + ACCEPT_LIMIT_S
        while now() < limit:
            reply = await self.key_value.read(DOCUMENT_KEY)
            action = decision.on_read(reply, self.head_in_force(), wall_time())
            if isinstance(action, ChangeResult):
                return action
            if action is None:
                await curio.sleep(RETRY_DELAY_S)
                continue
            swapped = await self.key_value.swap(
                DOCUMENT_KEY, action.head.encode(), action.version
            )
            settled = decision.on_swap(action, swapped)
            if settled is not None:
                return settled
        return decision.on_time_limit()

    def _refused(self, change: Change) -> ChangeResult | None:
        failure = self.refusal()
        if failure is None:
            return None
        return ChangeResult(Outcome.REFUSED, change.change_id, failure=failure)
