"""Metrics, traces and burn report counts of the requests of callers."""

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
from clementinebank.metrics import Metrics, RequestFacts, SlotRing, names
from clementinebank.search import SearchAnswer
from clementinebank.server._traces import RequestTrace, TraceLog

MS_PER_S = 1000
# Lowest HTTP statuses of client errors and of server errors.
MIN_CLIENT_ERROR_STATUS = 400
INTERNAL_ERROR_STATUS = 500
# Metric label of requests for a service that is not in the document.
UNKNOWN_SERVICE_LABEL = 'unknown'
# Metric label of query events without a name.
OTHER_EVENT_LABEL = 'other'


@attrs.define(eq=False)
class Observation:
    """Facts about one request of a caller, collected while it is handled.

    Parameters
    ----------
    request_id : str
        Request id of the caller, or the one given to the request.
    service : str
        Service in the path of the request; it need not exist.
    objectives : Objectives or None
        Objectives of the service; ``None`` if there is no such service.
    started_at : float
        Time of the runtime's clock at the start of the handling, in seconds.
    received_at : float
        Unix time at the start of the handling, in seconds.
    answer : SearchAnswer or None
        Answer to a search.
    response : HttpResponse or None
        Response; ``None`` if the handler raised an exception.
    events : tuple
        Typed events of the query.
    shard_counts : Counter
        Number of shards of the answer by yard and the reason why they are
        missing, which is ``None`` for shards that answered.
    """

    request_id: str
    service: str
    objectives: Objectives | None
    started_at: float = attrs.Factory(now)
    received_at: float = attrs.Factory(wall_time)
    answer: SearchAnswer | None = None
    response: HttpResponse | None = None
    events: tuple[Any, ...] = ()
    shard_counts: Counter[tuple[str, str | None]] = attrs.Factory(Counter)

    def set_answer(self, answer: SearchAnswer) -> None:
        """Set the answer to a search and count its shards by reason."""
        self.answer = answer
        shards = answer.coverage.shards_by_group.values()
        self.shard_counts = Counter(
            [(shard.yard, shard.missing_reason) for shard in shards]
        )

    @property
    def status(self) -> int:
        """Return the HTTP status, 500 if the handler raised an exception."""
        return self.response.status if self.response else INTERNAL_ERROR_STATUS

    @property
    def outcome(self) -> str:
        """Return the outcome for metrics and traces.

        ``failed`` for an exception or status 500, ``answered`` for a status
        below 400, and ``refused`` for every other status.
        """
        if self.response is None or self.status == INTERNAL_ERROR_STATUS:
            return 'failed'
        return (
            'answered' if self.status < MIN_CLIENT_ERROR_STATUS else 'refused'
        )

    @property
    def service_label(self) -> str:
        """Return the service as a metric label.

        Names of services that do not exist all become ``unknown``, so that
        callers cannot create metric labels.
        """
        return self.service if self.objectives else UNKNOWN_SERVICE_LABEL

    @property
    def error(self) -> dict[str, Any]:
        """Return the error in the response, empty if the request succeeded."""
        if self.response is None or self.outcome == 'answered':
            return {}
        return read_error(self.response)


_CURRENT_OBSERVATION: ContextVar[Observation] = ContextVar('observation')


def current_observation() -> Observation:
    """Return the observation of the request that this task handles.

    Raises
    ------
    LookupError
        If the task handles no request of a caller.
    """
    return _CURRENT_OBSERVATION.get()


@attrs.define(eq=False)
class Observer:
    """Records each request of a caller in metrics, traces and minute counts.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the instance.
    traces : TraceLog
        Traces of the last requests.
    slot_rings_by_service : dict of str to SlotRing
        Counts per minute of each service, for the burn report.
    recording_since : float
        Unix time in seconds since which requests are counted.
    """

    metrics: Metrics = attrs.Factory(Metrics)
    traces: TraceLog = attrs.Factory(TraceLog)
    slot_rings_by_service: dict[str, SlotRing] = attrs.Factory(dict)
    recording_since: float = attrs.Factory(wall_time)

    @contextmanager
    def observe(
        self, request_id: str, service: str, objectives: Objectives | None
    ) -> Iterator[Observation]:
        """Yield the observation of a request and record it when the block ends.

        The request is also recorded if the block raises an exception.
        """
        observation = Observation(request_id, service, objectives)
        token = _CURRENT_OBSERVATION.set(observation)
        try:
            yield observation
        finally:
            _CURRENT_OBSERVATION.reset(token)
            self._record(observation)

    def set_query_events(self, request_id: str, events: Iterable[Any]) -> None:
        """Store the events of a finished query in the current observation.

        The search engine calls this in the task that handles the request.

        Parameters
        ----------
        request_id : str
            Id of the request; not used.
        events : iterable
            Typed events in the order of their times.
        """
        current_observation().events = tuple(events)

    def _record(self, observation: Observation) -> None:
        elapsed_ms = (now() - observation.started_at) * MS_PER_S
        label = observation.service_label
        self.metrics.record_ms(names.LATENCY, elapsed_ms, service=label)
        self.metrics.add(
            names.REQUESTS, service=label, outcome=observation.outcome
        )
        for event_name, count in Counter(
            map(_event_name, observation.events)
        ).items():
            self.metrics.add(
                names.QUERY_EVENTS, count, service=label, event=event_name
            )
        if observation.answer is not None:
            self._count_answer(label, observation, observation.answer)
        if observation.objectives is not None:
            self._count_in_minute_slot(
                observation, observation.objectives, elapsed_ms
            )
        self.traces.add(
            RequestTrace(
                observation.request_id,
                observation.service,
                observation.received_at,
                elapsed_ms,
                observation.outcome,
                observation.status,
                observation.answer.snapshot if observation.answer else None,
                observation.answer.coverage if observation.answer else None,
                observation.error,
                observation.events,
            )
        )

    def _count_answer(
        self, label: str, observation: Observation, answer: SearchAnswer
    ) -> None:
        is_complete = json.dumps(answer.coverage.is_complete)
        self.metrics.add(names.ANSWERS, service=label, complete=is_complete)
        for (yard, reason), count in observation.shard_counts.items():
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

    def _count_in_minute_slot(
        self,
        observation: Observation,
        objectives: Objectives,
        elapsed_ms: float,
    ) -> None:
        """Count a request in its minute for the error budgets of its service.

        Refusals with a client error are not counted, as they are faults of
        the caller.
        """
        is_failed = observation.status >= INTERNAL_ERROR_STATUS
        if observation.outcome == 'refused' and not is_failed:
            return
        ring = self.slot_rings_by_service.setdefault(
            observation.service, SlotRing()
        )
        shards, missing = _count_shards_by_yard(observation.shard_counts)
        is_partial = bool(
            observation.answer and not observation.answer.coverage.is_complete
        )
        facts = RequestFacts(
            is_failed or elapsed_ms > objectives.latency_ms,
            is_failed or is_partial,
            shards,
            missing,
        )
        ring.record(wall_time(), facts)


def read_error(response: HttpResponse) -> dict[str, Any]:
    """Return the ``error`` object of a JSON response, empty if it has none."""
    try:
        found = json.loads(response.body)['error']
    except (ValueError, KeyError, TypeError):
        return {}
    return found if isinstance(found, dict) else {}


def _event_name(event: Any) -> str:
    return str(getattr(event, 'event', OTHER_EVENT_LABEL))


def _count_shards_by_yard(
    counts: Counter[tuple[str, str | None]],
) -> tuple[Counter[str], Counter[str]]:
    """Return the numbers of shards asked and of shards missing, by yard."""
    asked: Counter[str] = Counter()
    missing: Counter[str] = Counter()
    for (yard, reason), count in counts.items():
        asked[yard] += count
        if reason is not None:
            missing[yard] += count
    return asked, missing
