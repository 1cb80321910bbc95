"""Guard against a log that delays or fails requests, or mixes their messages.

The stream of the log can block, fail or receive objects without a JSON form.
Messages mix if concurrent requests share one eliot context.
"""

import json
import threading

import attrs
import curio
import eliot
import pytest

from clementinebank.clock import FakeClockKernel, run_service
from clementinebank.errors import Failure, Step
from clementinebank.process import LogSink

CLOSE_TIMEOUT_S = 10


@attrs.define
class _Stream:
    """Stream that blocks until ``gate`` is set; then may fail."""

    gate: threading.Event = attrs.Factory(threading.Event)
    lines: list = attrs.Factory(list)
    fails: bool = False

    def write(self, line):
        self.gate.wait()
        if self.fails:
            raise OSError('no space left on device')
        self.lines.append(line)
        return len(line)


def test_stuck_stream_drops_and_counts_lines():
    stream = _Stream()
    sink = LogSink(stream, max_queued=10)
    for number in range(100):
        sink({'number': number})
    stream.gate.set()
    sink.close(CLOSE_TIMEOUT_S)
    assert sink.dropped_lines >= 89
    assert sink.dropped_lines + len(stream.lines) == 100
    assert json.loads(stream.lines[0]) == {'number': 0}


def test_failing_stream_is_counted():
    stream = _Stream(fails=True)
    stream.gate.set()
    sink = LogSink(stream)
    sink({'number': 1})
    sink({'number': 2})
    sink.close(CLOSE_TIMEOUT_S)
    assert sink.failed_writes == 2


def test_content_without_json_form_is_written():
    stream = _Stream()
    stream.gate.set()
    sink = LogSink(stream)
    sink({'failure': Failure('x', 'y', Step.ACCEPT), 'step': Step.PIN})
    sink.close(CLOSE_TIMEOUT_S)
    assert b'Failure' in stream.lines[0]


async def _log_request(number):
    with eliot.start_action(action_type='request', number=number):
        await _yield_to_loop(number)
        eliot.log_message(message_type='middle', number=number)
        await _yield_to_loop(3 - number)
        with eliot.start_action(action_type='part', number=number):
            await _yield_to_loop(1)


async def _yield_to_loop(times):
    for _ in range(times):
        await curio.sleep(0)


async def _log_two_requests():
    tasks = [await curio.spawn(_log_request, number) for number in (1, 2)]
    for task in tasks:
        await task.join()


def _numbers_by_tree(run):
    messages = []
    eliot.add_destinations(messages.append)
    try:
        run(_log_two_requests)
    finally:
        eliot.remove_destination(messages.append)
    trees = {}
    for message in messages:
        tree = trees.setdefault(message['task_uuid'], set())
        tree.add(message.get('number'))
    # eliot sends a new destination the messages buffered before it was added;
    # trees of these have no number.
    return [numbers - {None} for numbers in trees.values() if numbers - {None}]


def _run_on_fake_clock(corofunc):
    with FakeClockKernel() as kernel:
        kernel.run(corofunc)


@pytest.mark.parametrize('run', [run_service, _run_on_fake_clock])
def test_each_request_has_one_tree(run):
    assert sorted(_numbers_by_tree(run), key=min) == [{1}, {2}]


def test_tree_check_catches_a_shared_context():
    """Negative control: curio's plain tasks share one context."""
    assert sorted(_numbers_by_tree(curio.run), key=len) != [{1}, {2}]


def test_stuck_stream_holds_a_bounded_size_of_lines():
    """Texts of others make lines of any length."""
    stream = _Stream()
    sink = LogSink(stream, max_queued_bytes=10_000)
    for _ in range(100):
        sink({'reason': 'x' * 2000})
    assert sink.dropped_lines >= 95
    stream.gate.set()
    sink.close(CLOSE_TIMEOUT_S)
    assert sink.dropped_lines + len(stream.lines) == 100
