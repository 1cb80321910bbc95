"""Bounded log lines of requests that are not admitted."""

from typing import Any

import attrs
from eliot import log_message

from clementinebank.clock import now
from clementinebank.errors import Failure

# Lines of refusals with the same code in any second.
MAX_LINES_PER_SECOND = 5


@attrs.define
class _CodeLines:
    """Log lines of one code in the current second."""

    second: int = -1
    count: int = 0
    suppressed: int = 0


@attrs.define(eq=False)
class RefusalLog:
    """Log of refusals with a bound for each code.

    An account far beyond its quota is refused hundreds of times a second; the
    first few lines tell as much.
    """

    _lines_by_code: dict[str, _CodeLines] = attrs.Factory(dict)

    def record(self, failure: Failure, **facts: Any) -> None:
        """Log a refusal, unless this second has lines of its code enough."""
        lines = self._lines_by_code.setdefault(failure.code, _CodeLines())
        second = int(now())
        if second != lines.second:
            lines.second = second
            lines.count = 0
        lines.count += 1
        if lines.count > MAX_LINES_PER_SECOND:
            lines.suppressed += 1
            return
        log_message(
            message_type='request:refused',
            code=failure.code,
            reason=failure.message,
            suppressed_lines=lines.suppressed,
            **facts,
        )
        lines.suppressed = 0
