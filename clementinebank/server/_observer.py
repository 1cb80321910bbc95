"""Records what became of each request of a caller."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import attrs

from clementinebank.clock import now, wall_time
from clementinebank.document import Objectives
from clementinebank.errors import Failure
from clementinebank.http import HttpResponse
from clementinebank.metrics import AnswerFacts, Metrics, SlotRing, names
from clementinebank.search import Answer
from clementinebank.server._traces import (
    RequestTrace,
    TraceLog,
    event_mappings,
)

MS_PER_S = 1000
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
    """

    request_id: str
    service: str
    objectives: Objectives | None
    started: float = attrs.Factory(now)
    received_at: float = attrs.Factory(wall_time)
    answer: Answer | None = None
    failure: Failure | None = None
    status: int = SERVER_ERROR

    @property
    def outcome(self) -> str:
        """Return the outcome as it is counted."""
        if self.answer is not None:
            return 'answered'
        return 'refused' if self.failure is not None else 'failed'

    @property
    def label(self) -> str:
        """Return the service as a label that callers cannot invent."""
        return self.service if self.objectives else UNKNOWN_SERVICE

    def respond(self, response: HttpResponse) -> HttpResponse:
        """Take note of the response and return it."""
        self.status = response.status
        return response


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
        try:
            yield observation
        finally:
            self._record(observation)

    def _record(self, seen: Observation) -> None:
        elapsed_ms = (now() - seen.started) * MS_PER_S
        label = seen.label
        self.metrics.record_ms(names.LATENCY, elapsed_ms, service=label)
        self.metrics.add(names.REQUESTS, service=label, outcome=seen.outcome)
        if seen.failure is not None:
            self.metrics.add(
                names.REFUSALS, listener='callers', code=seen.failure.code
            )
        events = event_mappings(getattr(seen.answer, 'events', ()))
        for event in events:
            kind = str(event.get('kind', OTHER_EVENT))
            self.metrics.add(names.SHARD_REQUESTS, service=label, kind=kind)
        if seen.answer is not None:
            self._count_answer(label, seen.answer)
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
                _facts(seen),
                events,
            )
        )

    def _count_answer(self, label: str, answer: Answer) -> None:
        is_complete = json.dumps(answer.coverage.is_complete)
        self.metrics.add(names.ANSWERS, service=label, complete=is_complete)
        for shard in answer.coverage.shards_by_group.values():
            self.metrics.add(
                names.SHARDS,
                service=label,
                yard=shard.yard,
                answered=json.dumps(shard.is_answered),
            )
            if shard.missing_reason is not None:
                self.metrics.add(
                    names.LEAF_FAILURES,
                    service=label,
                    reason=shard.missing_reason,
                )

    def _count_slot(
        self, seen: Observation, objectives: Objectives, elapsed_ms: float
    ) -> None:
        """Count what spends a budget; faults of the caller do not."""
        is_failed = seen.answer is None
        if is_failed and seen.status < SERVER_ERROR:
            return
        ring = self.rings_by_service.setdefault(seen.service, SlotRing())
        shards, missing = _shard_counts(seen.answer)
        is_complete = bool(seen.answer and seen.answer.coverage.is_complete)
        facts = AnswerFacts(
            is_failed or elapsed_ms > objectives.latency_ms,
            not is_complete,
            shards,
            missing,
        )
        ring.record(wall_time(), facts)


def _shard_counts(
    answer: Answer | None,
) -> tuple[dict[str, int], dict[str, int]]:
    asked: dict[str, int] = {}
    missing: dict[str, int] = {}
    if answer is not None:
        for shard in answer.coverage.shards_by_group.values():
            asked[shard.yard] = asked.get(shard.yard, 0) + 1
            count = missing.get(shard.yard, 0) + int(not shard.is_answered)
            missing[shard.yard] = count
    return asked, missing


def _facts(seen: Observation) -> dict[str, Any]:
    if seen.failure is not None:
        return seen.failure.as_json()
    if seen.answer is None:
        return {}
    return {
        'snapshot': seen.answer.snapshot,
        'records': len(seen.answer.records),
        'coverage': seen.answer.coverage.as_json(),
    }
