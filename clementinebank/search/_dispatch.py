"""Shard requests of one query: first sends, hedges, retries and cancels."""

from typing import Any

import attrs

from clementinebank.errors import Execution, Failure
from clementinebank.invariants import check, invariant
from clementinebank.routing import Router
from clementinebank.search._actions import (
    Action,
    CancelShard,
    SendShard,
    TraceEvent,
)
from clementinebank.search._messages import SearchRequest
from clementinebank.search._shards import Attempt, Shard, Timers

# Time until a shard that found no room or no token is tried again.
RESEND_INTERVAL_S = 0.002
# A shard waits this long for a leaf of which this instance holds its share of
# the slots; a longer wait is usually behind a straggler.
MAX_LOCAL_WAIT_S = 0.008
# A retry always gains a shard, a hedge often gains nothing and a probe never
# helps its own query: the last tokens are kept in this order.
HEDGE_RESERVE = 3
PROBE_RESERVE = 10
MAX_ATTEMPTS = 6
SHED = 'shed'
MAX_HEDGES = 2
MAX_TRACE_EVENTS = 1000
MS_PER_S = 1000


@invariant('nothing-sent-after-deadline', 'R2')
def _is_before_deadline(now: float, deadline: float) -> bool:
    return now < deadline


@invariant('hedge-on-another-leaf', 'R2')
def _is_another_leaf(leaf_id: str, excluded: set[str]) -> bool:
    return leaf_id not in excluded


@attrs.define(eq=False)
class Dispatcher:
    """Sends and cancels the shard requests of one query.

    Parameters
    ----------
    request : SearchRequest
        What the caller asked.
    router : Router
        Chooses the replicas and holds the budget.
    finish_at : float
        Runtime time in seconds after which nothing is sent.
    patience : float
        Hedge delays after which a shard is hopeless.
    """

    request: SearchRequest
    router: Router
    started_at: float
    finish_at: float = 0
    patience: float = float('inf')
    snapshot: str = ''
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

    def open(self, shard: Shard, now: float) -> list[Action]:
        """Send the first request of a shard, and a probe if one is due."""
        if not shard.is_moved:
            self.router.budget.on_request()
        shard.patient_until = now + MAX_LOCAL_WAIT_S
        actions = self._send_or_wait(shard, now)
        probe = self.router.probe_target(shard.group_id, now)
        is_wanted = probe is not None and probe not in shard.excluded
        if actions and probe and is_wanted and self._take(1, PROBE_RESERVE):
            # A probe only repeats a request, so that a slow leaf delays no
            # query.
            self.trace(now, 'probe', leaf=probe)
            actions.append(self._send(shard, probe, now))
        return actions

    def on_due(self, shard: Shard, now: float) -> list[Action]:
        """Retry a shard that waits, or hedge one that is slow."""
        if shard.is_settled or now < shard.due_at:
            return []
        if shard.attempts_by_id:
            return self._hedge(shard, now)
        return self._send_or_wait(shard, now)

    def end_attempt(self, attempt_id: str) -> tuple[Shard, Attempt] | None:
        """Remove an attempt; ``None`` if it is not of this query any more."""
        shard = self.shards_by_attempt.pop(attempt_id, None)
        if shard is None:
            return None
        return shard, shard.attempts_by_id.pop(attempt_id)

    def on_failed(
        self, shard: Shard, leaf_id: str, failure: Failure, now: float
    ) -> list[Action]:
        """Retry a shard on another replica after a refusal or a failure."""
        self.trace(now, 'failed', leaf=leaf_id, reason=failure.code)
        shard.missing_reason = failure.code
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

    def settle(self, shard: Shard, now: float) -> list[Action]:
        """End a shard and cancel what is still outstanding for it."""
        shard.is_settled = True
        self._set_waiting(shard, is_waiting=False)
        actions: list[Action] = []
        for attempt in list(shard.attempts_by_id.values()):
            self.end_attempt(attempt.attempt_id)
            self.router.on_cancel(attempt.leaf_id, now, now - attempt.sent_at)
            actions.append(CancelShard(attempt.attempt_id, attempt.leaf_id))
        return actions

    def trace(self, now: float, event: str, **facts: Any) -> None:
        """Add an event to the trace of the query."""
        if len(self.trace_events) < MAX_TRACE_EVENTS:
            offset_ms = (now - self.started_at) * MS_PER_S
            self.trace_events.append(TraceEvent(offset_ms, event, facts))

    def _send_or_wait(self, shard: Shard, now: float) -> list[Action]:
        remaining_s = self.finish_at - now
        leaf_id = self.router.choose(
            shard.group_id,
            now,
            shard.excluded,
            remaining_s,
            is_patient=now < shard.patient_until,
        )
        is_retry = shard.sent_count > 0
        if leaf_id is not None and (not is_retry or self._take(1)):
            if is_retry:
                self.trace(now, 'retry', leaf=leaf_id)
            return [self._send(shard, leaf_id, now)]
        if self._is_lost(shard, remaining_s):
            return self.settle(shard, now)
        # A replica that refused may have room again later.
        shard.failed.clear()
        self._set_waiting(shard, is_waiting=True)
        self._wake(shard, now + RESEND_INTERVAL_S)
        return []

    def _is_lost(self, shard: Shard, remaining_s: float) -> bool:
        # A service without extra load retries nothing, so that waiting for a
        # token would only delay the answer.
        is_retried = self.router.budget.ratio > 0
        if shard.sent_count >= (MAX_ATTEMPTS if is_retried else 1):
            return True
        if self.router.has_leaf(shard.group_id, remaining_s, shard.unserving):
            return False
        if not shard.sent_count:
            shard.missing_reason = 'no_leaf'
        return True

    def _hedge(self, shard: Shard, now: float) -> list[Action]:
        if shard.hedge_count >= MAX_HEDGES:
            return []
        leaf_id = self.router.choose(
            shard.group_id, now, shard.excluded, self.finish_at - now
        )
        if leaf_id is None or not self._take(1, HEDGE_RESERVE):
            self._wake(shard, now + RESEND_INTERVAL_S)
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

    def _send(self, shard: Shard, leaf_id: str, now: float) -> SendShard:
        check(
            'nothing-sent-after-deadline',
            self.request.request_id,
            now=now,
            deadline=self.request.deadline,
        )
        attempt_id = f'{self.request.request_id}.{self.sent_count}'
        self.sent_count += 1
        self.trace(now, 'sent', leaf=leaf_id)
        self._set_waiting(shard, is_waiting=False)
        self.router.on_sent(leaf_id, now, self.request.request_id)
        delay_s = self.router.hedge_delay_s(leaf_id)
        if not shard.sent_count:
            shard.hopeless_at = now + self.patience * delay_s
            self.timers.add(shard.hopeless_at, shard)
        shard.sent_count += 1
        shard.attempts_by_id[attempt_id] = Attempt(attempt_id, leaf_id, now)
        self.shards_by_attempt[attempt_id] = shard
        self._wake(shard, now + delay_s)
        return SendShard(
            attempt_id,
            shard.group_id,
            leaf_id,
            self.snapshot,
            shard.partitions,
        )

    def _wake(self, shard: Shard, at: float) -> None:
        shard.due_at = at
        self.timers.add(at, shard)

    def _take(self, token_count: int, reserve: int = 0) -> bool:
        return self.router.budget.take(
            token_count, self.request.request_id, reserve
        )

    def _set_waiting(self, shard: Shard, *, is_waiting: bool) -> None:
        if shard.is_waiting != is_waiting:
            shard.is_waiting = is_waiting
            change = 1 if is_waiting else -1
            self.router.on_waiting(shard.group_id, change)
