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

# Number of changes kept in memory. The stored history is trimmed by its size
# when it is written.
MAX_HISTORY_CHANGES = 1000
# Name of the invariant that is checked at each activation.
REVISION_INCREASES = 'document_revision_increases'


@invariant(REVISION_INCREASES, 'R8')
def revision_increases(before: int, after: int) -> bool:
    """Return whether an activation raises the revision."""
    return after > before


@attrs.define
class DocumentState:
    """The document in force; performs no I/O.

    Parameters
    ----------
    head : HeadRecord
        Head record in force; its revision is 0 if there is none.
    document : Document or None
        Parsed content of the head record; ``None`` if there is none.
    digests : dict of str to bytes
        Digests of the sections by name.
    digest : bytes
        Digest of the whole document.
    alarm : str or None
        Why the last invalid head was refused; ``None`` after the next valid
        one.
    is_diverged : bool
        Whether a record with a higher revision was refused because it lacks
        changes of the record in force.
    """

    head: HeadRecord = HeadRecord()
    document: Document | None = None
    digests: dict[str, bytes] = attrs.Factory(dict)
    digest: bytes = b''
    alarm: str | None = None
    is_diverged: bool = False

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 if there is no document."""
        return self.head.revision

    def apply(self, head: HeadRecord, source: str) -> Result[bool, Failure]:
        """Put a head record in force if its revision is higher.

        Parameters
        ----------
        head : HeadRecord
            Record to apply as a whole.
        source : str
            Key-value service or id of the peer that it came from.

        Returns
        -------
        Result
            Whether it was applied, or why it was refused. A refused record
            leaves the last valid one in force; an invalid one also raises
            the alarm.
        """
        if head.revision <= self.revision:
            return Ok(False)
        if not head.extends(self.head):
            return Err(self._refuse_diverged(head, source))
        parsed = parse_document(head.texts_by_section, head.revision)
        if isinstance(parsed, Err):
            listed = '; '.join(str(each) for each in parsed.err_value)
            return Err(
                self.raise_alarm(f'revision {head.revision}: {listed}', source)
            )
        if not check(
            REVISION_INCREASES,
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

    def raise_alarm(self, reason: str, source: str) -> Failure:
        """Set the alarm for an invalid head and return the failure.

        A repeated reason is not logged again.
        """
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
        """Return the failure for a record that lacks changes in force.

        Such a record was written after the key-value service was restored to
        an older state. Setting ``is_diverged`` makes this instance watch the
        key, so that it writes the merge of both records if no other instance
        does.
        """
        self.is_diverged = True
        return Failure(
            'head_diverged',
            f'revision {head.revision} lacks changes of revision '
            f'{self.revision} in force',
            Step.ACTIVATE,
            peer=source,
        )

    def delta_since(self, base_revision: int) -> DocumentDelta | None:
        """Return the delta from an earlier revision to the one in force.

        Parameters
        ----------
        base_revision : int
            Revision of the receiver; 0 yields the whole document.

        Returns
        -------
        DocumentDelta or None
            ``None`` if the revision in force is not higher than the base.
        """
        if base_revision >= self.revision:
            return None
        return self._build_delta(
            base_revision,
            [
                name
                for name, section in self.head.sections_by_name.items()
                if section.revision > base_revision
            ],
        )

    def delta_by_digests(
        self, base_revision: int, digests: dict[str, bytes]
    ) -> DocumentDelta | None:
        """Return a delta with the sections whose digests differ.

        Parameters
        ----------
        base_revision : int
            Revision of the receiver.
        digests : dict of str to bytes
            Digests of the receiver's sections.

        Returns
        -------
        DocumentDelta or None
            ``None`` if the revision in force is not higher than the base.
        """
        if base_revision >= self.revision:
            return None
        return self._build_delta(
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
        """Apply a delta if it leads to a higher revision.

        Parameters
        ----------
        delta : DocumentDelta
            Delta to apply.
        source : str
            Id of the peer that sent it.

        Returns
        -------
        Result
            Whether it was applied, or why it was refused. The code
            ``delta_mismatch`` means that the result would not have the digest
            of the delta or would lack changes; this instance must then ask
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
        # If the base is later than the revision in force, the digest may match
        # by chance, but the history would lack the changes in between.
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
        head = HeadRecord(delta.revision, result, self._history_after(delta))
        return self.apply(head, source)

    def _history_after(
        self, delta: DocumentDelta
    ) -> tuple[AcceptedChange, ...]:
        # A merge after a restore gives changes a higher revision, so the delta
        # can contain changes that the own history also has.
        new_ids = {entry.change_id for entry in delta.changes}
        kept = (
            entry
            for entry in self.head.changes
            if entry.change_id not in new_ids
            and entry.revision <= delta.base_revision
        )
        return (*kept, *delta.changes)[-MAX_HISTORY_CHANGES:]

    def _build_delta(
        self, base_revision: int, names: list[str]
    ) -> DocumentDelta:
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
