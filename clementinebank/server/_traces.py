"""Traces of the last requests of callers, kept in memory for operators."""

from collections import deque
from typing import Any

import attrs

from clementinebank.search import Coverage

# Requests whose traces an instance keeps.
MAX_TRACES = 1000
# Events of one trace that are sent to an operator.
MAX_EVENTS = 1000


@attrs.frozen
class RequestTrace:
    """Outcome, timing and query events of one request.

    Parameters
    ----------
    request_id : str
        Id of the request; a caller may use an id more than once.
    service : str
        Service in the path of the request.
    received_at : float
        Unix time of the request in seconds.
    elapsed_ms : float
        Time until the response, in milliseconds.
    outcome : str
        ``answered``, ``refused`` or ``failed``.
    status : int
        HTTP status.
    snapshot : str or None
        Snapshot from which a search was answered.
    coverage : Coverage or None
        Coverage of the answer to a search.
    error : dict
        Error that was sent instead of an answer, empty for an answer.
    events : tuple
        Typed events of the query in the order of their times.
    """

    request_id: str
    service: str
    received_at: float
    elapsed_ms: float
    outcome: str
    status: int
    snapshot: str | None = None
    coverage: Coverage | None = None
    error: dict[str, Any] = attrs.Factory(dict)
    events: tuple[Any, ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the trace as JSON data for an operator route.

        Events and coverage are converted only when an operator asks, not for
        every request, because a query over many shards has hundreds of
        events.
        """
        plain_fields = attrs.asdict(
            self,
            recurse=False,
            filter=attrs.filters.exclude('coverage', 'events'),
        )
        return {
            **plain_fields,
            'coverage': self.coverage.as_json() if self.coverage else None,
            'events': [
                attrs.asdict(event, value_serializer=_serialize_value)
                for event in self.events[:MAX_EVENTS]
            ],
        }


@attrs.define(eq=False)
class TraceLog:
    """Bounded buffer of the traces of the last requests.

    Parameters
    ----------
    limit : int
        Number of traces kept.
    """

    limit: int = MAX_TRACES
    _traces: deque[RequestTrace] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the bounded buffer."""
        self._traces = deque(maxlen=self.limit)

    def add(self, trace: RequestTrace) -> None:
        """Add a trace; the oldest one is dropped when the buffer is full."""
        self._traces.append(trace)

    def find(self, request_id: str) -> list[RequestTrace]:
        """Return the traces of one request id, oldest first."""
        return [each for each in self._traces if each.request_id == request_id]


def _serialize_value(trace_event: Any, field: Any, value: Any) -> Any:
    is_json_type = isinstance(value, str | int | float | dict | list | tuple)
    return value if value is None or is_json_type else str(value)
