"""What an instance knows of one leaf, and the rules that follow from it."""

import enum
from math import inf

import attrs
from eliot import log_message

from clementinebank.routing._policy import OutlierRule
from clementinebank.upstream import LeafStatus

LATENCY_WEIGHT = 0.1
# A missed call costs another one, for which the budget is a fifth of the
# requests: four of five retries of a leaf that always refuses have no token.
MISS_COST_S = 0.3
MISS_WEIGHT = 0.2
MISS_HALF_LIFE_S = 5.0
# The load of other instances changes within a few requests.
FOREIGN_LOAD_WEIGHT = 0.3
# A single straggler counts as at most this multiple of the average, so that
# it does not move work to a farther data centre.
MAX_SAMPLE_FACTOR = 2.0
INITIAL_SERVICE_S = 0.005
MIN_SERVICE_S = 0.0005
# A minimum that rises slowly follows a leaf whose work became heavier.
FLOOR_RISE = 1.01

# Reported load and state lower the rank at most by these factors, so that
# misleading reports cannot remove a leaf that answers well.
MAX_LOAD_PENALTY = 1.0
COLD_PENALTY = 2.0

SLOW_START_S = 10.0
MIN_SLOW_START_SHARE = 0.1

LIMIT_DECREASE = 0.5
QUEUE_LIMIT_DECREASE = 0.9
QUEUE_FACTOR = 4.0
# One decrease for all refusals of the same overload.
DECREASE_INTERVAL_S = 0.05
REFUSAL_PAUSE_S = 0.002
# A leaf that sheds for seconds would use up the budget if it were asked again
# every few milliseconds.
REFUSAL_PAUSE_FACTOR = 64
# A leaf whose slots are full for a moment is asked again this often at once.
MAX_QUICK_REFUSALS = 1
MAX_REFUSAL_PAUSE_S = 1.0
MAX_COUNTED_REFUSALS = 10

EJECT_AFTER_FAILURES = 3
PROBE_INTERVAL_S = 0.2


class CallOutcome(enum.Enum):
    """End of a shard call as far as the leaf's rank is concerned."""

    GOOD = 'good'
    REFUSED = 'refused'
    DRAINING = 'draining'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    UNSENT = 'unsent'


OUTCOMES_BY_CODE = {
    'shed': CallOutcome.REFUSED,
    'draining': CallOutcome.DRAINING,
    'snapshot_unavailable': CallOutcome.UNSENT,
    'expired': CallOutcome.UNSENT,
    'pool_retired': CallOutcome.UNSENT,
}


@attrs.define
class LeafState:
    """Observations of one leaf; reports only lower its rank.

    Parameters
    ----------
    leaf_id : str
        The leaf.
    delay_s : float
        One-way link delay in seconds.
    max_in_flight : int
        Static limit that follows from the connections.
    limit : float
        Adaptive limit of requests in flight.
    cold_since : float or None
        Start of the slow start, ``None`` for a warm leaf.
    slots : int
        Requests that the leaf serves at the same time before others queue.
    foreign_load : float
        Requests of other instances at the leaf, as it last reported.
    stalled_since : float or None
        Runtime time at which a call to the leaf was overtaken that has not
        ended yet.
    queue_factor : float
        A reply this many times slower than the leaf's fastest one has queued.
    outlier_rule : OutlierRule
        When a leaf is ejected and trusted again.
    """

    leaf_id: str
    delay_s: float = 0
    max_in_flight: int = 1
    limit: float = 1
    in_flight: int = 0
    service_s: float = INITIAL_SERVICE_S
    floor_s: float = 0
    reported: LeafStatus | None = None
    cold_since: float | None = None
    slots: int = 1
    foreign_load: float = 0
    stalled_since: float | None = None
    queue_factor: float = QUEUE_FACTOR
    outlier_rule: OutlierRule = OutlierRule()
    draining_since: float | None = None
    ejected_since: float | None = None
    _failures: int = 0
    _refusals: int = 0
    _slow: int = 0
    _ejections: int = 0
    _good_probes: int = 0
    _stalled_attempt: str = ''
    _miss_share: float = 0
    _missed_at: float = 0
    _next_probe_at: float = 0
    _ejected_until: float = float('-inf')
    _refused_at: float = float('-inf')
    _decreased_at: float = float('-inf')

    @property
    def is_draining(self) -> bool:
        """Return whether the leaf may get no new work."""
        return self.draining_since is not None

    @property
    def is_ejected(self) -> bool:
        """Return whether the leaf gets only probes."""
        return self.ejected_since is not None

    @property
    def is_stalled(self) -> bool:
        """Return whether the end of an overtaken call is waited for."""
        return self.stalled_since is not None

    @property
    def round_trip_s(self) -> float:
        """Return the link delay there and back in seconds."""
        return 2 * self.delay_s

    @property
    def usual_s(self) -> float:
        """Return the average time of an idle leaf with its link."""
        return self.round_trip_s + self.service_s

    @property
    def cost(self) -> float:
        """Return the rank: the expected time of one more request."""
        load = (self.in_flight + 1 + self.foreign_load) / self.slots
        queued = max(1, load) * self.service_s
        return (self.round_trip_s + queued) * self._penalty

    @property
    def fastest_s(self) -> float:
        """Return the shortest time in which an answer can be expected."""
        return self.round_trip_s + self.floor_s

    def has_room(self, now: float, shared_limit: float = inf) -> bool:
        """Return whether one more request is within the limits.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        shared_limit : float
            Slots that this instance may hold while others need the rest.
        """
        # A request occupies a slot only while it is served, not on the link.
        on_link = 1 + self.round_trip_s / max(self.service_s, MIN_SERVICE_S)
        return (
            self.in_flight < self.max_in_flight
            and self.in_flight < max(1, min(self.limit, shared_limit)) * on_link
            and now >= self._refused_at + REFUSAL_PAUSE_S
        )

    def is_paused(self, now: float) -> bool:
        """Return whether another replica should be asked after refusals."""
        growth = max(0, self._refusals - MAX_QUICK_REFUSALS)
        pause_s = REFUSAL_PAUSE_S * REFUSAL_PAUSE_FACTOR**growth
        pause_s = min(MAX_REFUSAL_PAUSE_S, pause_s)
        return now < self._refused_at + pause_s

    def refusal_wait_s(self) -> float | None:
        """Return when a slot is likely free again, ``None`` if unlikely."""
        if self._refusals > MAX_QUICK_REFUSALS:
            return None
        return max(REFUSAL_PAUSE_S, self.service_s)

    def slow_start_share(self, now: float) -> float:
        """Return the share of its requests that a cold leaf gets, 0 to 1."""
        if self.cold_since is None:
            return 1
        share = (now - self.cold_since) / SLOW_START_S
        if share >= 1:
            self.cold_since = None
        return min(1, max(MIN_SLOW_START_SHARE, share))

    def may_try(self, now: float) -> bool:
        """Return whether an ordinary request may test an ejected leaf."""
        return self.is_probe_due(now) and self.in_flight == 0

    def is_probe_due(self, now: float) -> bool:
        """Return whether an ejected leaf may get a probe."""
        return self.is_ejected and now >= self._next_probe_at

    def on_sent(self, now: float) -> None:
        """Count a request; it is a probe if the leaf is ejected."""
        self.in_flight += 1
        if self.is_ejected:
            self._next_probe_at = now + PROBE_INTERVAL_S

    def on_end(
        self,
        now: float,
        elapsed_s: float,
        outcome: CallOutcome,
        slow_s: float,
    ) -> None:
        """Take the end of a request; ``slow_s`` bounds a usual time."""
        self.in_flight = max(0, self.in_flight - 1)
        self._count_miss(now, outcome)
        if outcome is CallOutcome.GOOD:
            service_s = max(0, elapsed_s - self.round_trip_s)
            self._failures = 0
            self._take_good(now, service_s)
            self._count_slow(now, elapsed_s > slow_s)
        elif outcome is CallOutcome.REFUSED:
            self._take_refusal(now)
        elif outcome is CallOutcome.DRAINING:
            self.start_drain(now)
        elif outcome is CallOutcome.FAILED:
            self.on_failure(now)

    def on_cancel(
        self, now: float, elapsed_s: float, *, was_overtaken: bool
    ) -> None:
        """Take a cancelled request, whose true time is at least this long."""
        service_s = elapsed_s - self.round_trip_s
        if service_s > self.service_s:
            self._average(service_s)
        if was_overtaken:
            self._count_slow(now, is_slow=True)

    def on_failure(self, now: float) -> None:
        """Count a failure and eject the leaf after several in a row."""
        self._failures += 1
        self._good_probes = 0
        if self._failures >= EJECT_AFTER_FAILURES:
            self.eject(now)

    def eject(self, now: float) -> None:
        """Restrict the leaf to probes; each bad probe doubles the wait.

        Calls that were under way when the ejection began say nothing new.
        """
        if now < self._ejected_until:
            return
        rule = self.outlier_rule
        ejection_s = rule.first_ejection_s
        if self._ejections:
            growth = 2 ** (self._ejections - 1)
            ejection_s = min(rule.max_ejection_s, rule.ejection_s * growth)
        self._ejections += 1
        self._good_probes = 0
        self.ejected_since = now
        self._next_probe_at = now + ejection_s
        self._ejected_until = self._next_probe_at
        log_message(
            message_type='leaf:ejected',
            leaf=self.leaf_id,
            seconds=ejection_s,
            failures=self._failures,
            slow_replies=self._slow,
            service_ms=round(self.service_s * 1000, 1),
        )

    def start_stall(self, now: float, attempt_id: str) -> bool:
        """Wait for the end of an attempt; false if another is waited for."""
        if self.is_stalled:
            return False
        self.stalled_since = now
        self._stalled_attempt = attempt_id
        return True

    def end_stall(self, attempt_id: str) -> bool:
        """Trust the leaf again if this is the attempt that is waited for."""
        if not self.is_stalled or self._stalled_attempt != attempt_id:
            return False
        self.stalled_since = None
        return True

    def miss_penalty_s(self, now: float) -> float:
        """Return the expected cost of a refusal or a failure in seconds.

        The share of missed calls is forgotten with time, so that a leaf that
        is avoided gets another chance.
        """
        age_s = max(0, now - self._missed_at)
        share = self._miss_share * 0.5 ** (age_s / MISS_HALF_LIFE_S)
        return MISS_COST_S * share

    def set_capacity(self, slots: int, max_in_flight: int) -> None:
        """Set the slots of the leaf and the connections of this instance."""
        self.slots = max(1, slots)
        self.max_in_flight = max_in_flight
        self.limit = min(self.limit, max_in_flight)

    def on_load(self, running: int, waiting: int) -> None:
        """Take the load that a reply reported."""
        others = max(0, running + waiting - self.in_flight)
        self.foreign_load += FOREIGN_LOAD_WEIGHT * (others - self.foreign_load)

    def start_drain(self, now: float) -> None:
        """Stop new work until the leaf reports that it serves again."""
        if self.draining_since is None:
            self.draining_since = now
            log_message(message_type='leaf:draining', leaf=self.leaf_id)

    def on_status(
        self, now: float, requested_at: float, status: LeafStatus
    ) -> None:
        """Take a reported status.

        A status requested before the first drain signal cannot end a drain.
        """
        self.reported = status
        if status.state == 'draining':
            self.start_drain(now)
        elif self._is_back(requested_at):
            self.draining_since = None
            self.cold_since = now
        if status.state == 'cold':
            self.cold_since = now

    def _is_back(self, requested_at: float) -> bool:
        since = self.draining_since
        return since is not None and requested_at > since

    @property
    def _penalty(self) -> float:
        if self.reported is None:
            return 1
        load = min(1, max(0, self.reported.load))
        penalty = 1 + MAX_LOAD_PENALTY * load
        return penalty * (COLD_PENALTY if self.reported.state == 'cold' else 1)

    def _take_good(self, now: float, service_s: float) -> None:
        self._refusals = 0
        self._average(service_s)
        self.floor_s = min(service_s, self.floor_s * FLOOR_RISE or service_s)
        if self._has_queued(service_s):
            self._decrease(now, QUEUE_LIMIT_DECREASE)
        else:
            self.limit = min(self.max_in_flight, self.limit + 1 / self.limit)

    def _count_miss(self, now: float, outcome: CallOutcome) -> None:
        is_miss = outcome in {CallOutcome.REFUSED, CallOutcome.FAILED}
        if not is_miss and outcome is not CallOutcome.GOOD:
            return
        age_s = max(0, now - self._missed_at)
        share = self._miss_share * 0.5 ** (age_s / MISS_HALF_LIFE_S)
        self._miss_share = share + MISS_WEIGHT * (is_miss - share)
        self._missed_at = now

    def _average(self, service_s: float) -> None:
        counted_s = min(service_s, MAX_SAMPLE_FACTOR * self.service_s)
        self.service_s += LATENCY_WEIGHT * (counted_s - self.service_s)

    def _take_refusal(self, now: float) -> None:
        """Pause the leaf, longer after each refusal in a row."""
        self._refusals = min(self._refusals + 1, MAX_COUNTED_REFUSALS)
        self._refused_at = now
        self._decrease(now, LIMIT_DECREASE)

    def _has_queued(self, service_s: float) -> bool:
        return (
            self.in_flight > 0 and service_s > self.queue_factor * self.floor_s
        )

    def _count_slow(self, now: float, is_slow: bool) -> None:
        self._slow = self._slow + 1 if is_slow else 0
        if is_slow:
            self._good_probes = 0
            if self._slow >= self.outlier_rule.eject_after_slow:
                self.eject(now)
        elif self.is_ejected:
            self._good_probes += 1
            if self._good_probes >= self.outlier_rule.readmit_after_probes:
                self.ejected_since = None
                self._ejections = 0
                log_message(message_type='leaf:readmitted', leaf=self.leaf_id)
                if self.outlier_rule.readmits_cold:
                    self.cold_since = now

    def _decrease(self, now: float, factor: float) -> None:
        if now - self._decreased_at >= DECREASE_INTERVAL_S:
            self._decreased_at = now
            self.limit = max(1, self.limit * factor)
