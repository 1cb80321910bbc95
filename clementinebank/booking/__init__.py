"""Bookings: requests that a leaf must run at most once.

An attempt claims the idempotency key of the request in the key-value service,
dispatches the request to a leaf and records the outcome. An operator settles
a claim whose outcome stays unknown.
"""

from clementinebank.booking._booking import Booking
from clementinebank.booking._budget import BookingBudget, TokenBucket
from clementinebank.booking._dispatch_monitor import DispatchMonitor
from clementinebank.booking._engine import BookingEngine
from clementinebank.booking._engines import BookingEngines
from clementinebank.booking._key import (
    KEY_HEADER,
    created_at,
    new_key,
    validate_key,
)
from clementinebank.booking._messages import BookingAnswer, BookingRequest
from clementinebank.booking._operations import (
    ClaimList,
    Settlement,
    find_claim,
    list_claims,
    settle,
)
from clementinebank.booking._record import (
    ClaimRecord,
    ClaimState,
    HistoryEntry,
    Outcome,
    decode_record,
    storage_key,
)
from clementinebank.booking._run import BookingRun
from clementinebank.booking._steps import (
    BOOKING_STEPS,
    STEP_ORDER,
    BookingStep,
    booking_step,
)

__all__ = (
    'BOOKING_STEPS',
    'KEY_HEADER',
    'STEP_ORDER',
    'Booking',
    'BookingAnswer',
    'BookingBudget',
    'BookingEngine',
    'BookingEngines',
    'DispatchMonitor',
    'BookingRequest',
    'BookingRun',
    'BookingStep',
    'ClaimList',
    'ClaimRecord',
    'ClaimState',
    'HistoryEntry',
    'Outcome',
    'Settlement',
    'TokenBucket',
    'booking_step',
    'created_at',
    'decode_record',
    'find_claim',
    'list_claims',
    'new_key',
    'validate_key',
    'settle',
    'storage_key',
)
