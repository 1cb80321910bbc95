"""State that an instance keeps of one leaf, and its limits and ejection."""

from math import inf

import attrs
from eliot import log_message

from clementinebank.routing._availability import LeafAvailability
from clementinebank.routing._outcomes import CallOutcome
from clementinebank.routing._policy import EjectionPolicy
from clementinebank.upstream import LeafStatus

# Least service time in the estimate of how many requests are on the link, which
# divides by it.
MIN_SERVICE_DIVISOR_S = 0.0005
# The shortest service time is raised by this factor at each reply that is not
# faster, so that it adapts to a leaf whose requests take longer than before.
MIN_SERVICE_RISE_FACTOR = 1.01
# Factors of the limit of requests in flight after a refusal and after a reply
# that waited in the queue of the leaf.
REFUSAL_LIMIT_FACTOR = 0.5
QUEUE_LIMIT_FACTOR = 0.9
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


@attrs.define
class LeafState(LeafAvailability):
    """Limits and ejection of one leaf, besides its costs and availability.

    Parameters
    ----------
    overtaken_since : float or None
        Runtime time at which a call to the leaf was overtaken that has not
        ended yet, ``None`` without such a call.
    ejection_policy : EjectionPolicy
        When the leaf is ejected and readmitted.
    ejected_since : float or None
        Runtime time of the last ejection, ``None`` for a leaf in use.
    """

    overtaken_since: float | None = None
    ejection_policy: EjectionPolicy = EjectionPolicy()
    ejected_since: float | None = None
    _consecutive_failures: int = 0
    _consecutive_refusals: int = 0
    _consecutive_slow_replies: int = 0
    _consecutive_ejections: int = 0
    _good_probes: int = 0
    _overtaken_attempt_id: str = ''
    _next_probe_at: float = 0
    _ejected_until: float = float('-inf')
    _last_refused_at: float = float('-inf')

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

    def _record_refusal(self, now: float) -> None:
        """Pause the leaf, longer the more it refused, and lower its limit."""
        self._consecutive_refusals = min(
            self._consecutive_refusals + 1, MAX_COUNTED_REFUSALS
        )
        self._last_refused_at = now
        self._decrease_limit(now, REFUSAL_LIMIT_FACTOR)

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
