"""Attempts of one request: first sends, hedges, retries and cancels."""

from collections.abc import Collection
from typing import Any, Protocol

import attrs

from clementinebank.dispatch._actions import CancelCall, SendCall, TraceEvent
from clementinebank.dispatch._policy import DispatchPolicy
from clementinebank.dispatch._shards import Attempt, Shard, Timers
from clementinebank.errors import Execution, Failure, Step
from clementinebank.invariants import check, invariant
from clementinebank.routing import Router

# Tokens of the extra-load budget that a hedge or a probe must leave. A retry
# may spend the last one, because without it the shard gets no answer; a hedge
# often gains nothing, and a probe never helps its own query.
HEDGE_RESERVE = 3
PROBE_RESERVE = 10
# Bound of the reserve as a share of the capacity of the bucket.
MAX_RESERVE_SHARE = 0.1
# Error code of a leaf that refused a request because it has no free slot.
SHED_CODE = 'shed'
# Error code of a request that HTTP doesn't allow, whichever leaf it is for.
UNSENDABLE_CODE = 'unsendable'
# Missing reason of a shard whose request no leaf accepted in time.
OVERLOADED_REASON = 'overloaded'
# Missing reason of a shard whose leafs all name a rate limit that is used up.
RATE_LIMITED_REASON = 'rate_limited'
# Missing reason of a shard whose leafs all want nothing for a time.
TURNED_AWAY_REASON = 'turned_away'
MAX_TRACE_EVENTS = 1000
MS_PER_S = 1000


@invariant('nothing-sent-after-deadline', 'R2')
def _is_before_deadline(now: float, deadline: float) -> bool:
    return now < deadline


@invariant('hedge-on-another-leaf', 'R2')
def _is_another_leaf(leaf_id: str, excluded: set[str]) -> bool:
    return leaf_id not in excluded


@invariant('request-stays-in-its-regions', 'R4')
def _is_in_regions(region: str | None, regions: Collection[str] | None) -> bool:
    return regions is None or region in regions


CallAction = SendCall | CancelCall


class DispatchedRequest(Protocol):
    """Request whose attempts a dispatcher sends."""

    @property
    def request_id(self) -> str:
        """Return the id of the request."""

    @property
    def deadline(self) -> float:
        """Return the runtime time in seconds after which nothing is sent."""


@attrs.frozen
class EndedAttempt:
    """An attempt that has ended, with its shard."""

    shard: Shard
    attempt: Attempt


@attrs.define(eq=False)
class Dispatcher:
    """Scheduler of the attempts of one request.

    It decides when an attempt is sent, hedged, retried or cancelled. Its
    methods return the calls to send and to cancel, and do no I/O.

    Parameters
    ----------
    request : DispatchedRequest
        Request of the caller.
    router : Router
        Chooses the replicas and holds the budget.
    started_at : float
        Runtime time in seconds at which the request began.
    finish_at : float
        Runtime time in seconds after which nothing is sent.
    max_hedge_delays : float
        Number of hedge delays after the first send of a shard after which the
        request need not wait for that shard.
    policy : DispatchPolicy
        Limits of the attempts.
    timers : Timers
        Times at which the shards are due.
    trace_events : list of TraceEvent
        Events of the request so far.
    shards_by_attempt : dict of str to Shard
        Shard of each attempt that has not ended.
    sent_count : int
        Calls sent so far.
    not_run_count : int
        Calls of which is known that no leaf ran them.
    token_wait_s : float
        Time in seconds that the last shard which began to wait was expected to
        wait for leafs that name a rate limit or want nothing for a time.
    """

    request: DispatchedRequest
    router: Router
    started_at: float
    finish_at: float = 0
    max_hedge_delays: float = float('inf')
    policy: DispatchPolicy = DispatchPolicy()
    timers: Timers = attrs.Factory(Timers)
    trace_events: list[TraceEvent] = attrs.Factory(list)
    shards_by_attempt: dict[str, Shard] = attrs.Factory(dict)
    sent_count: int = 0
    not_run_count: int = 0
    token_wait_s: float = 0

    @property
    def execution(self) -> Execution:
        """Return ``NOT_RUN`` if no leaf ran any call, else ``UNKNOWN``."""
        was_never_run = self.sent_count == self.not_run_count
        return Execution.NOT_RUN if was_never_run else Execution.UNKNOWN

    def start_shard(self, shard: Shard, now: float) -> list[CallAction]:
        """Start a shard: send its request, and a probe if one is due.

        Parameters
        ----------
        shard : Shard
            Shard without attempts.
        now : float
            Runtime time in seconds.

        Returns
        -------
        list of SendCall or CancelCall
            Empty if the shard waits for a free leaf or is given up.
        """
        if not shard.is_resent:
            self.router.budget_of(shard.group_id).on_request()
        shard.local_wait_until = now + self.policy.max_local_wait_s
        actions = self._send_or_wait(shard, now)
        if not actions or not self._may_repeat(shard):
            return actions
        probe_id = self.router.probe_target(shard.group_id, now)
        is_allowed = (
            probe_id is not None and probe_id not in self._excluded_leafs(shard)
        )
        if probe_id and is_allowed and self._spend_token(shard, PROBE_RESERVE):
            # A probe repeats a request that another leaf gets as well, so that
            # a slow ejected leaf delays no query.
            self.trace(now, 'probe', leaf=probe_id)
            actions.append(self._send(shard, probe_id, now))
        return actions

    def on_due(self, shard: Shard, now: float) -> list[CallAction]:
        """Send for a shard that waits, or hedge one that is slow.

        Nothing is done for an ended shard, or if the timer that fired is
        older than the due time of the shard.
        """
        if shard.is_ended or now < shard.due_at:
            return []
        if shard.attempts_by_id:
            self._record_overdue(shard, now)
            return self._hedge(shard, now)
        return self._send_or_wait(shard, now)

    def end_attempt(self, attempt_id: str) -> EndedAttempt | None:
        """Remove an attempt and return it, ``None`` if it has already ended."""
        shard = self.shards_by_attempt.pop(attempt_id, None)
        if shard is None:
            return None
        return EndedAttempt(shard, shard.attempts_by_id.pop(attempt_id))

    def on_failure(
        self, shard: Shard, leaf_id: str, failure: Failure, now: float
    ) -> list[CallAction]:
        """Handle a refusal or a failure of a call of a shard.

        The shard is retried on another replica, waits until the leaf that
        refused has a free slot, or is given up. Nothing is sent while another
        attempt of the shard is outstanding.

        Parameters
        ----------
        shard : Shard
            Shard of the call, whose attempt has been removed.
        leaf_id : str
            Leaf that was called.
        failure : Failure
            How the call failed.
        now : float
            Runtime time in seconds.
        """
        self.trace(now, 'failed', leaf=leaf_id, reason=failure.code)
        shard.missing_reason = failure.code
        self.record_execution(shard, failure)
        may_have_run = failure.execution is not Execution.NOT_RUN
        is_unsendable = failure.code == UNSENDABLE_CODE
        if is_unsendable or (may_have_run and not self.policy.is_repeatable):
            return self.end_shard(shard, now)
        if failure.code == SHED_CODE and not shard.attempts_by_id:
            wait_s = self.router.refusal_wait_s(
                shard.group_id, leaf_id, self._excluded_leafs(shard), now
            )
            if wait_s is not None:
                self._set_waiting(shard, is_waiting=True)
                self._schedule(shard, now + wait_s)
                return []
        shard.failed_leafs.add(leaf_id)
        if shard.attempts_by_id:
            return []
        return self._send_or_wait(shard, now)

    def record_execution(self, shard: Shard, failure: Failure) -> None:
        """Count the failed attempt if it is known that no leaf ran it."""
        if failure.execution is Execution.NOT_RUN:
            self.not_run_count += 1
            shard.not_run_count += 1
            # A call that failed before it was sent puts no load on a leaf, so
            # its repetition costs no token.
            shard.unsent_count += int(failure.step is Step.DISPATCH)

    def end_shard(
        self, shard: Shard, now: float, *, is_abandoned: bool = False
    ) -> list[CallAction]:
        """End a shard and return the cancels of its outstanding attempts.

        An overtaken attempt may continue, so that its end shows when the leaf
        answers again.

        Parameters
        ----------
        shard : Shard
            Shard that was answered or is given up.
        now : float
            Runtime time in seconds.
        is_abandoned : bool
            Whether the caller has left; then every attempt is cancelled.
        """
        shard.is_ended = True
        self._set_waiting(shard, is_waiting=False)
        actions: list[CallAction] = []
        for attempt in list(shard.attempts_by_id.values()):
            self.end_attempt(attempt.attempt_id)
            should_continue = self.router.on_cancel(
                attempt.leaf_id,
                now,
                now - attempt.sent_at,
                attempt.attempt_id,
                self.policy.profile,
            )
            if is_abandoned or not should_continue:
                actions.append(CancelCall(attempt.attempt_id, attempt.leaf_id))
        return actions

    def trace(self, now: float, event: str, **facts: Any) -> None:
        """Add an event to the trace of the request, up to a limit."""
        if len(self.trace_events) < MAX_TRACE_EVENTS:
            offset_ms = (now - self.started_at) * MS_PER_S
            self.trace_events.append(TraceEvent(offset_ms, event, facts))

    def _send_or_wait(self, shard: Shard, now: float) -> list[CallAction]:
        """Send the request of a shard, let it wait, or give it up."""
        remaining_s = self.finish_at - now
        leaf_id = self.router.choose(
            shard.group_id,
            now,
            self._excluded_leafs(shard),
            remaining_s,
            may_wait=now < shard.local_wait_until,
            is_repeated=shard.is_waiting,
        )
        is_retry = shard.sent_count > 0
        may_send = not is_retry or self._has_attempt_left(shard)
        if leaf_id is not None and may_send:
            is_extra = shard.sent_count > shard.unsent_count
            if not is_extra or self._spend_token(shard):
                if is_retry:
                    self.trace(now, 'retry', leaf=leaf_id)
                return [self._send(shard, leaf_id, now)]
            if not self.policy.waits_for_budget:
                shard.missing_reason = f'{shard.missing_reason}, no budget'
                return self.end_shard(shard, now)
        if self._should_give_up(shard, remaining_s, now):
            self.trace(
                now, 'lost', group=shard.group_id, reason=shard.missing_reason
            )
            return self.end_shard(shard, now)
        # A replica that refused may have room again later.
        shard.failed_leafs.clear()
        self._set_waiting(shard, is_waiting=True)
        self._schedule(shard, now + self.policy.resend_interval_s)
        return []

    def _should_give_up(
        self, shard: Shard, remaining_s: float, now: float
    ) -> bool:
        """Return whether waiting can no longer lead to an answer.

        If it is true, the missing reason of the shard may be updated.
        """
        if self._may_not_be_resent(shard) or self._is_turned_away(shard, now):
            return True
        was_never_run = shard.sent_count == shard.not_run_count
        accept_before = self.started_at + self.policy.max_unaccepted_s
        if was_never_run and now >= accept_before:
            self.token_wait_s = self.router.token_wait_s(shard.group_id, now)
            shard.missing_reason = (
                RATE_LIMITED_REASON if self.token_wait_s else OVERLOADED_REASON
            )
            return True
        if not shard.is_waiting:
            accept_before = min(accept_before, self.finish_at)
            self.token_wait_s = self.router.token_wait_s(shard.group_id, now)
            if was_never_run and now + self.token_wait_s > accept_before:
                shard.missing_reason = RATE_LIMITED_REASON
                return True
        if self.router.has_leaf_in_time(
            shard.group_id,
            remaining_s,
            shard.unsuitable_leafs | self._leafs_outside(shard),
        ):
            return False
        if not shard.sent_count:
            shard.missing_reason = 'no_leaf'
        return True

    def _may_not_be_resent(self, shard: Shard) -> bool:
        """Return whether no further call of the shard is permitted."""
        # A service without extra load never gets a token for a retry, so
        # waiting for one would only delay the answer.
        has_retries = self.router.budget_of(shard.group_id).ratio > 0
        if shard.sent_count and not has_retries:
            return True
        return not self._has_attempt_left(shard)

    def _is_turned_away(self, shard: Shard, now: float) -> bool:
        """Return whether all leafs of the shard want nothing for too long.

        If so, the missing reason and the expected wait are updated.
        """
        wait_s = self.router.turned_away_s(
            shard.group_id,
            now,
            shard.unsuitable_leafs | self._leafs_outside(shard),
        )
        if wait_s <= self.policy.max_turned_away_s:
            return False
        self.token_wait_s = wait_s
        shard.missing_reason = TURNED_AWAY_REASON
        return True

    def _leafs_outside(self, shard: Shard) -> set[str]:
        """Return the leafs of the shard in regions that may not run it."""
        return self.router.leafs_outside(shard.group_id, self.policy.regions)

    def _excluded_leafs(self, shard: Shard) -> set[str]:
        """Return the leafs that must not get the next attempt of the shard."""
        return shard.excluded_leafs | self._leafs_outside(shard)

    def _has_attempt_left(self, shard: Shard) -> bool:
        """Return whether the request of a shard may be sent once more.

        Both the attempts that a leaf may have run and all calls are bounded.
        An attempt that is known not to have run counts as a call only.
        """
        maybe_run_count = shard.sent_count - shard.not_run_count
        return (
            maybe_run_count < self.policy.max_attempts
            and shard.sent_count < self.policy.max_calls
        )

    def _may_repeat(self, shard: Shard) -> bool:
        """Return whether the request may be sent while another may run it."""
        return self.policy.is_repeatable and self._has_attempt_left(shard)

    def _record_overdue(self, shard: Shard, now: float) -> None:
        """Report the calls of a shard that have outlasted their hedge delay.

        Other requests must not wait for the same leafs meanwhile: a leaf that
        hangs shows only at the deadline of its call.
        """
        for attempt in shard.attempts_by_id.values():
            if now >= attempt.overdue_at:
                self.router.on_overdue(attempt.leaf_id, now, attempt.attempt_id)

    def _hedge(self, shard: Shard, now: float) -> list[CallAction]:
        """Send a hedge for a shard that has an outstanding attempt.

        Without a leaf or a token, the hedge is tried again after the resend
        interval.
        """
        if shard.hedge_count >= self.policy.max_hedges:
            return []
        if not self._may_repeat(shard):
            return []
        leaf_id = self.router.choose(
            shard.group_id,
            now,
            self._excluded_leafs(shard),
            self.finish_at - now,
            is_extra=True,
        )
        if leaf_id is None or not self._spend_token(shard, HEDGE_RESERVE):
            self._trace_hedge_denial(shard, leaf_id, now)
            self._schedule(shard, now + self.policy.resend_interval_s)
            return []
        check(
            'hedge-on-another-leaf',
            self.request.request_id,
            leaf_id=leaf_id,
            excluded=shard.excluded_leafs,
        )
        shard.hedge_count += 1
        self.trace(now, 'hedge', leaf=leaf_id)
        return [self._send(shard, leaf_id, now)]

    def _trace_hedge_denial(
        self, shard: Shard, leaf_id: str | None, now: float
    ) -> None:
        """Trace, once for each shard, why a hedge that is due is not sent."""
        if not shard.is_hedge_denied:
            shard.is_hedge_denied = True
            reason = 'no_leaf_with_room' if leaf_id is None else 'no_budget'
            tokens = self.router.budget_of(shard.group_id).tokens
            self.trace(
                now,
                'hedge_denied',
                group=shard.group_id,
                reason=reason,
                tokens=round(tokens, 1),
            )

    def _send(self, shard: Shard, leaf_id: str, now: float) -> SendCall:
        """Record a new attempt, schedule its hedge and return the call."""
        check(
            'nothing-sent-after-deadline',
            self.request.request_id,
            now=now,
            deadline=self.request.deadline,
        )
        check(
            'request-stays-in-its-regions',
            self.request.request_id,
            region=self.router.regions_by_leaf.get(leaf_id),
            regions=self.policy.regions,
        )
        attempt_id = f'{self.request.request_id}.{self.sent_count}'
        self.sent_count += 1
        reasons = self.router.choice_trace_fields(leaf_id)
        self.trace(now, 'sent', leaf=leaf_id, **reasons)
        self._set_waiting(shard, is_waiting=False)
        self.router.on_sent(
            leaf_id,
            now,
            self.request.request_id,
            is_extra=shard.sent_count > 0,
        )
        delay_s = self.router.hedge_delay_s(
            leaf_id, self.policy.profile, self.policy.expected_s
        )
        if not shard.sent_count:
            shard.give_up_at = now + self.max_hedge_delays * delay_s
            self.timers.add(shard.give_up_at, shard)
        shard.sent_count += 1
        shard.attempts_by_id[attempt_id] = Attempt(
            attempt_id, leaf_id, now, now + delay_s
        )
        self.shards_by_attempt[attempt_id] = shard
        self._schedule(shard, now + delay_s)
        return shard.create_send(attempt_id, leaf_id)

    def _schedule(self, shard: Shard, at: float) -> None:
        """Make a shard due at a runtime time in seconds, and not before."""
        shard.due_at = at
        self.timers.add(at, shard)

    def _spend_token(self, shard: Shard, reserve: int = 0) -> bool:
        """Return whether the budget paid for an extra request of the shard."""
        budget = self.router.budget_of(shard.group_id)
        reserved_tokens = min(reserve, MAX_RESERVE_SHARE * budget.capacity)
        return budget.spend(1, self.request.request_id, reserved_tokens)

    def _set_waiting(self, shard: Shard, *, is_waiting: bool) -> None:
        """Set whether a shard waits, and report a change to the router."""
        if shard.is_waiting != is_waiting:
            shard.is_waiting = is_waiting
            change = 1 if is_waiting else -1
            self.router.add_waiting(shard.group_id, change)
