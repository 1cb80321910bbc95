"""State that an instance keeps of one leaf, and its limits and ejection."""

import enum
from math import inf

import attrs
from eliot import log_message

from clementinebank.routing._policy import EjectionPolicy
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
# Least service time in the estimate of how many requests are on the link, which
# divides by it.
MIN_SERVICE_DIVISOR_S = 0.0005
# The shortest service time is raised by this factor at each reply that is not
# faster, so that it adapts to a leaf whose requests take longer than before.
MIN_SERVICE_RISE_FACTOR = 1.01

# A reported load raises the cost of a leaf by at most this share, and the
# reported state "cold" multiplies it by this factor: wrong reports cannot
# remove a leaf that answers well.
MAX_LOAD_PENALTY = 1.0
COLD_PENALTY = 2.0

# A cold leaf gets a share of its requests that rises to 1 during this time.
SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1

# Factors of the limit of requests in flight after a refusal and after a reply
# that waited in the queue of the leaf.
REFUSAL_LIMIT_FACTOR = 0.5
QUEUE_LIMIT_FACTOR = 0.9
DEFAULT_QUEUE_FACTOR = 4.0
# Least time between two decreases of the limit, so that all refusals of one
# overload decrease it once.
DECREASE_INTERVAL_S = 0.05
REFUSAL_PAUSE_S = 0.002
# The pause grows by this factor for each further refusal in a row: a leaf that
# refuses for seconds would use up the budget if it were asked again every few
# milliseconds.
REFUSAL_PAUSE_FACTOR = 64
# Refusals in a row that cause only the shortest pause, because the slots of the
# leaf may be full for a moment only.
MAX_QUICK_REFUSALS = 1
MAX_REFUSAL_PAUSE_S = 1.0
# Bound of the counted refusals in a row; with a much larger count the pause
# would exceed the range of a float before it is bounded.
MAX_COUNTED_REFUSALS = 10

EJECT_AFTER_FAILURES = 3
PROBE_INTERVAL_S = 0.2


class CallOutcome(enum.Enum):
    """End of a call to a leaf, as it affects the state of the leaf."""

    GOOD = 'good'
    REFUSED = 'refused'
    DRAINING = 'draining'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNSENT = 'unsent'


# Outcome of a failed call by its error code; other codes mean a failure.
OUTCOMES_BY_CODE = {
    'shed': CallOutcome.REFUSED,
    'draining': CallOutcome.DRAINING,
    'snapshot_unavailable': CallOutcome.UNSENT,
    'expired': CallOutcome.UNSENT,
    'pool_retired': CallOutcome.UNSENT,
    'unsendable': CallOutcome.UNSENT,
    # The leaf has no part in these.
    'task_cancelled': CallOutcome.CANCELLED,
    'internal_error': CallOutcome.CANCELLED,
}


@attrs.define
class LeafState:
    """Measurements, limits and ejection of one leaf.

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
    cold_since : float or None
        Runtime time at which the slow start began, ``None`` for a warm leaf.
    slots : int
        Requests that the leaf serves at the same time before others queue.
    foreign_load : float
        Requests of other instances at the leaf, averaged over its reports.
    overtaken_since : float or None
        Runtime time at which a call to the leaf was overtaken that has not
        ended yet, ``None`` without such a call.
    queue_factor : float
        A reply with more than this multiple of the shortest service time is
        considered to have waited in the queue of the leaf.
    ejection_policy : EjectionPolicy
        When the leaf is ejected and readmitted.
    draining_since : float or None
        Runtime time of the first sign of a drain, ``None`` without a drain.
    is_evacuated : bool
        Whether the operators have evacuated the data centre of the leaf.
    ejected_since : float or None
        Runtime time of the last ejection, ``None`` for a leaf in use.
    """

    leaf_id: str
    delay_s: float = 0
    max_in_flight: int = 1
    limit: float = 1
    in_flight: int = 0
    service_s: float = INITIAL_SERVICE_S
    min_service_s: float = 0
    reported_status: LeafStatus | None = None
    cold_since: float | None = None
    slots: int = 1
    foreign_load: float = 0
    overtaken_since: float | None = None
    queue_factor: float = DEFAULT_QUEUE_FACTOR
    ejection_policy: EjectionPolicy = EjectionPolicy()
    draining_since: float | None = None
    is_evacuated: bool = False
    ejected_since: float | None = None
    _consecutive_failures: int = 0
    _consecutive_refusals: int = 0
    _consecutive_slow_replies: int = 0
    _consecutive_ejections: int = 0
    _good_probes: int = 0
    _overtaken_attempt_id: str = ''
    _unserved_share: float = 0
    _unserved_share_updated_at: float = 0
    _next_probe_at: float = 0
    _ejected_until: float = float('-inf')
    _last_refused_at: float = float('-inf')
    _limit_decreased_at: float = float('-inf')

    @property
    def is_draining(self) -> bool:
        """Return whether the leaf may get no new work."""
        return self.draining_since is not None

    @property
    def is_ejected(self) -> bool:
        """Return whether the leaf is ejected.

        It then gets only probes or trials, unless the group has no other leaf
        that may get requests.
        """
        return self.ejected_since is not None

    @property
    def has_overtaken_call(self) -> bool:
        """Return whether an overtaken call to the leaf has not ended yet."""
        return self.overtaken_since is not None

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

    @property
    def min_reply_s(self) -> float:
        """Return the shortest time in seconds until an answer can arrive."""
        return self.round_trip_s + self.min_service_s

    def has_room(self, now: float, shared_limit: float = inf) -> bool:
        """Return whether the leaf may get one more request now.

        It may if the request is within the limits and the leaf did not refuse
        one a moment ago.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        shared_limit : float
            Most slots that this instance may hold, so that the others get the
            rest.
        """
        # A request occupies a slot only while it is served, not while it is on
        # the link, so more requests than slots may be in flight.
        in_flight_per_slot = 1 + self.round_trip_s / max(
            self.service_s, MIN_SERVICE_DIVISOR_S
        )
        return (
            self.in_flight < self.max_in_flight
            and self.in_flight
            < max(1, min(self.limit, shared_limit)) * in_flight_per_slot
            and now >= self._last_refused_at + REFUSAL_PAUSE_S
        )

    def is_paused(self, now: float) -> bool:
        """Return whether the pause after the last refusals has not ended yet.

        A paused leaf gets a request only if no other candidate is left.
        """
        excess_refusals = max(
            0, self._consecutive_refusals - MAX_QUICK_REFUSALS
        )
        pause_s = REFUSAL_PAUSE_S * REFUSAL_PAUSE_FACTOR**excess_refusals
        pause_s = min(MAX_REFUSAL_PAUSE_S, pause_s)
        return now < self._last_refused_at + pause_s

    def refusal_wait_s(self) -> float | None:
        """Return the seconds until a slot of the leaf is probably free.

        ``None`` means that the leaf refused too often for a short wait.
        """
        if self._consecutive_refusals > MAX_QUICK_REFUSALS:
            return None
        return max(REFUSAL_PAUSE_S, self.service_s)

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

    def may_send_trial(self, now: float) -> bool:
        """Return whether an ordinary request may be sent as a trial now.

        It tests an ejected leaf, which gets one such request at a time.
        """
        return self.is_probe_due(now) and self.in_flight == 0

    def is_probe_due(self, now: float) -> bool:
        """Return whether the leaf is ejected and may get a probe now."""
        return self.is_ejected and now >= self._next_probe_at

    def on_sent(self, now: float) -> None:
        """Count a request that is sent to the leaf.

        If the leaf is ejected, the request is a probe and delays the next one.
        """
        self.in_flight += 1
        if self.is_ejected:
            self._next_probe_at = now + PROBE_INTERVAL_S

    def on_end(
        self,
        now: float,
        elapsed_s: float,
        outcome: CallOutcome,
        slow_bound_s: float,
    ) -> None:
        """Update the state at the end of a request.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        elapsed_s : float
            Time from the send to the end in seconds, with the link.
        outcome : CallOutcome
            How the call ended.
        slow_bound_s : float
            Time in seconds above which a reply is slow, with the link.
        """
        self.in_flight = max(0, self.in_flight - 1)
        self._update_unserved_share(now, outcome)
        if outcome is CallOutcome.GOOD:
            service_s = max(0, elapsed_s - self.round_trip_s)
            self._consecutive_failures = 0
            self._record_success(now, service_s)
            self._update_ejection(now, elapsed_s > slow_bound_s)
        elif outcome is CallOutcome.REFUSED:
            self._record_refusal(now)
        elif outcome is CallOutcome.DRAINING:
            self.start_drain(now)
        elif outcome is CallOutcome.FAILED:
            self.on_failure(now)

    def on_cancel(
        self, now: float, elapsed_s: float, *, was_overtaken: bool
    ) -> None:
        """Record a cancelled request, which would have taken at least so long.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        elapsed_s : float
            Time from the send to the cancel in seconds, with the link.
        was_overtaken : bool
            Whether it took longer than its hedge delay and counts as slow.
        """
        service_s = elapsed_s - self.round_trip_s
        if service_s > self.service_s:
            self._update_service_s(service_s)
        if was_overtaken:
            self._update_ejection(now, is_slow=True)

    def on_failure(self, now: float) -> None:
        """Count a failure and eject the leaf after several in a row."""
        self._consecutive_failures += 1
        self._good_probes = 0
        if self._consecutive_failures >= EJECT_AFTER_FAILURES:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Eject the leaf, unless the time of an ejection still runs.

        An ejected leaf gets only probes or trials. The times of a first and
        of a second ejection follow from the ejection policy; from then on, each
        further one lasts twice as long, up to a bound, until the leaf is
        readmitted. A call during that time changes
        nothing, because slow or failed calls that were in flight when the
        ejection began are no new evidence.
        """
        if now < self._ejected_until:
            return
        policy = self.ejection_policy
        ejection_s = policy.first_ejection_s
        if self._consecutive_ejections:
            growth_factor = 2 ** (self._consecutive_ejections - 1)
            ejection_s = min(
                policy.max_ejection_s, policy.ejection_s * growth_factor
            )
        self._consecutive_ejections += 1
        self._good_probes = 0
        self.ejected_since = now
        self._next_probe_at = now + ejection_s
        self._ejected_until = self._next_probe_at
        log_message(
            message_type='leaf:ejected',
            leaf=self.leaf_id,
            seconds=ejection_s,
            failures=self._consecutive_failures,
            slow_replies=self._consecutive_slow_replies,
            service_ms=round(self.service_s * 1000, 1),
        )

    def start_overtaken_call(self, now: float, attempt_id: str) -> bool:
        """Send no new requests to the leaf until an overtaken attempt ends.

        Returns
        -------
        bool
            Whether this attempt is the overtaken call of the leaf; false if
            the leaf already has another one.
        """
        if self.has_overtaken_call:
            return self._overtaken_attempt_id == attempt_id
        self.overtaken_since = now
        self._overtaken_attempt_id = attempt_id
        return True

    def end_overtaken_call(self, attempt_id: str) -> bool:
        """Allow new requests to the leaf if this attempt was overtaken.

        Returns
        -------
        bool
            Whether this attempt was the leaf's overtaken call.
        """
        if (
            not self.has_overtaken_call
            or self._overtaken_attempt_id != attempt_id
        ):
            return False
        self.overtaken_since = None
        return True

    def unserved_penalty_s(self, now: float) -> float:
        """Return the expected penalty for an unserved call in seconds.

        It is the penalty of one unserved call times the share of calls that
        were refused or failed. The share decays with time, so that a leaf that
        was avoided is tried again.
        """
        age_s = max(0, now - self._unserved_share_updated_at)
        share = self._unserved_share * 0.5 ** (age_s / UNSERVED_HALF_LIFE_S)
        return UNSERVED_PENALTY_S * share

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

    def on_status(
        self, now: float, requested_at: float, status: LeafStatus
    ) -> None:
        """Update the state from a status that the leaf reported.

        A status requested before the first sign of a drain cannot end it: the
        leaf may have sent that status before it began to drain.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        requested_at : float
            Runtime time at which the status was requested.
        status : LeafStatus
            Reported status.
        """
        self.reported_status = status
        if status.state == 'draining':
            self.start_drain(now)
        elif self._ends_drain(requested_at):
            self.draining_since = None
            self.cold_since = now
        if status.state == 'cold':
            self.cold_since = now

    def _ends_drain(self, requested_at: float) -> bool:
        """Return whether a status requested at that time ends the drain."""
        drain_start = self.draining_since
        return drain_start is not None and requested_at > drain_start

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

    def _record_success(self, now: float, service_s: float) -> None:
        """Update the service times and the limit after a good reply."""
        self._consecutive_refusals = 0
        self._update_service_s(service_s)
        self.min_service_s = min(
            service_s, self.min_service_s * MIN_SERVICE_RISE_FACTOR or service_s
        )
        if self._was_queued(service_s):
            self._decrease_limit(now, QUEUE_LIMIT_FACTOR)
        else:
            self.limit = min(self.max_in_flight, self.limit + 1 / self.limit)

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

    def _record_refusal(self, now: float) -> None:
        """Pause the leaf, longer the more it refused, and lower its limit."""
        self._consecutive_refusals = min(
            self._consecutive_refusals + 1, MAX_COUNTED_REFUSALS
        )
        self._last_refused_at = now
        self._decrease_limit(now, REFUSAL_LIMIT_FACTOR)

    def _was_queued(self, service_s: float) -> bool:
        """Return whether a reply was so slow that it must have queued."""
        return (
            self.in_flight > 0
            and service_s > self.queue_factor * self.min_service_s
        )

    def _update_ejection(self, now: float, is_slow: bool) -> None:
        """Eject the leaf after slow replies, readmit it after good probes."""
        self._consecutive_slow_replies = (
            self._consecutive_slow_replies + 1 if is_slow else 0
        )
        if is_slow:
            self._good_probes = 0
            if (
                self._consecutive_slow_replies
                >= self.ejection_policy.eject_after_slow
            ):
                self.eject(now)
        elif self.is_ejected:
            self._good_probes += 1
            if self._good_probes >= self.ejection_policy.readmit_after_probes:
                self.ejected_since = None
                self._consecutive_ejections = 0
                log_message(message_type='leaf:readmitted', leaf=self.leaf_id)
                if self.ejection_policy.readmits_cold:
                    self.cold_since = now

    def _decrease_limit(self, now: float, factor: float) -> None:
        """Multiply the limit by a factor unless it was decreased just now."""
        if now - self._limit_decreased_at >= DECREASE_INTERVAL_S:
            self._limit_decreased_at = now
            self.limit = max(1, self.limit * factor)
