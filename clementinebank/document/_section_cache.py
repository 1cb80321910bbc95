"""Cache of parsed sections, shared by successive documents."""

from collections.abc import Callable, Hashable
from typing import Any, TypeVar

import attrs

Found = TypeVar('Found')


@attrs.define
class SectionCache:
    """Cache of the results of parsing sections.

    The key of a result must contain everything on which the result depends.
    The cache holds the results of the document being parsed and of the one
    before, which bounds its memory. That is enough: a changed document is
    parsed for validation and again when it is put in force, and it shares all
    sections but the changed ones with the document before.
    """

    _current: dict[Hashable, Any] = attrs.Factory(dict)
    _previous: dict[Hashable, Any] = attrs.Factory(dict)

    def start_document(self) -> None:
        """Start a document; keep only the results that the last one used."""
        self._previous = self._current
        self._current = {}

    def get(self, key: Hashable, read: Callable[[], Found]) -> Found:
        """Return the cached result of a key, or call ``read`` for it."""
        if key in self._current:
            result: Found = self._current[key]
        elif key in self._previous:
            result = self._previous[key]
        else:
            result = read()
        self._current[key] = result
        return result
