"""Faulty variants of bookings that the checks must detect.

They are negative controls: a check that passes with a faulty variant does
not detect its fault.
"""

import attrs
from result import Err

from clementinebank.booking import (
    Booking,
    ClaimState,
    DispatchMonitor,
    decode_record,
)
from clementinebank.clock import wall_time
from clementinebank.coordination import Entry
from clementinebank.errors import Execution, Step

# Age in seconds from which ``TakeoverBooking`` takes over a claim.
TAKEOVER_S = 30


@attrs.define
class PermissiveMonitor(DispatchMonitor):
    """Permits every dispatch, so that only the checks of tests can fail."""

    def check_dispatch(self, key, attempt_id):
        return True

    def record_dispatch_not_run(self, key, attempt_id):
        return None


@attrs.define
class UnclaimedBooking(Booking):
    """Dispatches without writing a claim."""

    def on_read(self, stored):
        self.is_confirmed = True
        return Step.DISPATCH


@attrs.define
class TakeoverBooking(Booking):
    """Treats an old unresolved claim of another attempt as released."""

    def _next_step_for_entry(self, entry, step_if_claimable):
        if entry.version:
            record = decode_record(entry.value).unwrap()
            age_s = wall_time() - record.claimed_at
            if record.is_unresolved and age_s > TAKEOVER_S:
                released = attrs.evolve(record, state=ClaimState.RELEASED)
                entry = Entry(released.encode(), entry.version)
        return super()._next_step_for_entry(entry, step_if_claimable)


@attrs.define
class UnconfirmedBooking(Booking):
    """Treats the claim as confirmed even if the answer to it was lost."""

    def on_claim_written(self, written):
        next_step = super().on_claim_written(written)
        self.is_confirmed = True
        return next_step


@attrs.define
class RetryingBooking(Booking):
    """Tries another leaf although the first one may have run the request."""

    def on_reply(self, reply):
        if isinstance(reply, Err):
            reply.err_value.execution = Execution.NOT_RUN
        return super().on_reply(reply)


VARIANTS = {
    'unclaimed': {
        'create_booking': UnclaimedBooking,
        'create_dispatch_monitor': PermissiveMonitor,
    },
    'takeover': {'create_booking': TakeoverBooking},
    'unconfirmed': {'create_booking': UnconfirmedBooking},
    'retrying': {
        'create_booking': RetryingBooking,
        'create_dispatch_monitor': PermissiveMonitor,
    },
}
