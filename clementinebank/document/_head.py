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
        Names of the sections whose text it changed or deleted.
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
    """

    revision: int = 0
    sections_by_name: dict[str, Section] = attrs.Factory(dict)
    changes: tuple[AcceptedChange, ...] = ()

    @property
    def texts_by_section(self) -> dict[str, str]:
        """Return the YAML text of every section."""
        return {
            name: section.text
            for name, section in self.sections_by_name.items()
        }

    @property
    def history_start(self) -> int:
        """Return the revision after which the history is complete."""
        if not self.changes:
            return self.revision
        oldest = self.changes[0].revision
        return 0 if oldest == 1 else oldest

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

    def extends(self, earlier: 'HeadRecord') -> bool:
        """Return whether this record contains every change of an earlier one.

        A record that the key-value service lost by a restore to an older
        state is not extended by the records written after the restore, even
        once they reach a higher revision.
        """
        if earlier.revision > self.revision:
            return False
        if not earlier.changes or earlier.revision <= self.history_start:
            return True
        return self.find_change(earlier.changes[-1].change_id) is not None

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
    return attrs.evolve(head, changes=changes[len(changes) - kept :])


def _encode(head: HeadRecord, encoded_changes: Iterable[bytes]) -> bytes:
    sections = {
        name: attrs.asdict(section)
        for name, section in sorted(head.sections_by_name.items())
    }
    return b'{"revision":%d,"sections":%b,"changes":[%b]}' % (
        head.revision,
        _json_bytes(sections),
        b','.join(encoded_changes),
    )


def _encoded_changes(changes: Iterable[AcceptedChange]) -> list[bytes]:
    return [_json_bytes(attrs.asdict(entry)) for entry in changes]


def _json_bytes(value: Any) -> bytes:
    # Non-ASCII text is kept as it is, since escapes double its size.
    return json.dumps(
        value, ensure_ascii=False, separators=(',', ':'), allow_nan=False
    ).encode()
