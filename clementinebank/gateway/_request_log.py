"""Log lines and metrics of forwarded requests."""

import attrs
from eliot import log_message

from clementinebank.dispatch import TraceEvent
from clementinebank.forwarding import ForwardRequest
from clementinebank.gateway._state_facts import read_state_facts
from clementinebank.metrics import Metrics, names
from clementinebank.relay import EntryLog
from clementinebank.routes import Route, RouteTable

MS_PER_S = 1000
# One in this many ordinary requests is logged.
ORDINARY_REQUESTS_PER_LOG_LINE = 50
# Limit of logged requests whose deadlines lie in the same second; during a
# fault every request is unusual and would be logged.
MAX_LINES_PER_SECOND = 100
MIN_SERVER_ERROR_STATUS = 500
# Trace events of a request that went as usual.
USUAL_EVENTS = frozenset(
    ('sent', 'answer', 'relayed', 'gathered', 'delegated', 'accepted')
)
# Trace events that end a request.
FINAL_EVENTS = frozenset(('relayed', 'gathered', 'refused', 'abandoned'))


@attrs.define(eq=False)
class RequestLog:
    """Recorder of ended requests: metrics of all, log lines of some.

    Failed, late, partial, repeated and abandoned requests are logged with all
    their trace events, and a sample of the ordinary ones.

    Parameters
    ----------
    metrics : Metrics
        Counts requests and records their latencies.
    route_table : RouteTable
        Holds the version in force, which is logged.
    entry_log : EntryLog
        Holds the revision and the age of the control state, which are logged.
    instance_id : str
        Id of this instance.
    suppressed_lines : int
        Log lines that were left out because of the limit since the start.
    """

    metrics: Metrics
    route_table: RouteTable
    entry_log: EntryLog
    instance_id: str
    suppressed_lines: int = 0
    _ordinary_count: int = 0
    _deadline_second: int = 0
    _line_count_in_second: int = 0

    def record(
        self,
        request: ForwardRequest,
        route: Route,
        trace: list[TraceEvent],
        elapsed_s: float,
    ) -> None:
        """Count a request that has ended and log it if it is due.

        Parameters
        ----------
        request : ForwardRequest
            The request.
        route : Route
            Route that it took.
        trace : list of TraceEvent
            Its events; empty if it failed before the first one.
        elapsed_s : float
            Time from its start to its end, in seconds.
        """
        outcome = _outcome_of(trace)
        elapsed_ms = elapsed_s * MS_PER_S
        self.metrics.record_ms(names.LATENCY, elapsed_ms, service=route.name)
        self.metrics.add(names.REQUESTS, service=route.name, outcome=outcome)
        for event in trace:
            if event.event not in USUAL_EVENTS:
                self.metrics.add(
                    names.QUERY_EVENTS, service=route.name, event=event.event
                )
        self._log_if_due(request, route, trace, elapsed_s)

    def record_gathering(
        self,
        request: ForwardRequest,
        route: Route,
        trace: list[TraceEvent],
        elapsed_s: float,
    ) -> None:
        """Log a gathering for a delegated request, which is counted elsewhere.

        The parameters are those of ``record``.
        """
        self._log_if_due(
            request, route, trace, elapsed_s, message_type='gathering:ended'
        )

    def _log_if_due(
        self,
        request: ForwardRequest,
        route: Route,
        trace: list[TraceEvent],
        elapsed_s: float,
        message_type: str = 'request:ended',
    ) -> None:
        is_late = elapsed_s > route.objective_s
        if is_late or _is_unusual(trace) or self._is_sampled():
            self._log(request, route, trace, elapsed_s, message_type)

    def _is_sampled(self) -> bool:
        self._ordinary_count += 1
        return self._ordinary_count % ORDINARY_REQUESTS_PER_LOG_LINE == 0

    def _log(
        self,
        request: ForwardRequest,
        route: Route,
        trace: list[TraceEvent],
        elapsed_s: float,
        message_type: str,
    ) -> None:
        deadline_second = int(request.deadline)
        if deadline_second != self._deadline_second:
            self._deadline_second = deadline_second
            self._line_count_in_second = 0
        self._line_count_in_second += 1
        if self._line_count_in_second > MAX_LINES_PER_SECOND:
            self.suppressed_lines += 1
            return
        log_message(
            message_type=message_type,
            request_id=request.request_id,
            instance=self.instance_id,
            route=route.name,
            route_version=request.route_version,
            **read_state_facts(self.route_table, self.entry_log),
            outcome=_outcome_of(trace),
            elapsed_ms=round(elapsed_s * MS_PER_S, 1),
            objective_ms=round(route.objective_s * MS_PER_S, 1),
            suppressed_lines=self.suppressed_lines,
            events=[
                [round(each.offset_ms, 1), each.event, each.facts]
                for each in trace
            ],
        )


def _outcome_of(trace: list[TraceEvent]) -> str:
    """Return the last event; ``failed`` if a request has none."""
    return trace[-1].event if trace else 'failed'


def _is_unusual(trace: list[TraceEvent]) -> bool:
    """Return whether a request is always logged.

    True if it has no events, lacks shards, ended in a server error or has an
    event other than the usual ones.
    """
    if not trace or trace[-1].facts.get('missing'):
        return True
    if int(trace[-1].facts.get('status', 0)) >= MIN_SERVER_ERROR_STATUS:
        return True
    return any(each.event not in USUAL_EVENTS for each in trace)
