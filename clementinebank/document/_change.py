"""Changes of the document and their merge by section."""

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
    fit_head,
)
from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader

MAX_NAME_CHARACTERS = 100
DIGEST_CHARACTERS = 16


def text_digest(text: str) -> str:
    """Return a short digest by which two texts are told apart."""
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]


@attrs.frozen
class Change:
    """A change of some sections by one editor.

    Parameters
    ----------
    change_id : str
        UUID; a repeated apply uses the same one.
    base_revision : int
        Revision of the document that the editor started from.
    editor : str
        Who sends the change.
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
    """A section that was changed by two editors from the same base.

    Parameters
    ----------
    section : str
        Name of the section.
    editor : str
        Who sent the change that is not applied.
    other_editor : str or None
        Who changed the section since the base revision; ``None`` if the
        history does not reach back to the base revision.
    other_revision : int or None
        Revision that accepted the other change.
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


Merged = Result[HeadRecord, tuple[SectionConflict, ...]]


def read_change(raw: Any) -> Result[Change, list[FieldProblem]]:
    """Read a change from decoded JSON.

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
        _canonical_uuid(reader),
        reader.integer('base_revision'),
        reader.text('editor'),
        dict(sections.data),
    )
    reader.finish()
    if not _is_plain_name(change.editor):
        reader.report('editor', f'not a name: {change.editor!r}')
    if not change.texts_by_section and not reader.problems:
        sections.report('', 'must name at least one section')
    for name, text in change.texts_by_section.items():
        if not _is_plain_name(name):
            sections.report(ascii(name), 'not a name of a section')
        elif text is not None and not _is_text(text):
            sections.report(name, 'must be a text or null')
    return Err(reader.problems) if reader.problems else Ok(change)


def merge_change(
    head: HeadRecord, change: Change, accepted_at: float
) -> Merged:
    """Merge a change with a head record, section by section.

    Sections that the change does not name are left untouched. A change that
    the head record already contains is not applied again.

    Parameters
    ----------
    head : HeadRecord
        Record read from the key-value service.
    change : Change
        Change to apply.
    accepted_at : float
        Unix time in seconds.

    Returns
    -------
    Result
        The next head record, or every conflict.

    Raises
    ------
    HeadTooLargeError
        If the result does not fit into the key-value service.
    """
    if head.find_change(change.change_id) is not None:
        return Ok(head)
    conflicts = tuple(_conflicts(head, change))
    if conflicts:
        return Err(conflicts)
    texts = head.texts_by_section
    changed = {
        name: text
        for name, text in change.texts_by_section.items()
        if texts.get(name) != text
    }
    # Accept times never decrease along a line of records, whatever the
    # clocks of the instances say.
    time = max([accepted_at, *(entry.accepted_at for entry in head.changes)])
    entry = AcceptedChange(
        change.change_id,
        head.revision + 1,
        change.editor,
        tuple(sorted(change.texts_by_section)),
        time,
        change.digest,
    )
    return Ok(
        fit_head(
            HeadRecord(
                entry.revision,
                _changed_sections(head, changed, entry),
                (*head.changes, entry),
                head.history_start,
            )
        )
    )


def _changed_sections(
    head: HeadRecord, changed: dict[str, str | None], entry: AcceptedChange
) -> dict[str, Section]:
    sections = dict(head.sections_by_name)
    for name, text in changed.items():
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


def _conflicts(head: HeadRecord, change: Change) -> Iterator[SectionConflict]:
    texts = head.texts_by_section
    for name, text in sorted(change.texts_by_section.items()):
        if texts.get(name) == text:
            continue
        edit = head.last_edit(name)
        if edit is None:
            if change.base_revision < head.history_start:
                yield SectionConflict(name, change.editor, None, None)
        # A base above the head is of another line of records.
        elif not edit.revision <= change.base_revision <= head.revision:
            yield SectionConflict(
                name, change.editor, edit.editor, edit.revision
            )


def _canonical_uuid(reader: FieldReader) -> str:
    found = reader.text('change_id')
    try:
        return str(uuid.UUID(found))
    except ValueError:
        if found:
            reader.report('change_id', f'must be a UUID, got {found!r}')
        return ''


def _is_plain_name(name: str) -> bool:
    return len(name) <= MAX_NAME_CHARACTERS and name.isprintable()


def _is_text(value: Any) -> bool:
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True
