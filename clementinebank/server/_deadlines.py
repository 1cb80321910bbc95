"""Time limits that callers set for their answers (``Deadline-Ms``)."""

import re

# Longer deadlines of callers are shortened to this.
MAX_DEADLINE_MS = 60_000
# A positive decimal integer of at most 10 digits after leading zeros.
DEADLINE_PATTERN = re.compile(r'0*[1-9][0-9]{0,9}')


def time_to_answer_ms(deadline_ms: float, caller_delay_ms: float) -> float:
    """Return how long after its arrival a request must be answered.

    The deadline counts from the moment at which the caller sent the request.
    The network delay is therefore subtracted twice: for the request, which
    has already arrived, and for the answer on its way back.

    Parameters
    ----------
    deadline_ms : float
        Time within which the caller wants the answer, in milliseconds.
    caller_delay_ms : float
        One-way delay to the caller in milliseconds.

    Returns
    -------
    float
        Time from arrival to answer in milliseconds; negative if the delays
        alone exceed the deadline.
    """
    return min(deadline_ms, MAX_DEADLINE_MS) - 2 * caller_delay_ms
