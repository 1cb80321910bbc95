"""Rate limits for the key-value calls that bookings of an instance make."""

import attrs

from clementinebank.document import FleetSettings

# A booking writes its claim and later the record of its outcome.
WRITES_PER_BOOKING = 2
# Reads allowed for each write. A booking reads its key once; the other reads
# are for repeated requests and for reading back after a lost answer.
READS_PER_WRITE = 4


@attrs.define
class TokenBucket:
    """Token bucket that is refilled at a constant rate.

    Parameters
    ----------
    rate : float
        Tokens added a second.
    capacity : float
        Largest number of tokens held.
    tokens : float
        Tokens held; negative after ``charge`` overdrew the bucket.
    refilled_at : float or None
        Runtime time in seconds of the last refill.
    """

    rate: float
    capacity: float
    tokens: float = attrs.field(init=False)
    refilled_at: float | None = None

    def __attrs_post_init__(self) -> None:
        """Fill the bucket."""
        self.tokens = self.capacity

    def try_acquire(self, count: float, now: float, reserve: float = 0) -> bool:
        """Remove tokens and return whether there were enough.

        Parameters
        ----------
        count : float
            Tokens to remove.
        now : float
            Runtime time in seconds.
        reserve : float
            Tokens that must remain, or nothing is removed.
        """
        self._refill(now)
        if self.tokens < count + reserve:
            return False
        self.tokens -= count
        return True

    def charge(self, count: float, now: float) -> None:
        """Remove tokens even if there are too few.

        A negative balance is refilled before ``try_acquire`` succeeds again.
        """
        self._refill(now)
        self.tokens -= count

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None:
            new_tokens = max(0, now - self.refilled_at) * self.rate
            self.tokens = min(self.capacity, self.tokens + new_tokens)
        self.refilled_at = now


@attrs.define
class BookingBudget:
    """Token buckets for the writes and reads of one instance's bookings.

    Parameters
    ----------
    writes_per_second : float
        Number of writes a second allowed for this instance.
    writes, reads : TokenBucket
        Token buckets; each write or read of the key-value service removes one
        token.
    """

    writes_per_second: float
    writes: TokenBucket = attrs.field(init=False)
    reads: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the token buckets."""
        self._create_buckets()

    @property
    def bookings_per_second(self) -> float:
        """Return the number of bookings a second that the writes allow.

        200 writes/s shared by 8 instances allow 12.5 bookings/s for each.
        """
        return self.writes_per_second / WRITES_PER_BOOKING

    def update(self, fleet: FleetSettings) -> None:
        """Apply a new revision of the fleet settings.

        The buckets are replaced by full ones only if the rate has changed.
        """
        writes_per_second = writes_per_second_per_instance(fleet)
        if writes_per_second != self.writes_per_second:
            self.writes_per_second = writes_per_second
            self._create_buckets()

    def _create_buckets(self) -> None:
        writes = self.writes_per_second
        reads = writes * READS_PER_WRITE
        # A bucket holds the tokens of one second, but at least those of one
        # booking. Otherwise a rate below one booking a second would admit none.
        self.writes = TokenBucket(writes, max(writes, WRITES_PER_BOOKING))
        self.reads = TokenBucket(reads, max(reads, 1))


def writes_per_second_per_instance(fleet: FleetSettings) -> float:
    """Return the number of writes a second allowed for one instance."""
    return fleet.booking_writes_per_second / fleet.max_instances
