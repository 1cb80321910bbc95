"""Sections of a document file that its editor changed."""

from collections.abc import Iterable
from typing import Any

import attrs
from result import Err

from clementinebank.document import (
    DocumentFile,
    parse_file,
    render_file,
    text_digest,
)

DOCUMENT_REPLY_FIELDS = ('revision', 'sections', 'origins')


@attrs.frozen
class SectionEdits:
    """Edited sections of a file and the texts in effect to compare with.

    Parameters
    ----------
    base_revision : int
        Revision of the document that the editor started from.
    texts_by_section : dict of str to str or None
        New text of each edited section, ``None`` for a deleted one.
    texts_in_effect : dict of str to str
        Texts in effect by section, laid out as ``document show`` writes them.
    stale_sections : frozenset of str
        Sections that changed since the base revision.
    """

    base_revision: int
    texts_by_section: dict[str, str | None]
    texts_in_effect: dict[str, str]
    stale_sections: frozenset[str]


def find_edits(
    file: DocumentFile,
    base_override: int | None,
    body: dict[str, Any],
    deleted: Iterable[str] = (),
) -> SectionEdits:
    """Find the sections of a file that were edited since its base revision.

    The digests that ``document show --output`` recorded in the file tell
    which sections were edited in it or removed from it. Without them, each
    section of the file counts as edited, unless its text equals the text in
    effect and that has not changed since the base revision; a section that
    the file lacks is not deleted.

    Parameters
    ----------
    file : DocumentFile
        Edited file.
    base_override : int or None
        Base revision of the command line; it replaces that of the file.
    body : dict
        Body of the reply with the document in effect.
    deleted : iterable of str
        Names of sections that the command line deletes.
    """
    recorded_base = file.base
    if (
        recorded_base
        and base_override is not None
        and base_override != recorded_base.revision
    ):
        recorded_base = None
    base_revision = base_override or 0
    if recorded_base:
        base_revision = recorded_base.revision
    texts_in_effect = _texts_in_effect(body)
    origins = body['origins']
    stale = frozenset(
        name for name in origins if origins[name]['revision'] > base_revision
    )
    if recorded_base:
        edited = _edited_since_shown(file, recorded_base.digests_by_section)
    else:
        edited = {
            name: text
            for name, text in file.texts_by_section.items()
            if name in stale or texts_in_effect.get(name) != text
        }
    edited.update(dict.fromkeys(deleted))
    return SectionEdits(base_revision, edited, texts_in_effect, stale)


def _edited_since_shown(
    file: DocumentFile, digests: dict[str, str]
) -> dict[str, str | None]:
    texts = file.texts_by_section
    edited: dict[str, str | None] = {
        name: text
        for name, text in texts.items()
        if digests.get(name) != text_digest(text)
    }
    edited.update(dict.fromkeys(digests.keys() - texts.keys()))
    return edited


def _texts_in_effect(body: dict[str, Any]) -> dict[str, str]:
    """Return the texts in effect as they are written to a file.

    Only then do they compare equal to the texts of an unedited file, where
    sections may be indented.
    """
    parsed = parse_file(render_file(body['sections'], body['revision']))
    if isinstance(parsed, Err):
        return dict(body['sections'])
    return parsed.ok_value.texts_by_section
