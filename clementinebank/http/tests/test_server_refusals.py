"""Guard against input and faults that block or corrupt a connection.

Malformed, oversized, incomplete and ambiguous requests must be refused as not
run. A fault of the handler, a caller that disconnects or does not read, and
more requests than the limit must not leave requests or connections behind.
"""

import curio
import pytest

from clementinebank.clock import now
from clementinebank.http import HttpLimits, ServerConnection, json_response
from clementinebank.http.tests.wire import (
    SEARCH,
    open_wire,
    parse_replies,
    run_on_fake_clock,
)

GARBAGE = b'\x16\x03\x01\x02\x00 not http\r\n\r\n'
LONG_HEADER = b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 2000
BIG_BODY = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 101\r\n\r\n'
BIG_CHUNK = (
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
    b'65\r\n' + b'z' * 101 + b'\r\n0\r\n\r\n'
)
TWO_LENGTHS = (
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n'
    b'content-length: 3\r\n\r\n{}'
)
TWO_KEYS = (
    b'GET / HTTP/1.1\r\nhost: a\r\nidempotency-key: a\r\n'
    b'idempotency-key: b\r\n\r\n'
)
REFUSALS = (
    (GARBAGE, 400, 'malformed_request', None),
    (LONG_HEADER, 431, 'headers_too_large', 'headers'),
    (BIG_BODY, 413, 'body_too_large', 'body'),
    (BIG_CHUNK, 413, 'body_too_large', 'body'),
    (TWO_LENGTHS, 400, 'malformed_request', None),
    (TWO_KEYS, 400, 'duplicate_header', 'idempotency-key'),
    (b'GET / HTTP/1.1\r\nho', 408, 'request_timeout', 'headers'),
    (BIG_BODY.replace(b'101', b'50'), 408, 'request_timeout', 'body'),
)


async def _send_bad_request(payload):
    failures = []
    wire = await open_wire(failures=failures)
    await wire.send(payload)
    raw = await wire.read_raw()
    await wire.send(SEARCH)
    await wire.sock.close()
    return raw, wire.handled, failures


@pytest.mark.parametrize(('payload', 'status', 'code', 'field'), REFUSALS)
def test_refusal_is_json_and_closes(payload, status, code, field):
    raw, handled, failures = run_on_fake_clock(_send_bad_request, payload)
    (reply,) = parse_replies(raw)
    assert reply.status == status
    assert reply.headers['connection'] == 'close'
    assert reply.error['code'] == code
    assert reply.error['field'] == field
    assert reply.error['step'] == 'accept'
    assert reply.error['execution'] == 'not_run'
    assert not handled
    assert [failure.code for failure in failures] == [code]


async def _send_pipelined(connection_type=ServerConnection):
    async def echo(request):
        await curio.sleep(1 if request.path == '/1' else 0.1)
        return json_response(200, {'path': request.path})

    wire = await open_wire(echo, connection_type=connection_type)
    await wire.send(
        b''.join(SEARCH.replace(b'/search', b'/%d' % n) for n in range(4))
    )
    return [reply.body for reply in await wire.replies()]


def test_pipelined_requests_are_answered_in_order():
    expected = [b'{"path": "/%d"}' % number for number in range(4)]
    assert run_on_fake_clock(_send_pipelined) == expected


class _ForgetsPipelined(ServerConnection):
    """Negative control: starts each request with an empty buffer."""

    async def _serve_next(self):
        if self.http.trailing_data[0]:
            self.__attrs_post_init__()
        return await super()._serve_next()


def test_pipeline_check_catches_lost_requests():
    assert len(run_on_fake_clock(_send_pipelined, _ForgetsPipelined)) < 4


async def _fail_then_answer():
    async def fail_once(request):
        if request.path == '/search':
            raise RuntimeError('fault of the handler')
        return json_response(200, {})

    failures = []
    wire = await open_wire(fail_once, failures=failures)
    await wire.send(SEARCH + SEARCH.replace(b'/search', b'/other'))
    return await wire.replies(), failures


def test_fault_in_handler_is_answered_and_counted():
    (first, second), failures = run_on_fake_clock(_fail_then_answer)
    assert first.status == 500
    assert first.error['execution'] == 'unknown'
    assert second.status == 200
    assert [failure.code for failure in failures] == ['internal_error']


async def _return_invalid_response():
    async def respond(request):
        return json_response(200, {}, {'bad header': 'x'})

    wire = await open_wire(respond)
    await wire.send(SEARCH)
    return await wire.replies()


def test_response_that_cannot_be_sent_becomes_500():
    (reply,) = run_on_fake_clock(_return_invalid_response)
    assert reply.status == 500


async def _disconnect_during_request():
    wire = await open_wire(_answer_slowly)
    await wire.send(SEARCH)
    await curio.sleep(0.1)
    await wire.sock.close()
    await wire.connection.task.join()
    return wire.connection.state


async def _answer_slowly(request):
    await curio.sleep(5)
    return json_response(200, {})


def test_vanished_caller_leaves_nothing_behind():
    state = run_on_fake_clock(_disconnect_during_request)
    assert state.in_flight == 0
    assert not state.connections


async def _exceed_limit():
    wires = [await open_wire(_answer_slowly) for _ in range(3)]
    for wire in wires[1:]:
        wire.connection.state = wires[0].connection.state
    for wire in wires:
        await wire.send(SEARCH)
        await curio.sleep(0.1)
    started = now()
    await wires[2].sock.shutdown(1)
    raw = await wires[2].read_raw()
    return raw, now() - started


def test_request_beyond_limit_is_refused_at_once():
    raw, elapsed_s = run_on_fake_clock(_exceed_limit)
    (reply,) = parse_replies(raw)
    assert reply.status == 503
    assert reply.error['code'] == 'overloaded'
    assert reply.error['execution'] == 'not_run'
    assert elapsed_s < 1


async def _leave_response_unread():
    limits = HttpLimits(send_timeout_s=3)

    async def respond(request):
        return json_response(200, 'x' * 10_000_000)

    wire = await open_wire(respond, limits)
    await wire.send(SEARCH)
    await wire.connection.task.join()
    return wire.connection.state.connections


def test_caller_that_does_not_read_is_closed():
    assert not run_on_fake_clock(_leave_response_unread)
