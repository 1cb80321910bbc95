"""How recently the document in force was compared with the head record."""

import enum
import math

import attrs

# Oldest reading of the head that confirms the document in force.
CONFIRMED_LIMIT_S = 5.0
# A longer time between two ticks means that the process was paused.
PAUSE_LIMIT_S = 2.0


class CurrencyState(enum.Enum):
    """How current the document in force at one instance is.

    ``CONFIRMED``: the head was read within ``CONFIRMED_LIMIT_S``, by this
    instance or a peer. ``PRESUMED``: it was not, but this instance hears most
    of the fleet. ``ISOLATED``: neither.
    """

    CONFIRMED = 'confirmed'
    PRESUMED = 'presumed'
    ISOLATED = 'isolated'


@attrs.define
class Currency:
    """Time at which the head was last read, by this instance or a peer.

    Parameters
    ----------
    confirmed_at : float
        Runtime time in seconds of the newest reading of the head that the
        document in force equals or exceeds; ``-inf`` for none.
    readings_valid_from : float
        Runtime time at which the last pause was detected. Earlier readings do
        not count.
    last_tick : float or None
        Runtime time of the last call of ``tick``.
    """

    confirmed_at: float = -math.inf
    readings_valid_from: float = -math.inf
    last_tick: float | None = None

    def confirm(self, read_at: float) -> None:
        """Record that the document in force was not older than the head.

        Parameters
        ----------
        read_at : float
            Runtime time at which the head was read.
        """
        if read_at >= self.readings_valid_from:
            self.confirmed_at = max(self.confirmed_at, read_at)

    def tick(self, now: float) -> bool:
        """Record that the event loop runs, and detect a pause.

        After a pause the earlier readings no longer count.

        Returns
        -------
        bool
            Whether more than ``PAUSE_LIMIT_S`` passed since the last tick.
        """
        paused = self.is_paused(now)
        self.last_tick = now
        if paused:
            self.readings_valid_from = now
            self.confirmed_at = -math.inf
        return paused

    def is_paused(self, now: float) -> bool:
        """Return whether the last tick is older than ``PAUSE_LIMIT_S``."""
        return (
            self.last_tick is not None and now - self.last_tick > PAUSE_LIMIT_S
        )

    def age_s(self, now: float) -> float | None:
        """Return the age in seconds of the newest reading of the head.

        ``None`` means that no reading counts, for example during a pause.
        """
        if self.is_paused(now) or self.confirmed_at == -math.inf:
            return None
        return max(0, now - self.confirmed_at)

    def state(self, now: float, hears_majority: bool) -> CurrencyState:
        """Return how current the document in force is.

        Peers pass on each other's readings of the head. If none arrives
        within the limit, no instance that is heard reaches the key-value
        service, so with a majority heard the service itself is taken to be
        down and the document is presumed current.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        hears_majority : bool
            Whether more than half of the live instances are heard.
        """
        age = self.age_s(now)
        if age is not None and age <= CONFIRMED_LIMIT_S:
            return CurrencyState.CONFIRMED
        if hears_majority and not self.is_paused(now):
            return CurrencyState.PRESUMED
        return CurrencyState.ISOLATED
