"""Traces of the last requests of an instance."""

from collections import deque
from typing import Any

import attrs

from clementinebank.search import Coverage

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
    snapshot : str or None
        Snapshot of the answer to a search.
    coverage : Coverage or None
        Coverage of the answer to a search.
    error : dict
        Error that was sent instead of an answer.
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
        """Return the trace for an operator route.

        The events and the coverage are converted here and not for every
        request, because a query over many shards has hundreds of them.
        """
        plain = attrs.asdict(
            self,
            recurse=False,
            filter=attrs.filters.exclude('coverage', 'events'),
        )
        return {
            **plain,
            'coverage': self.coverage.as_json() if self.coverage else None,
            'events': [
                attrs.asdict(event, value_serializer=_plain)
                for event in self.events[:MAX_EVENTS]
            ],
        }


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


def _plain(instance: Any, field: Any, content: Any) -> Any:
    is_plain = isinstance(content, str | int | float | dict | list | tuple)
    return content if content is None or is_plain else str(content)
