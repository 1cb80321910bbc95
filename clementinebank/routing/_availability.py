"""Whether a leaf may get new requests, and its slow start afterwards."""

import attrs
from eliot import log_message

from clementinebank.routing._leaf_costs import LeafCosts

# A cold leaf gets a share of its requests that rises to 1 during this time.
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1


@attrs.define
class LeafAvailability(LeafCosts):
    """Drain, evacuation and refused time of one leaf.

    Parameters
    ----------
    cold_since : float or None
        Runtime time at which the slow start began or will begin, ``None`` for
        a warm leaf.
    draining_since : float or None
        Runtime time of the first sign of a drain, ``None`` without a drain.
    is_evacuated : bool
        Whether the operators have evacuated the data centre of the leaf.
    turned_away_until : float
        Runtime time until which the leaf wants no request of this instance.
    """

    cold_since: float | None = None
    draining_since: float | None = None
    is_evacuated: bool = False
    turned_away_until: float = float('-inf')

    @property
    def is_draining(self) -> bool:
        """Return whether the leaf may get no new work."""
        return self.draining_since is not None

    def is_turned_away(self, now: float) -> bool:
        """Return whether the leaf wants no request of this instance."""
        return now < self.turned_away_until

    def turn_away(self, now: float, duration_s: float) -> None:
        """Send nothing for a time, then start slowly with one request.

        A time that was stated before is never shortened.
        """
        until = now + duration_s
        if until <= self.turned_away_until:
            return
        self.turned_away_until = until
        self.cold_since = until
        self.limit = 1
        log_message(
            message_type='leaf:turned_away',
            leaf=self.leaf_id,
            seconds=round(duration_s, 3),
        )

    def slow_start_share(self, now: float) -> float:
        """Return the share of requests that the leaf gets, 0 to 1.

        It rises linearly during the slow start, after which the leaf is warm
        and the share is 1.
        """
        if self.cold_since is None:
            return 1
        share = (now - self.cold_since) / SLOW_START_S
        if share >= 1:
            self.cold_since = None
        return min(1, max(MIN_SLOW_START_SHARE, share))

    def start_drain(self, now: float) -> None:
        """Send no new work until the leaf reports that it serves again."""
        if self.draining_since is None:
            self.draining_since = now
            log_message(message_type='leaf:draining', leaf=self.leaf_id)

    def set_evacuated(self, now: float, *, is_evacuated: bool) -> None:
        """Stop or resume the use of the leaf; it resumes with a slow start.

        All instances learn of the end of an evacuation at about the same time,
        and the leaf has served nothing meanwhile.
        """
        if self.is_evacuated and not is_evacuated:
            self.cold_since = now
        self.is_evacuated = is_evacuated
