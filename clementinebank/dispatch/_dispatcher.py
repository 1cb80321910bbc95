"""Attempts of one request: first sends, hedges, retries and cancels."""

from typing import Any, Protocol

import attrs

from clementinebank.dispatch._actions import CancelCall, SendCall, TraceEvent
from clementinebank.dispatch._policy import DispatchPolicy
from clementinebank.dispatch._shards import Attempt, Shard, Timers
from clementinebank.errors import Execution, Failure, Step
from clementinebank.invariants import check, invariant
from clementinebank.routing import Router

# A retry always gains a shard, a hedge often gains nothing and a probe never
# helps its own query: the last tokens are kept in this order.
HEDGE_RESERVE = 3
PROBE_RESERVE = 10
# A small bucket keeps at most this share of it in reserve.
MAX_RESERVE_SHARE = 0.1
SHED = 'shed'
OVERLOADED = 'overloaded'
MAX_TRACE_EVENTS = 1000
MS_PER_S = 1000


@invariant('nothing-sent-after-deadline', 'R2')
def _is_before_deadline(now: float, deadline: float) -> bool:
    return now < deadline


@invariant('hedge-on-another-leaf', 'R2')
def _is_another_leaf(leaf_id: str, excluded: set[str]) -> bool:
    return leaf_id not in excluded


CallAction = SendCall | CancelCall


class Dispatched(Protocol):
    """What a dispatcher needs to know of a request."""

    @property
    def request_id(self) -> str:
        """Id of the request."""

    @property
    def deadline(self) -> float:
        """Runtime time in seconds after which nothing is sent."""


@attrs.frozen
class EndedAttempt:
    """An attempt that has ended, with its shard."""

    shard: Shard
    attempt: Attempt


@attrs.define(eq=False)
class Dispatcher:
    """Sends and cancels the attempts of one request.

    Parameters
    ----------
    request : Dispatched
        What the caller asked.
    router : Router
        Chooses the replicas and holds the budget.
    finish_at : float
        Runtime time in seconds after which nothing is sent.
    patience : float
        Hedge delays after which a shard is hopeless.
    policy : DispatchPolicy
        Limits of the attempts.
    """

    request: Dispatched
    router: Router
    started_at: float
    finish_at: float = 0
    patience: float = float('inf')
    policy: DispatchPolicy = DispatchPolicy()
    timers: Timers = attrs.Factory(Timers)
    trace_events: list[TraceEvent] = attrs.Factory(list)
    shards_by_attempt: dict[str, Shard] = attrs.Factory(dict)
    sent_count: int = 0
    not_run_count: int = 0

    @property
    def execution(self) -> Execution:
        """Return whether the caller's request was run by a leaf."""
        is_not_run = self.sent_count == self.not_run_count
        return Execution.NOT_RUN if is_not_run else Execution.UNKNOWN

    def open(self, shard: Shard, now: float) -> list[CallAction]:
        """Send the first request of a shard, and a probe if one is due."""
        if not shard.is_moved:
            self.router.budget_of(shard.group_id).on_request()
        shard.patient_until = now + self.policy.max_local_wait_s
        actions = self._send_or_wait(shard, now)
        if not actions or not self._may_repeat(shard):
            return actions
        probe = self.router.probe_target(shard.group_id, now)
        is_wanted = probe is not None and probe not in shard.excluded
        if probe and is_wanted and self._take(shard, PROBE_RESERVE):
            # A probe only repeats a request, so that a slow leaf delays no
            # query.
            self.trace(now, 'probe', leaf=probe)
            actions.append(self._send(shard, probe, now))
        return actions

    def on_due(self, shard: Shard, now: float) -> list[CallAction]:
        """Retry a shard that waits, or hedge one that is slow."""
        if shard.is_settled or now < shard.due_at:
            return []
        if shard.attempts_by_id:
            return self._hedge(shard, now)
        return self._send_or_wait(shard, now)

    def end_attempt(self, attempt_id: str) -> EndedAttempt | None:
        """Remove an attempt; ``None`` if it is not of this request any more."""
        shard = self.shards_by_attempt.pop(attempt_id, None)
        if shard is None:
            return None
        return EndedAttempt(shard, shard.attempts_by_id.pop(attempt_id))

    def on_failed(
        self, shard: Shard, leaf_id: str, failure: Failure, now: float
    ) -> list[CallAction]:
        """Retry a shard on another replica after a refusal or a failure."""
        self.trace(now, 'failed', leaf=leaf_id, reason=failure.code)
        shard.missing_reason = failure.code
        self.record_execution(shard, failure)
        is_unknown = failure.execution is not Execution.NOT_RUN
        if is_unknown and not self.policy.is_repeatable:
            return self.settle(shard, now)
        if failure.code == SHED and not shard.attempts_by_id:
            wait_s = self.router.wait_for_refused_s(
                shard.group_id, leaf_id, shard.excluded
            )
            if wait_s is not None:
                self._set_waiting(shard, is_waiting=True)
                self._wake(shard, now + wait_s)
                return []
        shard.failed.add(leaf_id)
        if shard.attempts_by_id:
            return []
        return self._send_or_wait(shard, now)

    def record_execution(self, shard: Shard, failure: Failure) -> None:
        """Count an attempt that no leaf has run."""
        if failure.execution is Execution.NOT_RUN:
            self.not_run_count += 1
            shard.not_run_count += 1
            # A call that failed before a byte was sent loads no leaf.
            shard.unsent_count += int(failure.step is Step.DISPATCH)

    def settle(
        self, shard: Shard, now: float, *, is_abandoned: bool = False
    ) -> list[CallAction]:
        """End a shard and cancel what is still outstanding for it.

        An overtaken attempt may go on as a probe of its leaf, but not when
        the caller has left.
        """
        shard.is_settled = True
        self._set_waiting(shard, is_waiting=False)
        actions: list[CallAction] = []
        for attempt in list(shard.attempts_by_id.values()):
            self.end_attempt(attempt.attempt_id)
            is_kept = self.router.on_cancel(
                attempt.leaf_id,
                now,
                now - attempt.sent_at,
                attempt.attempt_id,
                self.policy.profile,
            )
            if is_abandoned or not is_kept:
                actions.append(CancelCall(attempt.attempt_id, attempt.leaf_id))
        return actions

    def trace(self, now: float, event: str, **facts: Any) -> None:
        """Add an event to the trace of the query."""
        if len(self.trace_events) < MAX_TRACE_EVENTS:
            offset_ms = (now - self.started_at) * MS_PER_S
            self.trace_events.append(TraceEvent(offset_ms, event, facts))

    def _send_or_wait(self, shard: Shard, now: float) -> list[CallAction]:
        remaining_s = self.finish_at - now
        leaf_id = self.router.choose(
            shard.group_id,
            now,
            shard.excluded,
            remaining_s,
            is_patient=now < shard.patient_until,
        )
        is_retry = shard.sent_count > 0
        may_send = not is_retry or self._has_attempt_left(shard)
        if leaf_id is not None and may_send:
            is_extra = shard.sent_count > shard.unsent_count
            if not is_extra or self._take(shard):
                if is_retry:
                    self.trace(now, 'retry', leaf=leaf_id)
                return [self._send(shard, leaf_id, now)]
            if not self.policy.waits_for_budget:
                shard.missing_reason = f'{shard.missing_reason}, no budget'
                return self.settle(shard, now)
        if self._is_lost(shard, remaining_s, now):
            self.trace(
                now, 'lost', group=shard.group_id, reason=shard.missing_reason
            )
            return self.settle(shard, now)
        # A replica that refused may have room again later.
        shard.failed.clear()
        self._set_waiting(shard, is_waiting=True)
        self._wake(shard, now + self.policy.resend_interval_s)
        return []

    def _is_lost(self, shard: Shard, remaining_s: float, now: float) -> bool:
        # A service without extra load retries nothing, so that waiting for a
        # token would only delay the answer.
        is_retried = self.router.budget_of(shard.group_id).ratio > 0
        if shard.sent_count and not is_retried:
            return True
        if not self._has_attempt_left(shard):
            return True
        is_unoffered = shard.sent_count == shard.not_run_count
        if is_unoffered and now >= self.started_at + self.policy.offer_limit_s:
            shard.missing_reason = OVERLOADED
            return True
        if self.router.has_leaf(shard.group_id, remaining_s, shard.unserving):
            return False
        if not shard.sent_count:
            shard.missing_reason = 'no_leaf'
        return True

    def _has_attempt_left(self, shard: Shard) -> bool:
        """Return whether another leaf may run the request of a shard.

        A leaf that stated that it did not run it doesn't count, but the
        number of calls is bounded as well.
        """
        may_have_run = shard.sent_count - shard.not_run_count
        return (
            may_have_run < self.policy.max_attempts
            and shard.sent_count < self.policy.max_calls
        )

    def _may_repeat(self, shard: Shard) -> bool:
        return self.policy.is_repeatable and self._has_attempt_left(shard)

    def _hedge(self, shard: Shard, now: float) -> list[CallAction]:
        if shard.hedge_count >= self.policy.max_hedges:
            return []
        if not self._may_repeat(shard):
            return []
        leaf_id = self.router.choose(
            shard.group_id, now, shard.excluded, self.finish_at - now
        )
        if leaf_id is None or not self._take(shard, HEDGE_RESERVE):
            self._trace_denial(shard, leaf_id, now)
            self._wake(shard, now + self.policy.resend_interval_s)
            return []
        check(
            'hedge-on-another-leaf',
            self.request.request_id,
            leaf_id=leaf_id,
            excluded=shard.excluded,
        )
        shard.hedge_count += 1
        self.trace(now, 'hedge', leaf=leaf_id)
        return [self._send(shard, leaf_id, now)]

    def _trace_denial(
        self, shard: Shard, leaf_id: str | None, now: float
    ) -> None:
        """Record once for each shard why a hedge that is due is not sent."""
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
        check(
            'nothing-sent-after-deadline',
            self.request.request_id,
            now=now,
            deadline=self.request.deadline,
        )
        attempt_id = f'{self.request.request_id}.{self.sent_count}'
        self.sent_count += 1
        reasons = self.router.reasons_for(leaf_id)
        self.trace(now, 'sent', leaf=leaf_id, **reasons)
        self._set_waiting(shard, is_waiting=False)
        self.router.on_sent(leaf_id, now, self.request.request_id)
        delay_s = self.router.hedge_delay_s(
            leaf_id, self.policy.profile, self.policy.expected_s
        )
        if not shard.sent_count:
            shard.hopeless_at = now + self.patience * delay_s
            self.timers.add(shard.hopeless_at, shard)
        shard.sent_count += 1
        shard.attempts_by_id[attempt_id] = Attempt(attempt_id, leaf_id, now)
        self.shards_by_attempt[attempt_id] = shard
        self._wake(shard, now + delay_s)
        return shard.create_send(attempt_id, leaf_id)

    def _wake(self, shard: Shard, at: float) -> None:
        shard.due_at = at
        self.timers.add(at, shard)

    def _take(self, shard: Shard, reserve: int = 0) -> bool:
        budget = self.router.budget_of(shard.group_id)
        kept = min(reserve, MAX_RESERVE_SHARE * budget.capacity)
        return budget.take(1, self.request.request_id, kept)

    def _set_waiting(self, shard: Shard, *, is_waiting: bool) -> None:
        if shard.is_waiting != is_waiting:
            shard.is_waiting = is_waiting
            change = 1 if is_waiting else -1
            self.router.on_waiting(shard.group_id, change)
