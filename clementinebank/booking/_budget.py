"""Share of the key-value service that bookings of one instance may use."""

import attrs

from clementinebank.document import FleetSettings

# A booking reserves its claim and the record of its outcome.
WRITES_PER_BOOKING = 2
# A booking reads its key once; the rest is for repeats and read-backs.
READS_PER_WRITE = 4


@attrs.define
class TokenBucket:
    """Token bucket that holds at most one second of its rate.

    Parameters
    ----------
    rate : float
        Tokens a second.
    capacity : float
        Largest number of tokens held.
    """

    rate: float
    capacity: float
    tokens: float = attrs.field(init=False)
    refilled_at: float | None = None

    def __attrs_post_init__(self) -> None:
        """Start full."""
        self.tokens = self.capacity

    def take(self, count: float, now: float, reserve: float = 0) -> bool:
        """Take tokens if there are enough and the reserve is left."""
        self._refill(now)
        if self.tokens < count + reserve:
            return False
        self.tokens -= count
        return True

    def charge(self, count: float, now: float) -> None:
        """Take tokens that were used already; later takes pay the debt."""
        self._refill(now)
        self.tokens -= count

    def _refill(self, now: float) -> None:
        if self.refilled_at is not None:
            gained = max(0, now - self.refilled_at) * self.rate
            self.tokens = min(self.capacity, self.tokens + gained)
        self.refilled_at = now


@attrs.define
class BookingBudget:
    """Writes and reads of all bookings of one instance.

    Parameters
    ----------
    writes_per_second : float
        Share of this instance.
    """

    writes_per_second: float
    writes: TokenBucket = attrs.field(init=False)
    reads: TokenBucket = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the buckets."""
        self._create()

    @property
    def bookings_per_second(self) -> float:
        """Return the highest rate of bookings that follows.

        200 writes/s among 8 instances give 12.5 bookings/s for each.
        """
        return self.writes_per_second / WRITES_PER_BOOKING

    def update(self, fleet: FleetSettings) -> None:
        """Follow a new revision of the fleet section."""
        share = writes_share(fleet)
        if share != self.writes_per_second:
            self.writes_per_second = share
            self._create()

    def _create(self) -> None:
        writes = self.writes_per_second
        reads = writes * READS_PER_WRITE
        # A share below one booking a second still admits single bookings.
        self.writes = TokenBucket(writes, max(writes, WRITES_PER_BOOKING))
        self.reads = TokenBucket(reads, max(reads, 1))


def writes_share(fleet: FleetSettings) -> float:
    """Return the writes a second of one instance."""
    return fleet.booking_writes_per_second / fleet.max_instances
