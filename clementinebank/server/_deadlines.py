"""Deadlines of callers."""

import re

MAX_DEADLINE_MS = 60_000
DEADLINE_PATTERN = re.compile(r'0*[1-9][0-9]{0,9}')


def time_to_answer_ms(deadline_ms: float, caller_delay_ms: float) -> float:
    """Return how long after its arrival a request must be answered.

    The deadline counts from when the caller sent the request, so the delay
    counts for the way here, which is over, and for the way back.

    Parameters
    ----------
    deadline_ms : float
        Time within which the caller wants the answer, in milliseconds.
    caller_delay_ms : float
        One-way delay to the caller in milliseconds.
    """
    return min(deadline_ms, MAX_DEADLINE_MS) - 2 * caller_delay_ms
