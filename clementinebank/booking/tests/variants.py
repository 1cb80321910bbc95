"""Broken variants that the checks must catch: negative controls."""

import attrs
from result import Err

from clementinebank.booking import (
    Booking,
    BookingLedger,
    ClaimState,
    decode_record,
)
from clementinebank.clock import wall_time
from clementinebank.coordination import Entry
from clementinebank.errors import Execution, Step

TAKEOVER_S = 30


@attrs.define
class PermissiveLedger(BookingLedger):
    """Permits every dispatch, so that only the outer checks can object."""

    def permit_dispatch(self, key, attempt_id):
        return True

    def refute_dispatch(self, key, attempt_id):
        return None


@attrs.define
class UnclaimedBooking(Booking):
    """Dispatches without a claim."""

    def on_read(self, stored):
        self.is_confirmed = True
        return Step.DISPATCH


@attrs.define
class TakeoverBooking(Booking):
    """Takes an unresolved claim over after a timeout."""

    def _next_step_for_entry(self, entry, step_if_claimable):
        if entry.version:
            record = decode_record(entry.value).unwrap()
            age_s = wall_time() - record.claimed_at
            if record.is_unresolved and age_s > TAKEOVER_S:
                released = attrs.evolve(record, state=ClaimState.RELEASED)
                entry = Entry(released.encode(), entry.version)
        return super()._next_step_for_entry(entry, step_if_claimable)


@attrs.define
class HastyBooking(Booking):
    """Treats a lost answer to the claim as a refusal."""

    def on_claim_written(self, written):
        next_step = super().on_claim_written(written)
        self.is_confirmed = True
        return next_step


@attrs.define
class RetryingBooking(Booking):
    """Tries another leaf although the first one may have run."""

    def on_reply(self, reply):
        if isinstance(reply, Err):
            reply.err_value.execution = Execution.NOT_RUN
        return super().on_reply(reply)


VARIANTS = {
    'unclaimed': {
        'create_booking': UnclaimedBooking,
        'create_ledger': PermissiveLedger,
    },
    'takeover': {'create_booking': TakeoverBooking},
    'unconfirmed': {'create_booking': HastyBooking},
    'retrying': {
        'create_booking': RetryingBooking,
        'create_ledger': PermissiveLedger,
    },
}
