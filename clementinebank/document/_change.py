"""Changes to the document and their merge, section by section."""

import hashlib
import json
import uuid
from collections.abc import Iterator, Mapping
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.document._head import (
    AcceptedChange,
    HeadRecord,
    Section,
    trim_history,
)
from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader

# Limit for the name of an editor and of a section.
MAX_NAME_CHARACTERS = 100
# Hexadecimal digits kept of a SHA-256 digest.
DIGEST_CHARACTERS = 16


def text_digest(text: str) -> str:
    """Return a shortened SHA-256 digest of a text, in hexadecimal digits."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


@attrs.frozen
class Change:
    """Change of one or more sections by one editor.

    Parameters
    ----------
    change_id : str
        UUID of the change. A repeated apply of the change uses the same one,
        so that the change is accepted only once.
    base_revision : int
        Revision of the document that the editor started from.
    editor : str
        Name of the person or tool that sends the change.
    texts_by_section : mapping of str to str or None
        New text of each section; ``None`` deletes the section.
    """

    change_id: str
    base_revision: int
    editor: str
    texts_by_section: Mapping[str, str | None]

    @property
    def digest(self) -> str:
        """Return the digest of the section texts."""
        return text_digest(json.dumps(self.texts_by_section, sort_keys=True))


@attrs.frozen
class SectionConflict:
    """Section that another editor changed after the base of the change.

    Parameters
    ----------
    section : str
        Name of the section.
    editor : str
        Editor of the change that is not applied.
    other_editor : str or None
        Editor who changed the section after the base revision; ``None`` if
        the section does not exist and the history does not reach back to the
        base revision, so that it may have been deleted since.
    other_revision : int or None
        Revision that accepted the change of the other editor.
    """

    section: str
    editor: str
    other_editor: str | None
    other_revision: int | None

    def __str__(self) -> str:
        """Return the conflict as one line of text."""
        if self.other_editor is None:
            return (
                f'{self.section}: the section does not exist, and the change '
                'history does not reach back to the base revision; it may '
                f'have been deleted since; not changed by {self.editor}'
            )
        return (
            f'{self.section}: changed by {self.other_editor} in revision '
            f'{self.other_revision}, after the base revision of the change '
            f'by {self.editor}'
        )


MergeResult = Result[HeadRecord, tuple[SectionConflict, ...]]


def read_change(raw: Any) -> Result[Change, list[FieldProblem]]:
    """Validate decoded JSON and return it as a change.

    Parameters
    ----------
    raw : object
        Mapping with ``change_id``, ``base_revision``, ``editor`` and
        ``sections``.

    Returns
    -------
    Result
        The change, or every problem found.
    """
    reader = FieldReader(raw)
    sections = reader.child('sections')
    change = Change(
        _read_change_id(reader),
        reader.integer('base_revision'),
        reader.text('editor'),
        dict(sections.data),
    )
    reader.report_unknown_fields()
    if not _is_printable_name(change.editor):
        reader.report('editor', f'too long or not printable: {change.editor!r}')
    if not change.texts_by_section and not reader.problems:
        sections.report('', 'must name at least one section')
    for name, text in change.texts_by_section.items():
        if not _is_printable_name(name):
            sections.report(
                ascii(name), 'section name is too long or not printable'
            )
        elif text is not None and not _is_encodable_text(text):
            sections.report(name, 'must be a text or null')
    return Err(reader.problems) if reader.problems else Ok(change)


def merge_change(
    head: HeadRecord, change: Change, accepted_at: float
) -> MergeResult:
    """Return the head record that results from applying a change.

    Sections that the change does not name stay as they are. If the history of
    the head record already contains the change id, the record is returned
    unchanged.

    Parameters
    ----------
    head : HeadRecord
        Record read from the key-value service.
    change : Change
        Change to apply.
    accepted_at : float
        Unix time of the acceptance in seconds.

    Returns
    -------
    Result
        The next head record, or every conflict.

    Raises
    ------
    HeadTooLargeError
        If the next head record exceeds the size limit of the key-value
        service.
    """
    if head.find_change(change.change_id) is not None:
        return Ok(head)
    conflicts = tuple(_find_conflicts(head, change))
    if conflicts:
        return Err(conflicts)
    texts = head.texts_by_section
    changed_texts = {
        name: text
        for name, text in change.texts_by_section.items()
        if texts.get(name) != text
    }
    # The clocks of the instances may differ. The accept time is raised to that
    # of the latest change, so that it never decreases within a history.
    entry_time = max(
        [accepted_at, *(entry.accepted_at for entry in head.changes)]
    )
    entry = AcceptedChange(
        change.change_id,
        head.revision + 1,
        change.editor,
        tuple(sorted(change.texts_by_section)),
        entry_time,
        change.digest,
    )
    return Ok(
        trim_history(
            HeadRecord(
                entry.revision,
                _updated_sections(head, changed_texts, entry),
                (*head.changes, entry),
                head.history_start,
            )
        )
    )


def _updated_sections(
    head: HeadRecord,
    changed_texts: dict[str, str | None],
    entry: AcceptedChange,
) -> dict[str, Section]:
    sections = dict(head.sections_by_name)
    for name, text in changed_texts.items():
        if text is None:
            sections.pop(name)
        else:
            sections[name] = Section(
                text,
                entry.revision,
                entry.change_id,
                entry.editor,
                entry.accepted_at,
            )
    return sections


def _find_conflicts(
    head: HeadRecord, change: Change
) -> Iterator[SectionConflict]:
    texts = head.texts_by_section
    for name, text in sorted(change.texts_by_section.items()):
        if texts.get(name) == text:
            continue
        last_change = head.find_last_change(name)
        if last_change is None:
            if change.base_revision < head.history_start:
                yield SectionConflict(name, change.editor, None, None)
        # A base revision above that of the head was counted in another history,
        # which a restore of the key-value service cut off.
        elif not last_change.revision <= change.base_revision <= head.revision:
            yield SectionConflict(
                name, change.editor, last_change.editor, last_change.revision
            )


def _read_change_id(reader: FieldReader) -> str:
    raw_id = reader.text('change_id')
    try:
        return str(uuid.UUID(raw_id))
    except ValueError:
        if raw_id:
            reader.report('change_id', f'must be a UUID, got {raw_id!r}')
        return ''


def _is_printable_name(name: str) -> bool:
    return len(name) <= MAX_NAME_CHARACTERS and name.isprintable()


def _is_encodable_text(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
