"""Log lines and metrics of forwarded requests."""

import attrs
from eliot import log_message

from clementinebank.clock import now
from clementinebank.dispatch import TraceEvent
from clementinebank.forwarding import ForwardRequest
from clementinebank.metrics import Metrics, names
from clementinebank.relay import EntryLog
from clementinebank.routes import Route, RouteTable

MS_PER_S = 1000
# Of the ordinary requests one in so many is logged with its events.
SAMPLE_INTERVAL = 50
# At most so many requests are logged in full in one second; a disturbance
# makes every request remarkable.
MAX_LINES_PER_SECOND = 100
SERVER_ERROR = 500
UNREMARKABLE_EVENTS = frozenset(('sent', 'answer', 'relayed', 'gathered'))
ENDINGS = frozenset(('relayed', 'gathered', 'refused', 'abandoned'))


@attrs.define(eq=False)
class RequestLog:
    """Counts every request and logs the remarkable ones.

    Failed, late, partial, repeated and abandoned requests are logged with all
    their events, ordinary ones as a sample.

    Parameters
    ----------
    metrics : Metrics
        Receives counts and latencies.
    table : RouteTable
        Tells the version in force.
    known : EntryLog
        Tells the age of routes and leafs.
    instance_id : str
        Name of this instance.
    """

    metrics: Metrics
    table: RouteTable
    known: EntryLog
    instance_id: str
    suppressed_lines: int = 0
    _ordinary: int = 0
    _second: int = 0
    _lines_in_second: int = 0

    def take(
        self,
        request: ForwardRequest,
        route: Route,
        trace: list[TraceEvent],
        elapsed_s: float,
    ) -> None:
        """Record a request that has ended."""
        ending = trace[-1] if trace else None
        outcome = ending.event if ending else 'failed'
        elapsed_ms = elapsed_s * MS_PER_S
        self.metrics.record_ms(names.LATENCY, elapsed_ms, service=route.name)
        self.metrics.add(names.REQUESTS, service=route.name, outcome=outcome)
        for event in trace:
            if event.event not in UNREMARKABLE_EVENTS:
                self.metrics.add(
                    names.QUERY_EVENTS, service=route.name, event=event.event
                )
        is_late = elapsed_s > route.objective_s
        if is_late or _is_remarkable(trace) or self._is_sampled():
            self._log(request, route, trace, elapsed_ms, outcome)

    def _is_sampled(self) -> bool:
        self._ordinary += 1
        return self._ordinary % SAMPLE_INTERVAL == 0

    def _log(
        self,
        request: ForwardRequest,
        route: Route,
        trace: list[TraceEvent],
        elapsed_ms: float,
        outcome: str,
    ) -> None:
        second = int(request.deadline)
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        if self._lines_in_second > MAX_LINES_PER_SECOND:
            self.suppressed_lines += 1
            return
        log_message(
            message_type='request:ended',
            request_id=request.request_id,
            instance=self.instance_id,
            route=route.name,
            version=self.table.version,
            outcome=outcome,
            elapsed_ms=round(elapsed_ms, 1),
            objective_ms=round(route.objective_s * MS_PER_S, 1),
            confirmed_s=round(self.known.age_s(now()), 3),
            suppressed_lines=self.suppressed_lines,
            events=[
                [round(each.offset_ms, 1), each.event, each.facts]
                for each in trace
            ],
        )


def _is_remarkable(trace: list[TraceEvent]) -> bool:
    """Return whether more happened than one answer for each shard."""
    if not trace or trace[-1].facts.get('missing'):
        return True
    if int(trace[-1].facts.get('status', 0)) >= SERVER_ERROR:
        return True
    return any(each.event not in UNREMARKABLE_EVENTS for each in trace)
