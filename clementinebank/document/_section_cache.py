"""Results of reading sections, kept for the next documents."""

from collections.abc import Callable, Hashable
from typing import Any, TypeVar

import attrs

Found = TypeVar('Found')


@attrs.define
class SectionCache:
    """Results by what they were read from.

    It holds the results of the document being read and of the one before: a
    change is checked and then put in force, and both share all sections but
    the changed one. So its memory is bounded by two documents.
    """

    _current: dict[Hashable, Any] = attrs.Factory(dict)
    _previous: dict[Hashable, Any] = attrs.Factory(dict)

    def start_document(self) -> None:
        """Drop the results that only older documents used."""
        self._previous = self._current
        self._current = {}

    def get(self, key: Hashable, read: Callable[[], Found]) -> Found:
        """Return the result of a key; read it if it is not held."""
        if key in self._current:
            found: Found = self._current[key]
        elif key in self._previous:
            found = self._previous[key]
        else:
            found = read()
        self._current[key] = found
        return found
