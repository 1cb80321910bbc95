"""The document in force at one instance."""

import attrs
from eliot import log_message
from result import Err, Ok, Result

from clementinebank.distribution._digest import (
    document_digest,
    section_digest,
    section_digests,
)
from clementinebank.distribution._messages import DocumentDelta
from clementinebank.document import (
    AcceptedChange,
    Document,
    HeadRecord,
    parse_document,
)
from clementinebank.errors import Failure, Step
from clementinebank.invariants import check, invariant

# The history is trimmed by size when it is written; this bounds its memory.
MAX_HISTORY_CHANGES = 1000
NEVER_DECREASES = 'document_revision_increases'


@invariant(NEVER_DECREASES, 'R8')
def revision_increases(before: int, after: int) -> bool:
    """Every activation raises the revision."""
    return after > before


@attrs.define
class DocumentState:
    """The document in force; performs no I/O.

    Parameters
    ----------
    head : HeadRecord
        Head record in force, at revision 0 for none.
    document : Document or None
        Its typed content.
    digests : dict of str to bytes
        Digest of each section.
    digest : bytes
        Digest of the whole document.
    alarm : str or None
        Why the last head offered was invalid.
    is_diverged : bool
        Whether a record was offered that lacks changes of the one in force.
    """

    head: HeadRecord = HeadRecord()
    document: Document | None = None
    digests: dict[str, bytes] = attrs.Factory(dict)
    digest: bytes = b''
    alarm: str | None = None
    is_diverged: bool = False

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 for none."""
        return self.head.revision

    def apply(self, head: HeadRecord, source: str) -> Result[bool, Failure]:
        """Put a head record in force if its revision is higher.

        Parameters
        ----------
        head : HeadRecord
            Record to apply as a whole.
        source : str
            Service or peer that it came from.

        Returns
        -------
        Result
            Whether it was applied, or why it is invalid. An invalid record
            leaves the last valid one in force and raises the alarm.
        """
        if head.revision <= self.revision:
            return Ok(False)
        if not head.extends(self.head):
            return Err(self._refuse_diverged(head, source))
        parsed = parse_document(head.texts_by_section, head.revision)
        if isinstance(parsed, Err):
            listed = '; '.join(str(each) for each in parsed.err_value)
            return Err(
                self.reject(f'revision {head.revision}: {listed}', source)
            )
        if not check(
            NEVER_DECREASES,
            f'revision-{head.revision}',
            before=self.revision,
            after=head.revision,
        ):
            return Ok(False)
        self.document = parsed.ok_value
        self.digests = section_digests(head)
        self.digest = document_digest(head.revision, self.digests)
        self.head = head
        self.alarm = None
        self.is_diverged = False
        return Ok(True)

    def reject(self, reason: str, source: str) -> Failure:
        """Raise the alarm for an invalid head."""
        if self.alarm != reason:
            log_message(
                message_type='document:invalid',
                reason=reason,
                source=source,
                revision_in_force=self.revision,
            )
        self.alarm = reason
        return Failure('invalid_head', reason, Step.ACTIVATE, peer=source)

    def _refuse_diverged(self, head: HeadRecord, source: str) -> Failure:
        """Refuse a record that lacks changes of the one in force.

        It was written after a restore of the service to an older state. It
        is merged with the record in force at the service, by this instance
        if no other one does it, and the merged record extends both.
        """
        self.is_diverged = True
        return Failure(
            'head_diverged',
            f'revision {head.revision} lacks changes of {self.revision}',
            Step.ACTIVATE,
            peer=source,
        )

    def delta_since(self, base_revision: int) -> DocumentDelta | None:
        """Return the sections accepted after a revision.

        Revision 0 yields the whole document, a revision that is not lower
        than the one in force yields ``None``.
        """
        if base_revision >= self.revision:
            return None
        return self._delta(
            base_revision,
            [
                name
                for name, section in self.head.sections_by_name.items()
                if section.revision > base_revision
            ],
        )

    def delta_for(
        self, base_revision: int, digests: dict[str, bytes]
    ) -> DocumentDelta | None:
        """Return the sections whose digests differ."""
        if base_revision >= self.revision:
            return None
        return self._delta(
            base_revision,
            [
                name
                for name, digest in self.digests.items()
                if digests.get(name) != digest
            ],
        )

    def apply_delta(
        self, delta: DocumentDelta, source: str
    ) -> Result[bool, Failure]:
        """Apply a delta if its result is higher and has the digest it names.

        A failure of code ``delta_mismatch`` means that this instance must ask
        for the sections whose digests differ.
        """
        if delta.revision <= self.revision:
            return Ok(False)
        sections = {**self.head.sections_by_name, **delta.sections_by_name}
        result = {
            name: sections[name]
            for name in delta.section_names
            if name in sections
        }
        digests = {
            name: section_digest(section) for name, section in result.items()
        }
        # With a later base the sections may fit by chance, but the history
        # would lack the changes in between.
        is_later = delta.base_revision > self.revision
        if is_later or (
            document_digest(delta.revision, digests) != delta.digest
        ):
            message = (
                f'the delta from revision {delta.base_revision} to '
                f'{delta.revision} does not fit revision {self.revision}'
            )
            return Err(
                Failure('delta_mismatch', message, Step.DISTRIBUTE, peer=source)
            )
        head = HeadRecord(delta.revision, result, self._history(delta))
        return self.apply(head, source)

    def _history(self, delta: DocumentDelta) -> tuple[AcceptedChange, ...]:
        # A merge after a restore raises the revisions of changes, which then
        # occur in the delta and in the own history.
        new_ids = {entry.change_id for entry in delta.changes}
        kept = (
            entry
            for entry in self.head.changes
            if entry.change_id not in new_ids
            and entry.revision <= delta.base_revision
        )
        return (*kept, *delta.changes)[-MAX_HISTORY_CHANGES:]

    def _delta(self, base_revision: int, names: list[str]) -> DocumentDelta:
        sections = self.head.sections_by_name
        return DocumentDelta(
            base_revision,
            self.revision,
            {name: sections[name] for name in names},
            tuple(sections),
            self.digest,
            tuple(
                entry
                for entry in self.head.changes
                if entry.revision > base_revision
            ),
        )
