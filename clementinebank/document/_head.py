"""The head record, which holds the accepted document."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

DOCUMENT_KEY = 'clementinebank/document'
MAX_HEAD_BYTES = 1_000_000
# Above this size the history is trimmed, so that the next changes fit.
TRIM_ABOVE_BYTES = 900_000
# At the target rate of 0.75 changes a second this is 22 minutes, within
# which a repeated change is recognised by its id.
MAX_HISTORY_CHANGES = 1000


class HeadTooLargeError(ValueError):
    """The document does not fit into the key-value service."""


@attrs.frozen
class Section:
    """One section as it was accepted.

    Parameters
    ----------
    text : str
        YAML text as its owner wrote it.
    revision : int
        Revision of the head record that accepted this text.
    change_id : str
        Change that brought it.
    editor : str
        Who sent the change.
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
    """Entry of the change history.

    Parameters
    ----------
    change_id : str
        Id of the change.
    revision : int
        Revision of the head record that accepted it.
    editor : str
        Who sent the change.
    sections : tuple of str
        Names of the sections that it set or deleted, also of those that
        had the same text before.
    accepted_at : float
        Unix time of the acceptance in seconds.
    digest : str
        Digest of the section texts of the change, so that another change
        under the same id is not taken for a repetition.
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
        Grows by at least one with every accepted change.
    sections_by_name : dict of str to Section
        All sections.
    changes : tuple of AcceptedChange
        Most recent changes, oldest first.
    history_start : int
        Highest revision whose changes were trimmed; all later changes are in
        ``changes``.
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

    def last_edit(self, name: str) -> Section | AcceptedChange | None:
        """Return what last changed a section, or deleted it.

        ``None`` means that the section does not exist and that the history
        names no deletion.
        """
        if name in self.sections_by_name:
            return self.sections_by_name[name]
        for entry in reversed(self.changes):
            if name in entry.sections:
                return entry
        return None

    def named_at(self, name: str) -> float:
        """Return the Unix time at which a change last named a section."""
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

        A record that the key-value service lost by a restore to an older
        state is not extended by the records written after the restore, even
        once they reach a higher revision.
        """
        if earlier.revision > self.revision:
            return False
        # The newest change alone does not decide: a merge of two lines ends
        # with a change that one of them also has.
        known = {entry.change_id for entry in self.changes}
        return all(
            entry.change_id in known or entry.revision <= self.history_start
            for entry in earlier.changes
        )

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return _encode(self, _encoded_changes(self.changes))


def fit_head(head: HeadRecord) -> HeadRecord:
    """Return the record with its history trimmed to the size limits.

    Raises
    ------
    HeadTooLargeError
        If the sections alone exceed the size of a value.
    """
    changes = head.changes[-MAX_HISTORY_CHANGES:]
    encoded = _encoded_changes(changes)
    size = len(_encode(head, ()))
    if size + sum(len(entry) + 1 for entry in encoded[-1:]) > MAX_HEAD_BYTES:
        raise HeadTooLargeError(
            f'the document needs {size} bytes, the limit is {MAX_HEAD_BYTES}'
        )
    kept = 0
    for entry in reversed(encoded):
        size += len(entry) + 1
        # The last change is kept in any case: without it a repeated apply
        # would not be recognised.
        if kept and size > TRIM_ABOVE_BYTES:
            break
        kept += 1
    trimmed = head.changes[: len(head.changes) - kept]
    return attrs.evolve(
        head,
        changes=head.changes[len(trimmed) :],
        history_start=max(
            [head.history_start, *(each.revision for each in trimmed)]
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


def _encoded_changes(changes: Iterable[AcceptedChange]) -> list[bytes]:
    return [_json_bytes(attrs.asdict(entry)) for entry in changes]


def _json_bytes(value: Any) -> bytes:
    # Non-ASCII text is kept as it is, since escapes double its size.
    return json.dumps(
        value, ensure_ascii=False, separators=(',', ':'), allow_nan=False
    ).encode()
