"""Guard against headers that change on the way, and heads made of two.

A client's header in UTF-8 must not fail its request, repeated headers must not
be lost, and the beginning of an earlier response must not be read as a part of
the next one: a refusal would hide that the request has run.
"""

import curio
import h11
import pytest

from clementinebank.http import (
    HttpConnection,
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
    UnsendableRequestError,
)
from clementinebank.http import _client as client_module
from clementinebank.http.tests.wire import SEARCH, open_wire, run_on_fake_clock

NAME = 'Müller'.encode()
# Bytes as Latin-1, as messages hold them.
NAME_TEXT = NAME.decode('latin-1')
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\nx-not-executed: full\r\n'
    b'server-load: 1,2,3\r\nrequest-id: one\r\ncontent-length: 0\r\n\r\n'
)
ANSWER = (
    b'HTTP/1.1 200 OK\r\nrequest-id: two\r\nstamp: s\r\n'
    b'content-length: 2\r\n\r\n{}'
)


def _open_pair():
    ours, theirs = curio.socket.socketpair()
    connection = HttpConnection('127.0.0.1', 1)
    connection._sock = ours
    connection._http = h11.Connection(h11.CLIENT, 65_536)
    return connection, theirs


async def _sent_bytes(headers):
    connection, leaf = _open_pair()
    await connection.send(HttpRequest('GET', '/', headers))
    return await leaf.recv(65_536)


async def _received(payload):
    connection, leaf = _open_pair()
    await connection.send(HttpRequest('GET', '/'))
    await leaf.sendall(payload)
    await leaf.close()
    return await connection.receive()


def test_request_header_keeps_its_bytes():
    sent = run_on_fake_clock(_sent_bytes, {'x-name': NAME_TEXT})
    assert b'\r\nx-name: ' + NAME + b'\r\n' in sent


def test_response_header_keeps_its_bytes():
    async def respond(request):
        headers = {'x-name': request.headers['x-name']}
        return HttpResponse(200, headers)

    async def exchange():
        wire = await open_wire(respond)
        named = b'\r\nx-name: ' + NAME + b'\r\nhost'
        await wire.send(SEARCH.replace(b'\r\nhost', named))
        await wire.sock.shutdown(1)
        return await wire.read_raw()

    assert b'\r\nx-name: ' + NAME + b'\r\n' in run_on_fake_clock(exchange)


def test_received_header_is_its_bytes():
    payload = ANSWER.replace(b'stamp: s', b'x-name: ' + NAME)
    response = run_on_fake_clock(_received, payload)
    assert response.headers['x-name'] == NAME_TEXT


def test_repeated_headers_are_joined_and_named():
    twice = b'vary: a\r\nvary: b\r\nset-cookie: c=1\r\nset-cookie: d=2'
    response = run_on_fake_clock(_received, ANSWER.replace(b'stamp: s', twice))
    assert response.headers['vary'] == 'a, b'
    assert response.repeated == {'vary', 'set-cookie'}
    assert not run_on_fake_clock(_received, ANSWER).repeated


def test_cookies_stay_apart():
    async def respond(request):
        payload = ANSWER.replace(
            b'stamp: s', b'set-cookie: c=1, 2\r\nset-cookie: d=2'
        )
        return await _received(payload)

    async def exchange():
        wire = await open_wire(respond)
        await wire.send(SEARCH)
        await wire.sock.shutdown(1)
        return await wire.read_raw()

    raw = run_on_fake_clock(exchange)
    assert b'\r\nset-cookie: c=1, 2\r\nset-cookie: d=2\r\n' in raw.lower()


@pytest.mark.parametrize(
    'headers', [{'x': 'a\r\nb: c'}, {'a b': 'x'}, {'x': 'ł'}]
)
def test_unsendable_request_fails_before_a_byte_is_sent(headers):
    async def send():
        connection, _ = _open_pair()
        with pytest.raises(UnsendableRequestError):
            await connection.send(HttpRequest('GET', '/', headers))
        return connection.bytes_sent

    assert not run_on_fake_clock(send)


@pytest.mark.parametrize(
    'headers', [{'x': 'a\r\nb: c'}, {'a b': 'x'}, {'x': 'ł'}]
)
def test_unsendable_response_is_answered_as_an_error(headers):
    async def respond(request):
        return HttpResponse(200, headers)

    async def exchange():
        wire = await open_wire(respond)
        await wire.send(SEARCH + SEARCH)
        return await wire.replies()

    replies = run_on_fake_clock(exchange)
    assert [reply.status for reply in replies] == [500, 500]


def check_every_beginning_is_noticed():
    end = REFUSAL.index(b'\r\n\r\n')
    for size in range(1, end + 4):
        try:
            response = run_on_fake_clock(_received, REFUSAL[:size] + ANSWER)
        except HttpProtocolError:
            continue
        assert 'request-id' in response.repeated, REFUSAL[:size]


def test_every_beginning_of_an_earlier_response_is_noticed():
    check_every_beginning_is_noticed()


def test_client_that_takes_any_head_is_caught(monkeypatch):
    monkeypatch.setattr(client_module, '_check_is_one_head', lambda head: None)
    with pytest.raises(AssertionError):
        check_every_beginning_is_noticed()
