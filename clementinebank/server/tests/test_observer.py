"""Guards against requests that are counted or traced wrongly or not at all.

A failed request must leave a trace and use up error budget even if its
handler raises, a fault of the caller must not use up any, and names of
services that callers make up must not become metric labels.
"""

import attrs
import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.document import Objectives
from clementinebank.errors import Failure, Step
from clementinebank.http import json_response
from clementinebank.metrics import format_metrics
from clementinebank.search import Coverage, SearchAnswer
from clementinebank.search._coverage import ShardCoverage
from clementinebank.server._observer import Observer
from clementinebank.server._traces import RequestTrace, TraceLog

OBJECTIVES = Objectives(100, 0.99, 0.999)
REFUSAL = Failure('invalid_request', 'bad', Step.ACCEPT, status=400)


def _answer():
    shards = {
        'group-0': ShardCoverage('group-0', 'north', (0,), 'a'),
        'group-1': ShardCoverage('group-1', 'south', (1,), None, 'leaf_broken'),
    }
    return SearchAnswer('r-1', 's-1', (), Coverage(None, shards))


async def _observe(observer, clock, ending, elapsed_s, objectives):
    with observer.observe('r-1', 'desk', objectives) as observation:
        clock.advance(elapsed_s)
        if ending == 'fails':
            raise RuntimeError('fault of the engine')
        if ending == 'refused':
            observation.response = json_response(400, REFUSAL.as_json())
        else:
            observation.set_answer(_answer())
            observation.response = json_response(200, {})


def _run(ending, elapsed_s=0.05, objectives=OBJECTIVES):
    with FakeClockKernel() as kernel:
        observer = Observer()
        try:
            kernel.run(
                _observe, observer, kernel.clock, ending, elapsed_s, objectives
            )
        except RuntimeError:
            assert ending == 'fails'
        slots = [
            slot
            for ring in observer.slot_rings_by_service.values()
            for slot in ring.slots(kernel.clock.wall_time())
        ]
    return observer, slots


@pytest.mark.parametrize(
    ('ending', 'outcome', 'status'),
    [('answered', 'answered', 200), ('refused', 'refused', 400)],
)
def test_trace_states_the_outcome(ending, outcome, status):
    observer, _ = _run(ending)
    (trace,) = observer.traces.find('r-1')
    assert (trace.outcome, trace.status) == (outcome, status)
    assert trace.elapsed_ms == pytest.approx(50, abs=1)


def test_exception_leaves_a_trace_and_spends_budget():
    observer, (slot,) = _run('fails')
    (trace,) = observer.traces.find('r-1')
    assert (trace.outcome, trace.status) == ('failed', 500)
    assert (slot.total, slot.slow, slot.incomplete) == (1, 1, 1)


def test_fault_of_the_caller_spends_no_budget():
    observer, slots = _run('refused')
    assert not slots
    (trace,) = observer.traces.find('r-1')
    assert trace.error['code'] == 'invalid_request'


@pytest.mark.parametrize(('elapsed_s', 'slow'), [(0.05, 0), (0.2, 1)])
def test_answer_is_measured_against_the_objectives(elapsed_s, slow):
    observer, (slot,) = _run('answered', elapsed_s)
    assert (slot.total, slot.slow, slot.incomplete) == (1, slow, 1)
    assert slot.missing_by_yard['south'] == 1
    assert slot.missing_by_yard['north'] == 0
    text = format_metrics(observer.metrics)
    assert 'reason="leaf_broken"} 1' in text
    assert 'answered="false"' in text


def test_service_that_does_not_exist_is_no_label():
    observer, _ = _run('refused', objectives=None)
    text = format_metrics(observer.metrics)
    assert 'service="unknown"' in text
    assert 'desk' not in text


def test_log_keeps_the_last_traces():
    log = TraceLog()
    trace = RequestTrace('', 'desk', 0, 1, 'answered', 200)
    for number in range(1500):
        log.add(attrs.evolve(trace, request_id=str(number)))
    assert not log.find('499')
    assert log.find('500')
    assert log.find('1499')
