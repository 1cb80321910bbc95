"""Decisions about one request that other instances may gather."""

from collections.abc import Sequence
from math import inf
from typing import Any

import attrs

from clementinebank.dispatch import Finish, Refuse, TraceEvent
from clementinebank.errors import Execution, Failure, Step
from clementinebank.invariants import check, invariant
from clementinebank.validation import Address

MS_PER_S = 1000
# HTTP statuses.
BAD_GATEWAY = 502
UNAVAILABLE = 503
TIMEOUT = 504


@invariant('delegated-answered-once', 'R3')
def _is_first_end(is_finished: bool) -> bool:
    return not is_finished


@attrs.frozen
class AskAggregator:
    """Action that asks an aggregator to gather the request.

    Parameters
    ----------
    attempt_id : int
        Number of the attempt.
    address : Address
        Where the aggregator answers.
    is_repeat : bool
        Whether leafs may have got the request from an earlier attempt.
    """

    attempt_id: int
    address: Address
    is_repeat: bool


@attrs.frozen
class GatherLocally:
    """Action that gathers the request on this instance."""

    attempt_id: int
    is_repeat: bool


@attrs.frozen
class DropAttempt:
    """Action that cancels an attempt."""

    attempt_id: int


@attrs.frozen
class PauseAggregator:
    """Action that reports an aggregator as failed or silent."""

    address: Address
    reason: str


DelegationAction = (
    AskAggregator
    | GatherLocally
    | DropAttempt
    | PauseAggregator
    | Finish
    | Refuse
)


@attrs.define
class _Attempt:
    attempt_id: int
    address: Address | None
    accept_before: float


@attrs.define(eq=False)
class Delegation:
    """State of one request that aggregators are asked to gather.

    The aggregators are asked one after the other. The next one is asked when
    one refuses, fails, or doesn't accept the request in time; then this
    instance gathers the answers itself. An attempt that may have reached leafs
    makes the following ones repeats, which the budget of extra requests pays.

    Parameters
    ----------
    candidates : sequence of Address
        Aggregators in the order in which they are asked.
    accept_timeout_s : float
        Time within which an aggregator accepts the request, in seconds.
    retry_until : float
        Runtime time in seconds until which a gathering that failed is tried
        again elsewhere; later the answer has little value left.
    finish_at : float
        Runtime time in seconds at which the request ends.
    started_at : float
        Runtime time in seconds at which the request began.
    is_finished : bool
        Whether the request has been answered or refused.
    trace : list of TraceEvent
        Events of the request so far.
    """

    candidates: Sequence[Address]
    accept_timeout_s: float
    retry_until: float
    finish_at: float
    started_at: float
    is_finished: bool = False
    trace: list[TraceEvent] = attrs.Factory(list)
    _attempts_by_id: dict[int, _Attempt] = attrs.Factory(dict)
    _attempt_count: int = 0
    _is_local_started: bool = False
    _may_have_run: bool = False
    _last_failure: Failure | None = None

    @property
    def next_wakeup(self) -> float:
        """Return the runtime time in seconds at which ``on_time`` is due."""
        accept_times = (
            attempt.accept_before for attempt in self._attempts_by_id.values()
        )
        return min(self.finish_at, *accept_times, inf)

    def start(self, now: float) -> list[DelegationAction]:
        """Ask the first aggregator."""
        return self._try_next(now)

    def on_accepted(self, attempt_id: int, now: float) -> None:
        """Record that an aggregator has begun to gather the request."""
        attempt = self._attempts_by_id.get(attempt_id)
        if attempt is not None:
            attempt.accept_before = inf
            self._trace(now, 'accepted', aggregator=str(attempt.address))

    def on_answer(
        self, attempt_id: int, answer: Any, now: float
    ) -> list[DelegationAction]:
        """Finish with the first answer and drop all other attempts."""
        self._attempts_by_id.pop(attempt_id, None)
        if self.is_finished:
            return []
        self._trace(now, 'gathered', missing=answer.missing)
        return [*self._drop_all(), *self._end(Finish(answer))]

    def on_failure(
        self, attempt_id: int, failure: Failure, now: float
    ) -> list[DelegationAction]:
        """Handle an attempt that failed or that an aggregator refused.

        Parameters
        ----------
        attempt_id : int
            The attempt.
        failure : Failure
            Why it has no answer, and whether leafs may have run the request.
        now : float
            Runtime time in seconds.
        """
        attempt = self._attempts_by_id.pop(attempt_id, None)
        if attempt is None or self.is_finished:
            return []
        self._trace(
            now,
            'attempt_failed',
            aggregator=str(attempt.address),
            reason=failure.code,
        )
        self._last_failure = failure
        if failure.execution is not Execution.NOT_RUN:
            self._may_have_run = True
        if self._attempts_by_id:
            return []
        if self._may_have_run and now >= self.retry_until:
            return self._refuse(now)
        return self._try_next(now)

    def on_time(self, now: float) -> list[DelegationAction]:
        """Ask the next aggregator if one is silent; refuse at the end."""
        if self.is_finished:
            return []
        if now >= self.finish_at:
            return [*self._drop_all(), *self._refuse(now)]
        actions: list[DelegationAction] = []
        for attempt in list(self._attempts_by_id.values()):
            if attempt.address is not None and now >= attempt.accept_before:
                actions.extend(self._overtake(attempt, now))
        return actions

    def _overtake(
        self, attempt: _Attempt, now: float
    ) -> list[DelegationAction]:
        """Try the next instance beside an aggregator that stays silent."""
        attempt.accept_before = inf
        self._may_have_run = True
        self._trace(now, 'not_accepted', aggregator=str(attempt.address))
        pauses: list[DelegationAction] = []
        if attempt.address is not None:
            pauses.append(PauseAggregator(attempt.address, 'not accepted'))
        return pauses + self._try_next(now)

    def _try_next(self, now: float) -> list[DelegationAction]:
        """Start the next attempt; refuse if none is left or outstanding."""
        attempt_id = self._attempt_count
        if attempt_id < len(self.candidates):
            address = self.candidates[attempt_id]
            self._add_attempt(address, now + self.accept_timeout_s)
            self._trace(now, 'delegated', aggregator=str(address))
            return [AskAggregator(attempt_id, address, self._may_have_run)]
        if not self._is_local_started:
            self._is_local_started = True
            self._add_attempt(None, inf)
            self._trace(now, 'gathers_locally', is_repeat=self._may_have_run)
            return [GatherLocally(attempt_id, self._may_have_run)]
        return [] if self._attempts_by_id else self._refuse(now)

    def _add_attempt(self, address: Address | None, before: float) -> None:
        attempt = _Attempt(self._attempt_count, address, before)
        self._attempts_by_id[attempt.attempt_id] = attempt
        self._attempt_count += 1

    def _drop_all(self) -> list[DelegationAction]:
        dropped = list(self._attempts_by_id)
        # An attempt that is dropped may have reached leafs.
        self._may_have_run = self._may_have_run or bool(dropped)
        self._attempts_by_id.clear()
        return [DropAttempt(attempt_id) for attempt_id in dropped]

    def _refuse(self, now: float) -> list[DelegationAction]:
        """Refuse and state whether leafs may have run the request."""
        status = UNAVAILABLE
        if self._may_have_run:
            status = TIMEOUT if now >= self.finish_at else BAD_GATEWAY
        last = self._last_failure
        failure = Failure(
            'not_answered',
            last.message if last else 'no time is left',
            Step.DISPATCH,
            execution=(
                Execution.UNKNOWN if self._may_have_run else Execution.NOT_RUN
            ),
            status=status,
        )
        self._trace(now, 'refused', reason=failure.message, status=status)
        return self._end(Refuse(failure))

    def _end(self, action: Finish | Refuse) -> list[DelegationAction]:
        check('delegated-answered-once', '', is_finished=self.is_finished)
        self.is_finished = True
        return [action]

    def _trace(self, now: float, event: str, **facts: object) -> None:
        offset_ms = (now - self.started_at) * MS_PER_S
        self.trace.append(TraceEvent(offset_ms, event, facts))
