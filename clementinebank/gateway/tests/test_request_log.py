"""Guards the log of requests: what is kept whole and what is bounded."""

from unittest import mock

import curio

from clementinebank.dispatch import TraceEvent
from clementinebank.forwarding import ForwardRequest
from clementinebank.forwarding.tests.worlds import make_route
from clementinebank.gateway import RequestLog
from clementinebank.gateway import _request_log as module
from clementinebank.http import HttpRequest
from clementinebank.metrics import Metrics, names
from clementinebank.relay import EntryLog
from clementinebank.routes import RouteTable

REQUEST = ForwardRequest('q-1', 1000.0, HttpRequest('GET', '/'))
ORDINARY = [
    TraceEvent(0, 'sent', {'leaf': 'a'}),
    TraceEvent(9, 'answer', {'leaf': 'a'}),
    TraceEvent(9, 'relayed', {'status': 200}),
]


def logged(trace, elapsed_s=0.01, count=1):
    """Return the lines and the metrics of some equal requests."""
    metrics = Metrics()
    log = RequestLog(metrics, RouteTable(), EntryLog(), 'g-1')

    async def run():
        for _ in range(count):
            log.take(REQUEST, make_route(), trace, elapsed_s)

    with mock.patch.object(module, 'log_message') as write:
        curio.run(run)
    return [call.kwargs for call in write.call_args_list], metrics


def test_ordinary_requests_are_sampled_and_all_counted():
    lines, metrics = logged(ORDINARY, count=100)
    assert len(lines) == 2
    key = (names.REQUESTS, (('service', 'r'), ('outcome', 'relayed')))
    assert metrics.counters[key] == 100


def test_late_request_is_logged():
    lines, _ = logged(ORDINARY, elapsed_s=0.3)
    assert lines[0]['request_id'] == 'q-1'


def test_partial_failed_and_repeated_requests_are_logged():
    for ending in (
        TraceEvent(9, 'gathered', {'missing': 1}),
        TraceEvent(9, 'refused', {'status': 503, 'reason': 'no_leaf'}),
        TraceEvent(9, 'relayed', {'status': 500}),
    ):
        lines, _ = logged([*ORDINARY[:2], ending])
        assert lines[0]['outcome'] == ending.event
    lines, _ = logged([TraceEvent(5, 'hedge', {'leaf': 'b'}), *ORDINARY])
    assert lines


def test_volume_is_bounded_and_the_loss_is_told():
    refused = [TraceEvent(0, 'refused', {'status': 503})]
    lines, _ = logged(refused, count=module.MAX_LINES_PER_SECOND + 5)
    assert len(lines) == module.MAX_LINES_PER_SECOND
