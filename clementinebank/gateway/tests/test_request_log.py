"""Guards the choice of requests that are logged.

Every late, partial, failed or repeated request must be logged. Ordinary
requests are sampled, and the lines in one second are limited, because a fault
of many requests would otherwise flood the log. A line must tell the version by
which the route was found from the one in force, and for how long it is.
"""

from unittest import mock

import attrs
import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.dispatch import TraceEvent
from clementinebank.forwarding import ForwardRequest
from clementinebank.forwarding.tests.simulation import make_route
from clementinebank.gateway import RequestLog
from clementinebank.gateway import _request_log as module
from clementinebank.http import HttpRequest
from clementinebank.metrics import Metrics, names
from clementinebank.relay import EntryLog, StorePosition
from clementinebank.routes import RouteTable, RoutingConfiguration

REQUEST = ForwardRequest('q-1', 1000.0, HttpRequest('GET', '/'))
ORDINARY = [
    TraceEvent(0, 'sent', {'leaf': 'a'}),
    TraceEvent(9, 'answer', {'leaf': 'a'}),
    TraceEvent(9, 'relayed', {'status': 200}),
]


def log_requests(trace, elapsed_s=0.01, count=1):
    """Record equal requests; return their log fields and the metrics."""
    metrics = Metrics()
    log = RequestLog(metrics, RouteTable(), EntryLog(), 'g-1')

    async def run():
        for _ in range(count):
            log.record(REQUEST, make_route(), trace, elapsed_s)

    with mock.patch.object(module, 'log_message') as write:
        curio.run(run)
    return [call.kwargs for call in write.call_args_list], metrics


def test_ordinary_requests_are_sampled_and_all_counted():
    lines, metrics = log_requests(ORDINARY, count=100)
    assert len(lines) == 2
    key = (names.REQUESTS, (('service', 'r'), ('outcome', 'relayed')))
    assert metrics.counters[key] == 100


def test_late_request_is_logged():
    lines, _ = log_requests(ORDINARY, elapsed_s=0.3)
    assert lines[0]['request_id'] == 'q-1'


def test_partial_failed_and_repeated_requests_are_logged():
    for ending in (
        TraceEvent(9, 'gathered', {'missing': 1}),
        TraceEvent(9, 'refused', {'status': 503, 'reason': 'no_leaf'}),
        TraceEvent(9, 'relayed', {'status': 500}),
    ):
        lines, _ = log_requests([*ORDINARY[:2], ending])
        assert lines[0]['outcome'] == ending.event
    lines, _ = log_requests([TraceEvent(5, 'hedge', {'leaf': 'b'}), *ORDINARY])
    assert lines


def test_volume_is_bounded_and_the_loss_is_told():
    refused = [TraceEvent(0, 'refused', {'status': 503})]
    lines, _ = log_requests(refused, count=module.MAX_LINES_PER_SECOND + 5)
    assert len(lines) == module.MAX_LINES_PER_SECOND


def test_line_tells_which_state_was_known():
    async def run():
        table = RouteTable()
        entry_log = EntryLog(position=StorePosition(31, 2), confirmed_at=now())
        log = RequestLog(Metrics(), table, entry_log, 'g-1')
        table.activate(RoutingConfiguration(3, (), {}))
        await curio.sleep(5)
        table.activate(RoutingConfiguration(4, (), {}))
        await curio.sleep(0.25)
        request = attrs.evolve(REQUEST, route_version=3)
        log.record(request, make_route(), [], 0.3)
        log.record_gathering(REQUEST, make_route(), [], 0.3)

    with (
        mock.patch.object(module, 'log_message') as write,
        FakeClockKernel() as kernel,
    ):
        kernel.run(run)
    ended, gathered = (call.kwargs for call in write.call_args_list)
    assert ended['version'] == gathered['version'] == 4
    assert ended['route_version'] == 3
    assert gathered['route_version'] is None
    assert ended['in_force_s'] == 0.25
    assert (ended['revision'], ended['era']) == (31, 2)
    assert ended['confirmed_s'] == 5.25
