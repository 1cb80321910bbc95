"""Run-time check that no attempt dispatches twice or without a claim."""

import attrs

from clementinebank.invariants import check, invariant

SINGLE_DISPATCH = 'booking_single_dispatch'
CONFIRMED_CLAIM = 'booking_confirmed_claim'


@invariant(SINGLE_DISPATCH, 'R5')
def has_no_open_dispatch(open_dispatches: int) -> bool:
    """Hold while every earlier dispatch was stated as not run."""
    return open_dispatches == 0


@invariant(CONFIRMED_CLAIM, 'R5')
def has_confirmed_claim(is_confirmed: bool) -> bool:  # noqa: FBT001
    """Hold while the claim of this attempt is confirmed."""
    return is_confirmed


@attrs.define
class LedgerEntry:
    """What one attempt has done.

    Parameters
    ----------
    is_confirmed : bool
        Whether its claim was seen in the key-value service.
    open_dispatches : int
        Dispatches that no leaf stated as not run.
    """

    is_confirmed: bool = False
    open_dispatches: int = 0


@attrs.define
class BookingLedger:
    """Claims and dispatches of the attempts that this instance runs.

    It is fed by the engine and independent of the decision object, which it
    checks.
    """

    entries: dict[tuple[str, str], LedgerEntry] = attrs.Factory(dict)

    def open(self, key: str, attempt_id: str) -> None:
        """Start the entry of an attempt."""
        self.entries[key, attempt_id] = LedgerEntry()

    def close(self, key: str, attempt_id: str) -> None:
        """Forget an attempt that has ended."""
        self.entries.pop((key, attempt_id), None)

    def confirm(self, key: str, attempt_id: str) -> None:
        """Note that the stored claim names this attempt."""
        self.entries[key, attempt_id].is_confirmed = True

    def permit_dispatch(self, key: str, attempt_id: str) -> bool:
        """Check the invariants and note a dispatch if they hold."""
        entry = self.entries.get((key, attempt_id)) or LedgerEntry()
        is_permitted = check(
            CONFIRMED_CLAIM, attempt_id, is_confirmed=entry.is_confirmed
        ) and check(
            SINGLE_DISPATCH, attempt_id, open_dispatches=entry.open_dispatches
        )
        if is_permitted:
            entry.open_dispatches += 1
        return is_permitted

    def refute_dispatch(self, key: str, attempt_id: str) -> None:
        """Note that the last dispatch did not run."""
        self.entries[key, attempt_id].open_dispatches -= 1
