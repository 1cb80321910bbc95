"""Measurements of one leaf and the cost that follows from them."""

import attrs

from clementinebank.routing._outcomes import CallOutcome
from clementinebank.upstream import LeafStatus

# Weight of a new service time in the moving average of a leaf.
SERVICE_TIME_WEIGHT = 0.1
# Seconds added to the cost of a leaf whose calls are all refused or fail. Each
# such call needs a retry, and the budget allows one for five requests: if a
# leaf always refuses, four of five retries get no token.
UNSERVED_PENALTY_S = 0.3
# Weight of a new call in the share of unserved calls, which were refused or
# failed.
UNSERVED_AVERAGE_WEIGHT = 0.2
UNSERVED_HALF_LIFE_S = 5.0
# Weight of a new report in the moving average of the load of the other
# instances, which changes within a few requests.
FOREIGN_LOAD_WEIGHT = 0.3
# A service time counts in the average as at most this multiple of the average,
# so that one straggler does not move work to a farther data centre.
MAX_SAMPLE_FACTOR = 2.0
# Service time that is assumed before the first reply.
INITIAL_SERVICE_S = 0.005
# A reported load raises the cost of a leaf by at most this share, and the
# reported state "cold" multiplies it by this factor: wrong reports cannot
# remove a leaf that answers well.
MAX_LOAD_PENALTY = 1.0
COLD_PENALTY = 2.0
DEFAULT_QUEUE_FACTOR = 4.0
# Least time between two decreases of the limit, so that all refusals of one
# overload decrease it once.
DECREASE_INTERVAL_S = 0.05
# Half-life of what a leaf states about the speed of its machine, in seconds. It
# changes many times a second, so that an old statement says nothing.
SLOWNESS_HALF_LIFE_S = 0.1
# Bounds of the stated slowness: a wrong statement can't remove a leaf that
# answers well, nor draw all requests to it.
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 4.0


@attrs.define
class LeafCosts:
    """Service times and load of one leaf.

    The cost of a leaf follows from what this instance measured; the status
    that the leaf reports can only raise it.

    Parameters
    ----------
    leaf_id : str
        The leaf.
    delay_s : float
        One-way link delay in seconds.
    max_in_flight : int
        Upper bound of the limit, the number of connections to the leaf.
    limit : float
        Adaptive limit of requests in flight.
    in_flight : int
        Requests of this instance that have not ended.
    service_s : float
        Moving average of the service time in seconds, without the link.
    min_service_s : float
        Shortest recent service time in seconds, 0 before the first reply.
    reported_status : LeafStatus or None
        Last status that the leaf reported.
    slots : int
        Requests that the leaf serves at the same time before others queue.
    foreign_load : float
        Requests of other instances at the leaf, averaged over its reports.
    queue_factor : float
        A reply with more than this multiple of the shortest service time is
        considered to have waited in the queue of the leaf.
    """

    leaf_id: str
    delay_s: float = 0
    max_in_flight: int = 1
    limit: float = 1
    in_flight: int = 0
    service_s: float = INITIAL_SERVICE_S
    min_service_s: float = 0
    reported_status: LeafStatus | None = None
    slots: int = 1
    foreign_load: float = 0
    queue_factor: float = DEFAULT_QUEUE_FACTOR
    _slowness: float = 1
    _slowness_stated_at: float = 0
    _unserved_share: float = 0
    _unserved_share_updated_at: float = 0
    _limit_decreased_at: float = float('-inf')

    @property
    def round_trip_s(self) -> float:
        """Return the link delay there and back in seconds."""
        return 2 * self.delay_s

    @property
    def average_reply_s(self) -> float:
        """Return the average service time plus the round trip in seconds."""
        return self.round_trip_s + self.service_s

    @property
    def cost_s(self) -> float:
        """Return the expected time of one more request in seconds.

        Among the leafs that may be chosen, the one of least cost is preferred.
        """
        slot_load = (self.in_flight + 1 + self.foreign_load) / self.slots
        service_with_queue_s = max(1, slot_load) * self.service_s
        return (self.round_trip_s + service_with_queue_s) * self._report_penalty

    def on_slowness(self, now: float, slowness: float) -> None:
        """Record how long work takes on the machine of the leaf.

        Parameters
        ----------
        now : float
            Runtime time in seconds at which the statement arrived.
        slowness : float
            Multiple of the usual time.
        """
        self._slowness = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        self._slowness_stated_at = now - self.delay_s

    def slowness_cost_s(self, now: float) -> float:
        """Return the time in seconds that the slowness of the machine adds.

        It decays to 0 with the age of the statement, and is negative on a
        machine that is faster than usual.
        """
        if self._slowness == 1:
            return 0
        age_s = max(0, now - self._slowness_stated_at)
        weight = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        service_s = self.cost_s - self.round_trip_s
        return weight * (self._slowness - 1) * max(0, service_s)

    @property
    def min_reply_s(self) -> float:
        """Return the shortest time in seconds until an answer can arrive."""
        return self.round_trip_s + self.min_service_s

    def unserved_share(self, now: float) -> float:
        """Return the share of the recent calls that were refused or failed.

        It decays with time, so that a leaf that was avoided is tried again.
        """
        age_s = max(0, now - self._unserved_share_updated_at)
        return float(
            self._unserved_share * 0.5 ** (age_s / UNSERVED_HALF_LIFE_S)
        )

    def unserved_penalty_s(self, now: float) -> float:
        """Return the expected penalty for an unserved call in seconds."""
        return UNSERVED_PENALTY_S * self.unserved_share(now)

    def set_capacity(self, slots: int, max_in_flight: int) -> None:
        """Set the slots of the leaf and the connections to it."""
        self.slots = max(1, slots)
        self.max_in_flight = max_in_flight
        self.limit = min(self.limit, max_in_flight)

    def on_load(self, running: int, waiting: int) -> None:
        """Update the load of other instances from the load in a reply.

        Parameters
        ----------
        running : int
            Requests that the leaf was serving, of all instances.
        waiting : int
            Requests that waited in the queue of the leaf.
        """
        foreign = max(0, running + waiting - self.in_flight)
        self.foreign_load += FOREIGN_LOAD_WEIGHT * (foreign - self.foreign_load)

    @property
    def _report_penalty(self) -> float:
        """Return the factor by which the reported status raises the cost."""
        if self.reported_status is None:
            return 1
        load = min(1, max(0, self.reported_status.load))
        penalty = 1 + MAX_LOAD_PENALTY * load
        return penalty * (
            COLD_PENALTY if self.reported_status.state == 'cold' else 1
        )

    def _update_unserved_share(self, now: float, outcome: CallOutcome) -> None:
        """Update the share of calls that were refused or failed."""
        is_unserved = outcome in {CallOutcome.REFUSED, CallOutcome.FAILED}
        if not is_unserved and outcome is not CallOutcome.GOOD:
            return
        age_s = max(0, now - self._unserved_share_updated_at)
        share = self._unserved_share * 0.5 ** (age_s / UNSERVED_HALF_LIFE_S)
        self._unserved_share = share + UNSERVED_AVERAGE_WEIGHT * (
            is_unserved - share
        )
        self._unserved_share_updated_at = now

    def _update_service_s(self, service_s: float) -> None:
        """Add a service time in seconds to the moving average."""
        counted_s = min(service_s, MAX_SAMPLE_FACTOR * self.service_s)
        self.service_s += SERVICE_TIME_WEIGHT * (counted_s - self.service_s)

    def _was_queued(self, service_s: float) -> bool:
        """Return whether a reply was so slow that it must have queued."""
        return (
            self.in_flight > 0
            and service_s > self.queue_factor * self.min_service_s
        )

    def _decrease_limit(self, now: float, factor: float) -> None:
        """Multiply the limit by a factor unless it was decreased just now."""
        if now - self._limit_decreased_at >= DECREASE_INTERVAL_S:
            self._limit_decreased_at = now
            self.limit = max(1, self.limit * factor)
