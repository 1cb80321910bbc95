"""The head record, which holds the accepted document."""

import json
from typing import Any

import attrs

DOCUMENT_KEY = 'clementinebank/document'
_DECODE_ERRORS = (KeyError, TypeError, AttributeError, ValueError)


@attrs.frozen
class Section:
    """One section as it was accepted.

    Parameters
    ----------
    text : str
        YAML text.
    revision : int
        Revision of the head record that accepted this text.
    change_id : str
        Change that brought it.
    editor : str
        Who sent the change.
    """

    text: str
    revision: int
    change_id: str
    editor: str


@attrs.frozen
class HeadRecord:
    """The accepted document as it is kept in the key-value service.

    Parameters
    ----------
    revision : int
        Grows by at least one with every accepted change.
    sections_by_name : dict of str to Section
        All sections.
    """

    revision: int = 0
    sections_by_name: dict[str, Section] = attrs.Factory(dict)

    @property
    def texts_by_section(self) -> dict[str, str]:
        """Return the YAML text of every section."""
        return {
            name: section.text
            for name, section in self.sections_by_name.items()
        }

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return json.dumps(attrs.asdict(self), sort_keys=True).encode()


def decode_head(payload: bytes) -> HeadRecord:
    """Decode a head record.

    Raises
    ------
    ValueError
        If the value was not written by this program.
    """
    try:
        raw: dict[str, Any] = json.loads(payload)
        sections = {
            name: Section(**fields)
            for name, fields in raw['sections_by_name'].items()
        }
        return HeadRecord(int(raw['revision']), sections)
    except _DECODE_ERRORS as error:
        raise ValueError(f'not a head record: {error!r}') from error
