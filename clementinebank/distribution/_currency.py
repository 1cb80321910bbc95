"""How current the document in force is known to be."""

import enum
import math

import attrs

CONFIRMED_LIMIT_S = 5.0
PAUSE_LIMIT_S = 2.0


class CurrencyState(enum.Enum):
    """Currency of the document of one instance."""

    CONFIRMED = 'confirmed'
    PRESUMED = 'presumed'
    ISOLATED = 'isolated'


@attrs.define
class Currency:
    """When the head was last read, directly or through peers.

    Parameters
    ----------
    confirmed_at : float
        Runtime time in seconds at which the head was read that the document
        in force equals or exceeds.
    trusted_at : float
        Start of the trusted time; readings before it do not count.
    last_tick : float or None
        Last time at which the loop was seen running.
    """

    confirmed_at: float = -math.inf
    trusted_at: float = -math.inf
    last_tick: float | None = None

    def confirm(self, read_at: float) -> None:
        """Count a reading of the head made at a time."""
        if read_at >= self.trusted_at:
            self.confirmed_at = max(self.confirmed_at, read_at)

    def tick(self, now: float) -> bool:
        """Note that the loop runs; return whether it had been paused."""
        paused = self.is_paused(now)
        self.last_tick = now
        if paused:
            self.trusted_at = now
            self.confirmed_at = -math.inf
        return paused

    def is_paused(self, now: float) -> bool:
        """Return whether the loop did not run for too long."""
        return (
            self.last_tick is not None and now - self.last_tick > PAUSE_LIMIT_S
        )

    def age_s(self, now: float) -> float | None:
        """Return the age of the reading in seconds, ``None`` for none."""
        if self.is_paused(now) or self.confirmed_at == -math.inf:
            return None
        return max(0, now - self.confirmed_at)

    def state(self, now: float, hears_majority: bool) -> CurrencyState:
        """Return the currency.

        A reading by any instance reaches the others through the peers, so
        without one within the limit no instance that is heard reaches the
        service.
        """
        age = self.age_s(now)
        if age is not None and age <= CONFIRMED_LIMIT_S:
            return CurrencyState.CONFIRMED
        if hears_majority and not self.is_paused(now):
            return CurrencyState.PRESUMED
        return CurrencyState.ISOLATED
