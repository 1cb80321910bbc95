"""End of a call to a leaf, as it affects the state of the leaf."""

import enum


class CallOutcome(enum.Enum):
    """End of a call to a leaf, as it affects the state of the leaf."""

    GOOD = 'good'
    REFUSED = 'refused'
    DRAINING = 'draining'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNSENT = 'unsent'


# Outcome of a failed call by its error code; other codes mean a failure.
OUTCOMES_BY_CODE = {
    'shed': CallOutcome.REFUSED,
    'draining': CallOutcome.DRAINING,
    'snapshot_unavailable': CallOutcome.UNSENT,
    'expired': CallOutcome.UNSENT,
    'pool_retired': CallOutcome.UNSENT,
    'unsendable': CallOutcome.UNSENT,
    # The leaf has no part in these.
    'task_cancelled': CallOutcome.CANCELLED,
    'internal_error': CallOutcome.CANCELLED,
}
