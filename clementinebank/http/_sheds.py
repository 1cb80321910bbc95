"""Counts and logs connections that are closed to make room for others."""

from collections import Counter

import attrs
from eliot import log_message

from clementinebank.clock import now

# Lines of the log in one second; the number of the others is in the next line.
MAX_LINES_PER_S = 100


@attrs.define(eq=False)
class ShedLog:
    """Counts the shed connections of a process, and logs each within a bound.

    Parameters
    ----------
    count_by_reason : Counter
        Connections closed so far, by what there was no room for.
    """

    count_by_reason: Counter[str] = attrs.Factory(Counter)
    _window_start: float = float('-inf')
    _lines_in_window: int = 0
    _suppressed_lines: int = 0

    def record(self, reason: str, **facts: object) -> None:
        """Count one connection and log it with facts about it."""
        self.count_by_reason[reason] += 1
        at = now()
        if at - self._window_start >= 1:
            self._window_start = at
            self._lines_in_window = 0
        if self._lines_in_window >= MAX_LINES_PER_S:
            self._suppressed_lines += 1
            return
        self._lines_in_window += 1
        log_message(
            message_type='connection:shed',
            reason=reason,
            suppressed_lines=self._suppressed_lines,
            **facts,
        )
        self._suppressed_lines = 0
