"""The head record: the accepted document as stored in the key-value service."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

# Key of the head record in the key-value service.
DOCUMENT_KEY = 'clementinebank/document'
# Size limit of an encoded head record.
MAX_HEAD_BYTES = 1_000_000
# Above this size of the encoded record the history is trimmed, which leaves
# room for the next changes.
HISTORY_TRIM_THRESHOLD_BYTES = 900_000
# Entries kept in the history, in which a repeated change is recognised by its
# id. At the target rate of 0.75 changes a second they span 22 minutes.
MAX_HISTORY_CHANGES = 1000


class HeadTooLargeError(ValueError):
    """Raised if the document exceeds the size limit of a head record."""


@attrs.frozen
class Section:
    """One section of the accepted document.

    Parameters
    ----------
    text : str
        YAML text as its owner wrote it.
    revision : int
        Revision of the head record that accepted this text.
    change_id : str
        Id of the change that set this text.
    editor : str
        Name of the person or tool that sent the change.
    accepted_at : float
        Unix time of the acceptance in seconds.
    """

    text: str
    revision: int
    change_id: str
    editor: str
    accepted_at: float = 0


@attrs.frozen
class AcceptedChange:
    """Entry of the change history of a head record.

    Parameters
    ----------
    change_id : str
        Id of the change.
    revision : int
        Revision of the head record that accepted it.
    editor : str
        Name of the person or tool that sent the change.
    sections : tuple of str
        Names of all sections that it set or deleted, including those whose
        text was the same before.
    accepted_at : float
        Unix time of the acceptance in seconds.
    digest : str
        Digest of the section texts of the change. It tells a repeated change
        from a different one that reuses the id; empty if not recorded.
    """

    change_id: str
    revision: int
    editor: str
    sections: tuple[str, ...]
    accepted_at: float = 0
    digest: str = ''


@attrs.frozen
class HeadRecord:
    """The accepted document as it is kept in the key-value service.

    Parameters
    ----------
    revision : int
        Number that grows by at least one with every accepted change.
    sections_by_name : dict of str to Section
        All sections.
    changes : tuple of AcceptedChange
        Most recent changes, oldest first.
    history_start : int
        Highest revision whose change was trimmed from the history; all later
        changes are in ``changes``.
    """

    revision: int = 0
    sections_by_name: dict[str, Section] = attrs.Factory(dict)
    changes: tuple[AcceptedChange, ...] = ()
    history_start: int = 0

    @property
    def texts_by_section(self) -> dict[str, str]:
        """Return the YAML text of every section."""
        return {
            name: section.text
            for name, section in self.sections_by_name.items()
        }

    def find_change(self, change_id: str) -> AcceptedChange | None:
        """Return the history entry of a change, or ``None``."""
        for entry in reversed(self.changes):
            if entry.change_id == change_id:
                return entry
        return None

    def find_last_change(self, name: str) -> Section | AcceptedChange | None:
        """Return the section, or the history entry that deleted it.

        Either tells the revision and the editor of the last change. ``None``
        means that the section does not exist and that no change in the
        history named it.
        """
        if name in self.sections_by_name:
            return self.sections_by_name[name]
        for entry in reversed(self.changes):
            if name in entry.sections:
                return entry
        return None

    def last_named_at(self, name: str) -> float:
        """Return the Unix time, in seconds, of the last change of a section.

        A change counts even if it set the text that the section already had.
        The result is 0 if no change of the section is known.
        """
        times = [
            entry.accepted_at
            for entry in self.changes
            if name in entry.sections
        ]
        if name in self.sections_by_name:
            times.append(self.sections_by_name[name].accepted_at)
        return max(times, default=0)

    def extends(self, earlier: 'HeadRecord') -> bool:
        """Return whether this record contains every change of an earlier one.

        If the key-value service is restored to an older state, it loses the
        records written since. Records that are written after the restore do
        not extend the lost ones, even once their revision is higher.
        """
        if earlier.revision > self.revision:
            return False
        # Comparing only the newest changes is not enough: the newest change of
        # a merged record also occurs in one of the records that were merged.
        change_ids = {entry.change_id for entry in self.changes}
        return all(
            entry.change_id in change_ids
            or entry.revision <= self.history_start
            for entry in earlier.changes
        )

    def encode(self) -> bytes:
        """Return the record encoded as JSON in UTF-8."""
        return _encode(self, _encode_changes(self.changes))


def trim_history(head: HeadRecord) -> HeadRecord:
    """Return the record with its history trimmed to the size limits.

    Raises
    ------
    HeadTooLargeError
        If the sections and the latest change alone exceed the size limit.
    """
    changes = head.changes[-MAX_HISTORY_CHANGES:]
    encoded = _encode_changes(changes)
    size = len(_encode(head, ()))
    if size + sum(len(entry) + 1 for entry in encoded[-1:]) > MAX_HEAD_BYTES:
        raise HeadTooLargeError(
            f'the document needs {size} bytes, the limit is {MAX_HEAD_BYTES}'
        )
    kept_count = 0
    for entry in reversed(encoded):
        size += len(entry) + 1
        # The latest change is always kept: without its entry, a repeated apply
        # of it would not be recognised.
        if kept_count and size > HISTORY_TRIM_THRESHOLD_BYTES:
            break
        kept_count += 1
    trimmed = head.changes[: len(head.changes) - kept_count]
    return attrs.evolve(
        head,
        changes=head.changes[len(trimmed) :],
        history_start=max(
            [head.history_start, *(change.revision for change in trimmed)]
        ),
    )


def _encode(head: HeadRecord, encoded_changes: Iterable[bytes]) -> bytes:
    sections = {
        name: attrs.asdict(section)
        for name, section in sorted(head.sections_by_name.items())
    }
    return (
        b'{"revision":%d,"history_start":%d,"sections":%b,"changes":[%b]}'
        % (
            head.revision,
            head.history_start,
            _json_bytes(sections),
            b','.join(encoded_changes),
        )
    )


def _encode_changes(changes: Iterable[AcceptedChange]) -> list[bytes]:
    return [_json_bytes(attrs.asdict(entry)) for entry in changes]


def _json_bytes(value: Any) -> bytes:
    # Non-ASCII text is not escaped, as escapes would double its size.
    return json.dumps(
        value, ensure_ascii=False, separators=(',', ':'), allow_nan=False
    ).encode()
