"""Run-time check that an attempt dispatches once, with a confirmed claim."""

import attrs

from clementinebank.invariants import check, invariant

SINGLE_DISPATCH = 'booking_single_dispatch'
CONFIRMED_CLAIM = 'booking_confirmed_claim'


@invariant(SINGLE_DISPATCH, 'R5')
def has_no_open_dispatch(open_dispatches: int) -> bool:
    """Return whether every request dispatched earlier is known as not run."""
    return open_dispatches == 0


@invariant(CONFIRMED_CLAIM, 'R5')
def has_confirmed_claim(is_confirmed: bool) -> bool:  # noqa: FBT001
    """Return whether the claim of the attempt is confirmed."""
    return is_confirmed


@attrs.define
class MonitoredAttempt:
    """Claim and dispatches of one attempt.

    Parameters
    ----------
    is_confirmed : bool
        Whether the stored claim is known to belong to the attempt.
    open_dispatches : int
        Number of dispatches whose request may have run at the leaf.
    """

    is_confirmed: bool = False
    open_dispatches: int = 0


@attrs.define
class DispatchMonitor:
    """Checks the dispatches of the attempts that this instance runs.

    The steps of an attempt report its claim and dispatches. The monitor checks
    the decisions of ``Booking``, so it does not read the state of ``Booking``.

    Parameters
    ----------
    entries : dict of (str, str) to MonitoredAttempt
        Entries of running attempts by idempotency key and attempt id.
    """

    entries: dict[tuple[str, str], MonitoredAttempt] = attrs.Factory(dict)

    def open(self, key: str, attempt_id: str) -> None:
        """Add an entry for an attempt that starts."""
        self.entries[key, attempt_id] = MonitoredAttempt()

    def close(self, key: str, attempt_id: str) -> None:
        """Remove the entry of an attempt that has ended."""
        self.entries.pop((key, attempt_id), None)

    def record_claim_confirmed(self, key: str, attempt_id: str) -> None:
        """Record that the stored claim belongs to the attempt."""
        self.entries[key, attempt_id].is_confirmed = True

    def check_dispatch(self, key: str, attempt_id: str) -> bool:
        """Return whether the attempt is allowed to dispatch its request now.

        A dispatch that is allowed is counted as open. A violated invariant is
        counted and logged.
        """
        entry = self.entries.get((key, attempt_id)) or MonitoredAttempt()
        is_permitted = check(
            CONFIRMED_CLAIM, attempt_id, is_confirmed=entry.is_confirmed
        ) and check(
            SINGLE_DISPATCH, attempt_id, open_dispatches=entry.open_dispatches
        )
        if is_permitted:
            entry.open_dispatches += 1
        return is_permitted

    def record_dispatch_not_run(self, key: str, attempt_id: str) -> None:
        """Record that the request of the last dispatch was not run."""
        self.entries[key, attempt_id].open_dispatches -= 1
