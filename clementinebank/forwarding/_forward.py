"""State machine of one forwarded request, without I/O."""

from collections.abc import Collection
from math import inf

import attrs

from clementinebank.dispatch import (
    RATE_LIMITED_REASON,
    TURNED_AWAY_REASON,
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
    LeafResponse,
    MergedAnswer,
)
from clementinebank.forwarding._records import merge_greatest
from clementinebank.forwarding._shards import (
    ServiceShard,
    failure_from_response,
    may_relay,
)
from clementinebank.invariants import check
from clementinebank.routes import Route, ScatterGather
from clementinebank.routing import Router

# Time kept free before the deadline, in which the answer reaches the caller.
CALLER_RESERVE_S = 0.012
# Time kept free before the latency objective of the route, in which a partial
# answer reaches the caller. Callers measure from their first packet, so
# connect, request and answer add two round trips and the time in the queues of
# this process. Answers that were sent 12 ms before the latency objective
# arrived up to 14 ms after it.
OBJECTIVE_RESERVE_S = 0.03
# Upper bound of the time above as a share of the latency objective, so that a
# short objective leaves time for the leafs.
MAX_OBJECTIVE_RESERVE_SHARE = 0.25
# Share of the latency objective after which a request that no leaf accepts is
# refused, so that the caller still has time to try another instance.
MAX_UNACCEPTED_SHARE = 0.2
# Time until a shard without a free leaf or a token for a retry is tried again.
RESEND_INTERVAL_S = 0.004
# Share of the latency objective within which a leaf is expected to answer while
# no latencies of the route are known; the rest is for links, queues and one
# hedge.
EXPECTED_LATENCY_SHARE = 0.1
# Longest time after which a caller is asked to try again.
MAX_RETRY_AFTER_S = 2.0
# Hedges of one shard.
MAX_HEDGES = 1
# HTTP statuses.
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMEOUT = 504
# Lowest HTTP status of a server error.
SERVER_ERROR = 500


@attrs.define(eq=False)
class ForwardStateMachine:
    """State of one forwarded request from its start to its answer.

    Parameters
    ----------
    request : ForwardRequest
        Request of the caller.
    route : Route
        Route in force when the request arrived.
    services : tuple of str
        Services that get the request, all of the same configuration version.
    router : Router
        Chooses the leafs.
    is_finished : bool
        Whether the request has been answered, refused or abandoned.
    dispatcher : Dispatcher
        Sends the attempts and holds the trace.
    """

    request: ForwardRequest
    route: Route
    services: tuple[str, ...]
    router: Router
    is_finished: bool = False
    dispatcher: Dispatcher = attrs.field(init=False)
    # Runtime time from which a scatter-gather request may get a partial answer;
    # infinity once this time has passed, and for other routes.
    _partial_answer_at: float = inf
    _shards_by_service: dict[str, ServiceShard] = attrs.Factory(dict)

    def __attrs_post_init__(self) -> None:
        """Create the dispatcher with the limits of the route."""
        route = self.route
        policy = DispatchPolicy(
            is_repeatable=route.is_repeatable,
            max_attempts=route.max_attempts,
            max_hedges=MAX_HEDGES,
            resend_interval_s=RESEND_INTERVAL_S,
            max_local_wait_s=0,
            waits_for_budget=route.scatter_gather is not None,
            max_unaccepted_s=self._max_unaccepted_s(),
            profile=route.name,
            expected_s=EXPECTED_LATENCY_SHARE * route.objective_s,
            max_turned_away_s=MAX_UNACCEPTED_SHARE * route.objective_s,
            regions=self.request.regions,
        )
        self.dispatcher = Dispatcher(
            self.request, self.router, 0, policy=policy
        )

    def _max_unaccepted_s(self) -> float:
        """Return the seconds after which a shard that no leaf ran is given up.

        Infinity for a scatter-gather route: its requests can be answered
        without the shard, so it is tried until the request ends.
        """
        if self.route.scatter_gather is not None:
            return inf
        return MAX_UNACCEPTED_SHARE * self.route.objective_s

    @property
    def next_wakeup(self) -> float:
        """Return the runtime time in seconds at which ``on_time`` is due."""
        return min(
            self._partial_answer_at,
            self.dispatcher.finish_at,
            self.dispatcher.timers.next_at(),
        )

    @property
    def trace(self) -> list[TraceEvent]:
        """Return the events of the request so far."""
        return self.dispatcher.trace_events

    def start(self, now: float) -> list[Action]:
        """Send the request to one leaf of each service.

        The request is refused if its deadline leaves no time for an attempt.
        """
        dispatcher = self.dispatcher
        dispatcher.started_at = now
        dispatcher.finish_at = min(
            self.request.deadline - CALLER_RESERVE_S,
            now + self.route.timeout_s,
        )
        if now >= dispatcher.finish_at:
            return self._refuse_unanswered(now)
        if self.route.scatter_gather is not None:
            objective_s = self.route.objective_s
            reserve_s = min(
                OBJECTIVE_RESERVE_S, MAX_OBJECTIVE_RESERVE_SHARE * objective_s
            )
            self._partial_answer_at = now + objective_s - reserve_s
            if self._is_beyond_limits(self.route.scatter_gather, now):
                return self._refuse_unanswered(now)
        actions: list[Action] = []
        for service in self.services:
            shard = ServiceShard(service)
            self._shards_by_service[service] = shard
            actions.extend(dispatcher.start_shard(shard, now))
        return actions + self._finish_if_done(now)

    def on_response(
        self, attempt_id: str, leaf_response: LeafResponse, now: float
    ) -> list[Action]:
        """Handle the response of a leaf to an attempt.

        The first success or final response is the answer of its shard; after
        a failure the shard is retried if its limits and the budget permit it.
        A response to an attempt that has already ended changes nothing.
        """
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        if leaf_response.is_success or self._is_final(leaf_response):
            return self._handle_success(ended, leaf_response, now)
        failure = failure_from_response(leaf_response, ended.attempt.leaf_id)
        shard = self._shards_by_service[ended.shard.group_id]
        if leaf_response.execution is Execution.RAN:
            shard.last_failure = leaf_response
        return self._handle_failure(ended, failure, now)

    def on_failure(
        self, attempt_id: str, failure: Failure, now: float
    ) -> list[Action]:
        """Handle a failed attempt; retry its shard if permitted."""
        ended = self.dispatcher.end_attempt(attempt_id)
        if self.is_finished or ended is None:
            return []
        return self._handle_failure(ended, failure, now)

    def on_time(self, now: float) -> list[Action]:
        """Hedge and retry the shards that are due; finish at the deadline.

        From shortly before its latency objective on, a scatter-gather request
        finishes as soon as enough shards have answered.
        """
        if self.is_finished:
            return []
        if now >= self._partial_answer_at:
            self._partial_answer_at = inf
            self.dispatcher.trace(now, 'objective_reached')
        if now >= self.dispatcher.finish_at:
            return self._finish(now)
        actions: list[Action] = []
        for shard in self.dispatcher.timers.pop_due(now):
            actions.extend(self.dispatcher.on_due(shard, now))
        return actions + self._finish_if_done(now)

    def abandon(self, now: float) -> list[Action]:
        """End the request and cancel its attempts: the caller has left."""
        self.is_finished = True
        self.dispatcher.trace(now, 'abandoned')
        return self._end_all_shards(now, is_abandoned=True)

    def _is_beyond_limits(
        self, scatter_gather: ScatterGather, now: float
    ) -> bool:
        """Return whether too few shards take requests for an answer.

        The leafs of the others are at their rate limits or want nothing for a
        time.

        Such a request would use up tokens of the other shards for nothing. The
        demand of the shards without a token is recorded, so that they have one
        for a later request.
        """
        if not self.router.has_closed_leafs:
            return False
        waits_s_by_service = {
            service: self.router.next_opening_s(service, now)
            for service in self.services
        }
        wait_s = next(
            wait_s
            for count, wait_s in enumerate(
                sorted(waits_s_by_service.values()), start=1
            )
            if self._is_enough(count, scatter_gather)
        )
        if wait_s <= MAX_UNACCEPTED_SHARE * self.route.objective_s:
            return False
        self.dispatcher.token_wait_s = wait_s
        for service, service_wait_s in waits_s_by_service.items():
            if service_wait_s:
                self.router.record_missed(service, now)
                is_turned_away = self.router.turned_away_s(service, now) > 0
                self._shards_by_service[service] = ServiceShard(
                    service,
                    missing_reason=(
                        TURNED_AWAY_REASON
                        if is_turned_away
                        else RATE_LIMITED_REASON
                    ),
                )
        return True

    def _is_final(self, leaf_response: LeafResponse) -> bool:
        """Return whether an unsuccessful response is the answer of its shard.

        True if a leaf ran the request, its status is below 500 and it may be
        relayed: another leaf would answer the same. Never true for a
        scatter-gather route, which merges successes only.
        """
        return (
            self.route.scatter_gather is None
            and leaf_response.execution is Execution.RAN
            and leaf_response.response.status < SERVER_ERROR
            and may_relay(leaf_response)
        )

    def _handle_success(
        self, ended: EndedAttempt, leaf_response: LeafResponse, now: float
    ) -> list[Action]:
        shard = self._shards_by_service[ended.shard.group_id]
        shard.answer = leaf_response
        shard.answered_by = ended.attempt.leaf_id
        self.dispatcher.trace(now, 'answer', leaf=ended.attempt.leaf_id)
        cancels = self.dispatcher.end_shard(shard, now)
        return [*cancels, *self._finish_if_done(now)]

    def _handle_failure(
        self, ended: EndedAttempt, failure: Failure, now: float
    ) -> list[Action]:
        retries = self.dispatcher.on_failure(
            ended.shard, ended.attempt.leaf_id, failure, now
        )
        return [*retries, *self._finish_if_done(now)]

    def _finish_if_done(self, now: float) -> list[Action]:
        """Finish the request if further waiting can't improve its answer.

        This is so when every shard has ended. A scatter-gather request also
        finishes when too many shards are lost to reach the minimum share of
        the route, or when the minimum is reached and partial answers are
        allowed, which is from shortly before the latency objective on.
        """
        shards = self._shards_by_service.values()
        if all(shard.is_ended for shard in shards):
            return self._finish(now)
        scatter_gather = self.route.scatter_gather
        if scatter_gather is None:
            return []
        lost_count = sum(
            shard.is_ended and not shard.is_answered for shard in shards
        )
        if not self._is_enough(len(shards) - lost_count, scatter_gather):
            return self._finish(now)
        answered_count = sum(shard.is_answered for shard in shards)
        is_partial_allowed = self._partial_answer_at == inf
        if is_partial_allowed and self._is_enough(
            answered_count, scatter_gather
        ):
            return self._finish(now)
        return []

    def _is_enough(self, count: int, scatter_gather: ScatterGather) -> bool:
        """Return whether this many answered shards suffice for a success."""
        return count > 0 and count >= scatter_gather.min_share * len(
            self.services
        )

    def _finish(self, now: float) -> list[Action]:
        """End every shard; answer with what has arrived, or refuse."""
        cancels = self._end_all_shards(now)
        shards = tuple(self._shards_by_service.values())
        scatter_gather = self.route.scatter_gather
        if scatter_gather is not None:
            return [*cancels, *self._finish_scatter_gather(scatter_gather, now)]
        for shard in shards:
            candidate = shard.answer or shard.last_failure
            if candidate is not None and may_relay(candidate):
                self._record_end(
                    now, 'relayed', status=candidate.response.status
                )
                return [*cancels, Finish(candidate)]
        return [*cancels, *self._refuse_unanswered(now)]

    def _finish_scatter_gather(
        self, scatter_gather: ScatterGather, now: float
    ) -> list[Action]:
        """Answer with the merged records, or refuse if too many are missing."""
        responses_by_service = {
            service: shard.answer
            for service, shard in self._shards_by_service.items()
            if shard.answer is not None
        }
        is_consistent = check(
            'parts-are-of-one-version',
            self.request.request_id,
            asked=scatter_gather.services,
            answered=tuple(responses_by_service),
        )
        if not is_consistent or not self._is_enough(
            len(responses_by_service), scatter_gather
        ):
            return self._refuse_unanswered(now)
        responses = responses_by_service.values()
        missing = len(self.services) - len(responses)
        self._record_end(now, 'gathered', missing=missing)
        return [
            Finish(
                MergedAnswer(
                    tuple(each.signature for each in responses),
                    missing,
                    merge_greatest(
                        (each.response.body for each in responses),
                        scatter_gather.max_records,
                    ),
                )
            )
        ]

    def _refuse_unanswered(self, now: float) -> list[Action]:
        """Refuse the request and state whether a leaf may have run it."""
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
            retry_after_s=self._retry_after_s(reasons),
        )
        check(
            'forward-not-run-is-true',
            self.request.request_id,
            execution=execution,
            sent=self.dispatcher.sent_count,
            not_run=self.dispatcher.not_run_count,
        )
        self._record_end(now, 'refused', reason=failure.message, status=status)
        return [Refuse(failure)]

    def _retry_after_s(self, reasons: Collection[str]) -> float | None:
        """Return when a leaf that takes nothing now may take a request."""
        if {RATE_LIMITED_REASON, TURNED_AWAY_REASON}.isdisjoint(reasons):
            return None
        return min(MAX_RETRY_AFTER_S, self.dispatcher.token_wait_s)

    def _record_end(self, now: float, event: str, **facts: object) -> None:
        """Check the invariants, mark the request as finished and trace it."""
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

    def _end_all_shards(
        self, now: float, *, is_abandoned: bool = False
    ) -> list[Action]:
        """End every shard; return the cancels of its outstanding attempts."""
        actions: list[Action] = []
        for shard in self._shards_by_service.values():
            cancels = self.dispatcher.end_shard(
                shard, now, is_abandoned=is_abandoned
            )
            actions.extend(cancels)
        return actions
