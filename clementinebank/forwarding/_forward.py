"""The aggregate of one forwarded request, without I/O."""

from math import inf

import attrs

from clementinebank.dispatch import (
    Action,
    Dispatcher,
    DispatchPolicy,
    EndedAttempt,
    Finish,
    Refuse,
    TraceEvent,
)
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding._messages import (
    ForwardRequest,
    GatheredAnswer,
    LeafAnswer,
)
from clementinebank.forwarding._parts import PartShard, failure_of, may_relay
from clementinebank.forwarding._records import merge_greatest
from clementinebank.invariants import check
from clementinebank.routes import Gathering, Route
from clementinebank.routing import Router

# Kept before the deadline for the way of the answer to the caller.
CALLER_RESERVE_S = 0.012
# The objective counts from the caller's first packet: connect, request and
# answer take two round trips, besides the queues of this process. Answers
# that left 12 ms before the objective arrived up to 14 ms after it.
OBJECTIVE_RESERVE_S = 0.03
MAX_OBJECTIVE_RESERVE_SHARE = 0.25
# An overloaded route refuses within this share of its objective, so that the
# caller still has time for another instance.
OFFER_SHARE = 0.2
RESEND_INTERVAL_S = 0.004
# A leaf usually takes this share of the objective; the rest is for links,
# queues and one hedge.
EXPECTED_SHARE = 0.1
MAX_HEDGES = 1
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMEOUT = 504
SERVER_ERROR = 500


@attrs.define(eq=False)
class Forward:
    """State of one forwarded request from its start to its answer.

    Parameters
    ----------
    request : ForwardRequest
        What the caller asked.
    route : Route
        Route in force when the request arrived.
    services : tuple of str
        Services that get the request, all of one configuration.
    router : Router
        Chooses the replicas.
    """

    request: ForwardRequest
    route: Route
    services: tuple[str, ...]
    router: Router
    is_finished: bool = False
    dispatcher: Dispatcher = attrs.field(init=False)
    _answer_early_at: float = inf
    _shards_by_service: dict[str, PartShard] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the part that sends the attempts."""
        route = self.route
        policy = DispatchPolicy(
            is_repeatable=route.is_repeatable,
            max_attempts=route.max_attempts,
            max_hedges=MAX_HEDGES,
            resend_interval_s=RESEND_INTERVAL_S,
            max_local_wait_s=0,
            waits_for_budget=route.gathering is not None,
            offer_limit_s=self._offer_limit_s(),
            profile=route.name,
            expected_s=EXPECTED_SHARE * route.objective_s,
        )
        self.dispatcher = Dispatcher(
            self.request, self.router, 0, policy=policy
        )

    def _offer_limit_s(self) -> float:
        """Return how long to look for a leaf before a refusal.

        A gathering can be answered without a shard, so it looks on.
        """
        if self.route.gathering is not None:
            return inf
        return OFFER_SHARE * self.route.objective_s

    @property
    def next_wakeup(self) -> float:
        """Return the runtime time at which ``on_time`` is due."""
        return min(
            self._answer_early_at,
            self.dispatcher.finish_at,
            self.dispatcher.timers.next_at(),
        )

    @property
    def trace(self) -> list[TraceEvent]:
        """Return the events of the request so far."""
        return self.dispatcher.trace_events

    def start(self, now: float) -> list[Action]:
        """Send the request to one leaf of each service."""
        dispatcher = self.dispatcher
        dispatcher.started_at = now
        dispatcher.finish_at = min(
            self.request.deadline - CALLER_RESERVE_S,
            now + self.route.timeout_s,
        )
        if now >= dispatcher.finish_at:
            return self._refuse_unanswered(now)
        if self.route.gathering is not None:
            objective_s = self.route.objective_s
            reserve_s = min(
                OBJECTIVE_RESERVE_S, MAX_OBJECTIVE_RESERVE_SHARE * objective_s
            )
            self._answer_early_at = now + objective_s - reserve_s
        actions: list[Action] = []
        for service in self.services:
            shard = PartShard(service)
            self._shards_by_service[service] = shard
            actions.extend(dispatcher.open(shard, now))
        return actions + self._finish_if_done(now)

    def on_answer(
        self, attempt_id: str, answer: LeafAnswer, now: float
    ) -> list[Action]:
        """Take the response of a leaf; the first success of a shard wins."""
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        if answer.is_success or self._is_final(answer):
            return self._take_success(ended, answer, now)
        failure = failure_of(answer, ended.attempt.leaf_id)
        shard = self._shards_by_service[ended.shard.group_id]
        if answer.execution is Execution.RAN:
            shard.last_failure = answer
        return self._take_failure(ended, failure, now)

    def on_failure(
        self, attempt_id: str, failure: Failure, now: float
    ) -> list[Action]:
        """Take the failure of a call."""
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        return self._take_failure(ended, failure, now)

    def on_time(self, now: float) -> list[Action]:
        """Hedge and retry what is due; answer when the time is up."""
        if self.is_finished:
            return []
        if now >= self._answer_early_at:
            self._answer_early_at = inf
            self.dispatcher.trace(now, 'objective_reached')
        if now >= self.dispatcher.finish_at:
            return self._finish(now)
        actions: list[Action] = []
        for shard in self.dispatcher.timers.pop_due(now):
            actions.extend(self.dispatcher.on_due(shard, now))
        return actions + self._finish_if_done(now)

    def abandon(self, now: float) -> list[Action]:
        """Cancel everything because the caller is gone."""
        self.is_finished = True
        self.dispatcher.trace(now, 'abandoned')
        return self._settle_all(now, is_abandoned=True)

    def _is_final(self, answer: LeafAnswer) -> bool:
        """Return whether another leaf would answer the same.

        A shard of a gathering has only successes as its parts.
        """
        return (
            self.route.gathering is None
            and answer.execution is Execution.RAN
            and answer.response.status < SERVER_ERROR
            and may_relay(answer)
        )

    def _take_success(
        self, ended: EndedAttempt, answer: LeafAnswer, now: float
    ) -> list[Action]:
        shard = self._shards_by_service[ended.shard.group_id]
        shard.answer = answer
        shard.answered_by = ended.attempt.leaf_id
        self.dispatcher.trace(now, 'answer', leaf=ended.attempt.leaf_id)
        cancels = self.dispatcher.settle(shard, now)
        return [*cancels, *self._finish_if_done(now)]

    def _take_failure(
        self, ended: EndedAttempt, failure: Failure, now: float
    ) -> list[Action]:
        retries = self.dispatcher.on_failed(
            ended.shard, ended.attempt.leaf_id, failure, now
        )
        return [*retries, *self._finish_if_done(now)]

    def _finish_if_done(self, now: float) -> list[Action]:
        shards = self._shards_by_service.values()
        if all(shard.is_settled for shard in shards):
            return self._finish(now)
        gathering = self.route.gathering
        if gathering is None:
            return []
        lost = sum(
            shard.is_settled and not shard.is_answered for shard in shards
        )
        if not self._is_enough(len(shards) - lost, gathering):
            return self._finish(now)
        answered = sum(shard.is_answered for shard in shards)
        is_due = self._answer_early_at == inf
        if is_due and self._is_enough(answered, gathering):
            return self._finish(now)
        return []

    def _is_enough(self, count: int, gathering: Gathering) -> bool:
        """Return whether so many shards make a success."""
        return count > 0 and count >= gathering.min_share * len(self.services)

    def _finish(self, now: float) -> list[Action]:
        cancels = self._settle_all(now)
        shards = tuple(self._shards_by_service.values())
        gathering = self.route.gathering
        if gathering is not None:
            return [*cancels, *self._finish_gathering(gathering, now)]
        for shard in shards:
            relayed = shard.answer or shard.last_failure
            if relayed is not None and may_relay(relayed):
                self._end(now, 'relayed', status=relayed.response.status)
                return [*cancels, Finish(relayed)]
        return [*cancels, *self._refuse_unanswered(now)]

    def _finish_gathering(
        self, gathering: Gathering, now: float
    ) -> list[Action]:
        parts_by_service = {
            service: shard.answer
            for service, shard in self._shards_by_service.items()
            if shard.answer is not None
        }
        is_truthful = check(
            'parts-are-of-one-version',
            self.request.request_id,
            asked=gathering.services,
            answered=tuple(parts_by_service),
        )
        if not is_truthful or not self._is_enough(
            len(parts_by_service), gathering
        ):
            return self._refuse_unanswered(now)
        parts = parts_by_service.values()
        missing = len(self.services) - len(parts)
        self._end(now, 'gathered', missing=missing)
        return [
            Finish(
                GatheredAnswer(
                    tuple(part.signature for part in parts),
                    missing,
                    merge_greatest(
                        (part.response.body for part in parts),
                        gathering.max_records,
                    ),
                )
            )
        ]

    def _refuse_unanswered(self, now: float) -> list[Action]:
        execution = self.dispatcher.execution
        reasons = sorted(
            {
                shard.missing_reason
                for shard in self._shards_by_service.values()
                if not shard.is_answered
            }
        )
        status = UNAVAILABLE
        if execution is not Execution.NOT_RUN:
            is_late = now >= self.dispatcher.finish_at
            status = TIMEOUT if is_late else BAD_GATEWAY
        failure = Failure(
            'not_answered',
            ', '.join(reasons) or 'no time is left',
            Step.DISPATCH,
            execution=execution,
            status=status,
        )
        check(
            'forward-not-run-is-true',
            self.request.request_id,
            execution=execution,
            sent=self.dispatcher.sent_count,
            not_run=self.dispatcher.not_run_count,
        )
        self._end(now, 'refused', reason=failure.message, status=status)
        return [Refuse(failure)]

    def _end(self, now: float, event: str, **facts: object) -> None:
        check(
            'forward-answered-once',
            self.request.request_id,
            is_finished=self.is_finished,
        )
        check(
            'unsafe-request-runs-once',
            self.request.request_id,
            is_repeatable=self.route.is_repeatable,
            sent=self.dispatcher.sent_count,
            not_run=self.dispatcher.not_run_count,
        )
        self.is_finished = True
        self.dispatcher.trace(now, event, **facts)

    def _settle_all(
        self, now: float, *, is_abandoned: bool = False
    ) -> list[Action]:
        actions: list[Action] = []
        for shard in self._shards_by_service.values():
            settled = self.dispatcher.settle(
                shard, now, is_abandoned=is_abandoned
            )
            actions.extend(settled)
        return actions
