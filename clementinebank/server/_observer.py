"""Records what became of each request of a caller."""

import json
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any

import attrs

from clementinebank.clock import now, wall_time
from clementinebank.document import Objectives
from clementinebank.http import HttpResponse
from clementinebank.metrics import AnswerFacts, Metrics, SlotRing, names
from clementinebank.search import SearchAnswer
from clementinebank.server._traces import RequestTrace, TraceLog

MS_PER_S = 1000
CLIENT_ERROR = 400
SERVER_ERROR = 500
UNKNOWN_SERVICE = 'unknown'
OTHER_EVENT = 'other'


@attrs.define(eq=False)
class Observation:
    """One request while it is handled.

    Parameters
    ----------
    request_id, service : str
        As the caller named them.
    objectives : Objectives or None
        Of the service; ``None`` if there is no such service.
    answer : SearchAnswer or None
        Answer to a search.
    response : HttpResponse or None
        Response; ``None`` if the handler raised an exception.
    events : tuple
        Typed events of the query.
    shard_counts : Counter
        Shards of the answer by yard and the reason why they are missing.
    """

    request_id: str
    service: str
    objectives: Objectives | None
    started: float = attrs.Factory(now)
    received_at: float = attrs.Factory(wall_time)
    answer: SearchAnswer | None = None
    response: HttpResponse | None = None
    events: tuple[Any, ...] = ()
    shard_counts: Counter[tuple[str, str | None]] = attrs.Factory(Counter)

    def take_answer(self, answer: SearchAnswer) -> None:
        """Take the answer to a search; its shards are counted once."""
        self.answer = answer
        shards = answer.coverage.shards_by_group.values()
        self.shard_counts = Counter(
            [(shard.yard, shard.missing_reason) for shard in shards]
        )

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return self.response.status if self.response else SERVER_ERROR

    @property
    def outcome(self) -> str:
        """Return the outcome as it is counted."""
        if self.response is None or self.status == SERVER_ERROR:
            return 'failed'
        return 'answered' if self.status < CLIENT_ERROR else 'refused'

    @property
    def label(self) -> str:
        """Return the service as a label that callers cannot invent."""
        return self.service if self.objectives else UNKNOWN_SERVICE

    @property
    def error(self) -> dict[str, Any]:
        """Return the error that is sent, empty for an answer."""
        if self.response is None or self.outcome == 'answered':
            return {}
        return error_of(self.response)


_CURRENT: ContextVar[Observation] = ContextVar('observation')


def current_observation() -> Observation:
    """Return the observation of the request that this task handles.

    Raises
    ------
    LookupError
        If the task handles none.
    """
    return _CURRENT.get()


@attrs.define(eq=False)
class Observer:
    """Feeds metrics, traces and the slots of the burn report."""

    metrics: Metrics = attrs.Factory(Metrics)
    traces: TraceLog = attrs.Factory(TraceLog)
    rings_by_service: dict[str, SlotRing] = attrs.Factory(dict)
    recording_since: float = attrs.Factory(wall_time)

    @contextmanager
    def observe(
        self, request_id: str, service: str, objectives: Objectives | None
    ) -> Iterator[Observation]:
        """Record one request when its block ends, also by an exception."""
        observation = Observation(request_id, service, objectives)
        token = _CURRENT.set(observation)
        try:
            yield observation
        finally:
            _CURRENT.reset(token)
            self._record(observation)

    def on_trace(self, request_id: str, events: Iterable[Any]) -> None:
        """Take the events of the query that this task has run."""
        current_observation().events = tuple(events)

    def _record(self, seen: Observation) -> None:
        elapsed_ms = (now() - seen.started) * MS_PER_S
        label = seen.label
        self.metrics.record_ms(names.LATENCY, elapsed_ms, service=label)
        self.metrics.add(names.REQUESTS, service=label, outcome=seen.outcome)
        for kind, count in Counter(map(_kind_of, seen.events)).items():
            self.metrics.add(
                names.QUERY_EVENTS, count, service=label, event=kind
            )
        if seen.answer is not None:
            self._count_answer(label, seen, seen.answer)
        if seen.objectives is not None:
            self._count_slot(seen, seen.objectives, elapsed_ms)
        self.traces.add(
            RequestTrace(
                seen.request_id,
                seen.service,
                seen.received_at,
                elapsed_ms,
                seen.outcome,
                seen.status,
                seen.answer.snapshot if seen.answer else None,
                seen.answer.coverage if seen.answer else None,
                seen.error,
                seen.events,
            )
        )

    def _count_answer(
        self, label: str, seen: Observation, answer: SearchAnswer
    ) -> None:
        is_complete = json.dumps(answer.coverage.is_complete)
        self.metrics.add(names.ANSWERS, service=label, complete=is_complete)
        for (yard, reason), count in seen.shard_counts.items():
            self.metrics.add(
                names.SHARDS,
                count,
                service=label,
                yard=yard,
                answered=json.dumps(reason is None),
            )
            if reason is not None:
                self.metrics.add(
                    names.LEAF_FAILURES, count, service=label, reason=reason
                )

    def _count_slot(
        self, seen: Observation, objectives: Objectives, elapsed_ms: float
    ) -> None:
        """Count what spends a budget; faults of the caller do not."""
        is_failed = seen.status >= SERVER_ERROR
        if seen.outcome == 'refused' and not is_failed:
            return
        ring = self.rings_by_service.setdefault(seen.service, SlotRing())
        shards, missing = _by_yard(seen.shard_counts)
        is_partial = bool(seen.answer and not seen.answer.coverage.is_complete)
        facts = AnswerFacts(
            is_failed or elapsed_ms > objectives.latency_ms,
            is_failed or is_partial,
            shards,
            missing,
        )
        ring.record(wall_time(), facts)


def error_of(response: HttpResponse) -> dict[str, Any]:
    """Return the error of a response, empty if it has none."""
    try:
        found = json.loads(response.body)['error']
    except (ValueError, KeyError, TypeError):
        return {}
    return found if isinstance(found, dict) else {}


def _kind_of(event: Any) -> str:
    return str(getattr(event, 'event', OTHER_EVENT))


def _by_yard(
    counts: Counter[tuple[str, str | None]],
) -> tuple[Counter[str], Counter[str]]:
    """Return the shards asked and those missing, by yard."""
    asked: Counter[str] = Counter()
    missing: Counter[str] = Counter()
    for (yard, reason), count in counts.items():
        asked[yard] += count
        if reason is not None:
            missing[yard] += count
    return asked, missing
