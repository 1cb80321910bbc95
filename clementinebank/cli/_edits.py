"""Sections of a file that its editor changed."""

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

DOCUMENT_FIELDS = ('revision', 'sections', 'origins')


@attrs.frozen
class Edits:
    """What an apply of a file sends.

    Parameters
    ----------
    base_revision : int
        Revision that the editor started from.
    texts_by_section : dict of str to str or None
        New text of each edited section, ``None`` for a deleted one.
    shown_texts : dict of str to str
        Texts in effect, as they would stand in a file.
    stale_sections : frozenset of str
        Sections that changed since the base revision.
    """

    base_revision: int
    texts_by_section: dict[str, str | None]
    shown_texts: dict[str, str]
    stale_sections: frozenset[str]


def find_edits(
    file: DocumentFile,
    base: int | None,
    body: dict[str, Any],
    deleted: Iterable[str] = (),
) -> Edits:
    """Compare a file with its base.

    The digests that ``document show --output`` recorded tell which sections
    were edited, and which were removed from the file. Without them, a section
    is left out if its text in effect is of the base revision and equal; a
    section that the file lacks is not deleted.

    Parameters
    ----------
    file : DocumentFile
        Edited file.
    base : int or None
        Base revision of the command line; it overrides that of the file.
    body : dict
        Reply with the document in effect.
    deleted : iterable of str
        Sections that the command line deletes.
    """
    recorded = file.base
    if recorded and base is not None and base != recorded.revision:
        recorded = None
    revision = base or 0
    if recorded:
        revision = recorded.revision
    shown = _shown_texts(body)
    origins = body['origins']
    stale = frozenset(
        name for name in origins if origins[name]['revision'] > revision
    )
    if recorded:
        edited = _edited_since_shown(file, recorded.digests_by_section)
    else:
        edited = {
            name: text
            for name, text in file.texts_by_section.items()
            if name in stale or shown.get(name) != text
        }
    edited.update(dict.fromkeys(deleted))
    return Edits(revision, edited, shown, stale)


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


def _shown_texts(body: dict[str, Any]) -> dict[str, str]:
    parsed = parse_file(render_file(body['sections'], body['revision']))
    if isinstance(parsed, Err):
        return dict(body['sections'])
    return parsed.ok_value.texts_by_section
