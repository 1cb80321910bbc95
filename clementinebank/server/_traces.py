"""Traces of the last requests of an instance."""

from collections import deque
from collections.abc import Iterable
from typing import Any

import attrs

MAX_TRACES = 1000
MAX_EVENTS = 1000


@attrs.frozen
class RequestTrace:
    """What became of one request.

    Parameters
    ----------
    request_id : str
        Id of the request; a caller may use one more than once.
    service : str
        Service asked for.
    received_at : float
        Unix time in seconds.
    elapsed_ms : float
        Time until the response, in milliseconds.
    outcome : str
        ``answered``, ``refused`` or ``failed``.
    status : int
        HTTP status.
    facts : dict
        Snapshot, revision and coverage of an answer, or the error.
    events : tuple of dict
        Events of the query in the order of their times.
    """

    request_id: str
    service: str
    received_at: float
    elapsed_ms: float
    outcome: str
    status: int
    facts: dict[str, Any] = attrs.Factory(dict)
    events: tuple[dict[str, Any], ...] = ()

    def as_json(self) -> dict[str, Any]:
        """Return the trace for an operator route."""
        return attrs.asdict(self)


@attrs.define(eq=False)
class TraceLog:
    """The last traces, oldest first.

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
        """Keep a trace in place of the oldest."""
        self._traces.append(trace)

    def find(self, request_id: str) -> list[RequestTrace]:
        """Return the traces of one request id, oldest first."""
        return [each for each in self._traces if each.request_id == request_id]


def event_mappings(events: Iterable[Any]) -> tuple[dict[str, Any], ...]:
    """Return typed events of a query as mappings, at most 1,000."""
    return tuple(
        attrs.asdict(event, value_serializer=_plain)
        for event, _ in zip(events, range(MAX_EVENTS), strict=False)
    )


def _plain(instance: Any, field: Any, content: Any) -> Any:
    is_plain = isinstance(content, str | int | float | dict | list | tuple)
    return content if content is None or is_plain else str(content)
