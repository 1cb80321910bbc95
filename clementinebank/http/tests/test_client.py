"""Guard against responses that are cut short, too large or mismatched.

A response is mismatched if a reused connection still holds bytes of an earlier
one. The tests also cover how connections are opened and requests encoded.
"""

import socket

import attrs
import curio
import h11
import pytest

from clementinebank.http import HttpConnection, HttpProtocolError, HttpRequest
from clementinebank.http import _client as client_module
from clementinebank.http.tests.wire import run_on_fake_clock

GOOD = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}'
ANOTHER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n[]'
TRUNCATED = b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n{}'
WITHOUT_LENGTH = b'HTTP/1.1 200 OK\r\n\r\n{}'
OVERSIZED = b'HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n'
OVERSIZED_CHUNKS = (
    b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n65\r\n'
    + b'z' * 101
    + b'\r\n0\r\n\r\n'
)
LONG_HEADERS = b'HTTP/1.1 200 OK\r\nx: ' + b'y' * 70_000


def _open_pair(connection_type=HttpConnection):
    ours, theirs = curio.socket.socketpair()
    connection = connection_type('127.0.0.1', 1, max_body_bytes=100)
    connection._sock = ours
    connection._http = h11.Connection(h11.CLIENT, 65_536)
    return connection, theirs


async def _receive(payload):
    connection, leaf = _open_pair()
    await connection.send(HttpRequest('GET', '/'))
    await leaf.recv(65_536)
    await leaf.sendall(payload)
    await leaf.close()
    try:
        return await connection.receive()
    except HttpProtocolError as error:
        return str(error)


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'garbage\r\n\r\n',
        TRUNCATED,
        WITHOUT_LENGTH,
        OVERSIZED,
        OVERSIZED_CHUNKS,
        LONG_HEADERS,
    ],
)
def test_bad_reply_is_refused(payload):
    assert isinstance(run_on_fake_clock(_receive, payload), str)


CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@pytest.mark.parametrize(
    ('payload', 'moment'),
    [
        (b'', 'before'),
        (CONTINUE, 'before'),
        (b'HTTP', 'in the middle of'),
        (CONTINUE + b'HTTP/1.1 20', 'in the middle of'),
        (GOOD[:30], 'in the middle of'),
        (TRUNCATED[:-2], 'in the middle of'),
        (TRUNCATED, 'in the middle of'),
        (CHUNKED, 'in the middle of'),
        (CHUNKED + b'5\r\nab', 'in the middle of'),
        (CHUNKED + b'5\r\nabcde\r\n', 'in the middle of'),
    ],
)
def test_early_end_is_told_in_plain_words(payload, moment):
    """The texts of h11 name its own states, which tell operators nothing."""
    reason = run_on_fake_clock(_receive, payload)
    assert reason == f'the server closed the connection {moment} its response'


def test_end_of_a_kept_connection_is_told_in_plain_words():
    async def run():
        connection, leaf = _open_pair()
        message = HttpRequest('GET', '/')
        await connection.send(message)
        await leaf.sendall(GOOD)
        await connection.receive()
        await connection.send(message)
        # Without reading the request, the close would be a reset.
        await leaf.recv(65_536)
        await leaf.close()
        await connection.receive()

    with pytest.raises(HttpProtocolError) as raised:
        run_on_fake_clock(run)
    assert str(raised.value) == (
        'the server closed the connection before its response'
    )


@pytest.mark.parametrize(
    ('payload', 'moment'), [(b'', 'before'), (TRUNCATED, 'in the middle of')]
)
def test_own_end_is_not_told_of_the_server(payload, moment):
    async def run():
        connection, leaf = _open_pair()
        await connection.send(HttpRequest('GET', '/'))
        await leaf.sendall(payload)
        task = await curio.spawn(connection.receive)
        await curio.sleep(0.1)
        connection.abort()
        try:
            await task.join()
        except curio.TaskError as error:
            return str(error.__cause__)

    assert run_on_fake_clock(run) == (
        f'this side closed the connection {moment} its response'
    )


@pytest.mark.parametrize('payload', [b'garbage\r\n\r\n', b'\r\n'])
def test_malformed_reply_is_not_told_as_an_early_end(payload):
    assert 'closed' not in run_on_fake_clock(_receive, payload)


async def _receive_two(payload):
    connection, leaf = _open_pair()
    message = HttpRequest('GET', '/')
    await connection.send(message)
    sent = await leaf.recv(65_536)
    await leaf.sendall(payload)
    first = await connection.receive()
    second = await connection.receive_after_late_response(message)
    await connection.send(message)
    assert await leaf.recv(65_536) == sent, 'the request was sent again'
    return first.body, second.body


def test_response_after_a_late_one_is_read():
    bodies = run_on_fake_clock(_receive_two, GOOD + ANOTHER)
    assert bodies == (b'{}', b'[]')


def test_no_response_follows_one_that_ends_the_connection():
    ended = GOOD.replace(b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n')
    with pytest.raises(HttpProtocolError):
        run_on_fake_clock(_receive_two, ended + ANOTHER)


def test_good_reply_is_accepted():
    assert run_on_fake_clock(_receive, GOOD).body == b'{}'


@pytest.mark.parametrize('count', [1, 9, 400, 5000])
def test_keep_alive_time_of_any_length_is_read(count):
    """Python converts no text of thousands of digits to an integer."""
    stated = b'\r\nkeep-alive: timeout=' + b'9' * count + b'\r\n\r\n'
    payload = GOOD.replace(b'\r\n\r\n', stated)
    assert run_on_fake_clock(_receive, payload).body == b'{}'


async def _is_reusable_after(connection_type, moment):
    connection, leaf = _open_pair(connection_type)
    await connection.send(HttpRequest('GET', '/'))
    await leaf.sendall(GOOD + ANOTHER if moment == 'with' else GOOD)
    await connection.receive()
    if moment == 'after':
        await leaf.sendall(ANOTHER)
    if moment == 'closed':
        await leaf.close()
    return connection.is_reusable


@pytest.mark.parametrize('moment', ['with', 'after', 'closed'])
def test_connection_with_unread_bytes_is_not_reused(moment):
    assert not run_on_fake_clock(_is_reusable_after, HttpConnection, moment)


def test_clean_connection_is_reused():
    assert run_on_fake_clock(_is_reusable_after, HttpConnection, 'none')


@attrs.define
class _ChecksOnlyProtocolState(HttpConnection):
    """Negative control: checks only the protocol state, not the socket."""

    @property
    def is_reusable(self):
        return self._http.our_state is h11.IDLE


@pytest.mark.parametrize('moment', ['with', 'after', 'closed'])
def test_check_catches_reuse(moment):
    assert run_on_fake_clock(
        _is_reusable_after, _ChecksOnlyProtocolState, moment
    )


class _FakeSocket:
    """Socket whose ``connect`` fails if ``is_refused`` is set."""

    is_refused = False
    opened = ()

    def __init__(self, sock):
        sock.close()
        self.is_closed = False
        _FakeSocket.opened = (*_FakeSocket.opened, self)

    def setsockopt(self, level, option, setting):
        self.options = {**getattr(self, 'options', {}), option: setting}

    async def connect(self, address):
        assert self.options[socket.SO_KEEPALIVE] == 1
        assert address == ('127.0.0.1', 1)
        if self.is_refused:
            raise ConnectionRefusedError('refused')

    async def close(self):
        self.is_closed = True


@pytest.fixture(name='fake_socket')
def _fake_socket(monkeypatch):
    async def getaddrinfo(*call_args):
        raise AssertionError('an IP number was looked up')

    monkeypatch.setattr(curio.socket, 'getaddrinfo', getaddrinfo)
    monkeypatch.setattr(client_module, 'SharedSocket', _FakeSocket)
    monkeypatch.setattr(_FakeSocket, 'opened', ())
    return _FakeSocket


def test_connect_starts_no_lookup_in_a_thread(fake_socket):
    run_on_fake_clock(HttpConnection('127.0.0.1', 1).connect)
    assert [each.is_closed for each in fake_socket.opened] == [False]


def test_refused_connect_leaves_no_socket_open(fake_socket, monkeypatch):
    monkeypatch.setattr(fake_socket, 'is_refused', True)
    connection = HttpConnection('127.0.0.1', 1)
    with pytest.raises(ConnectionRefusedError):
        run_on_fake_clock(connection.connect)
    assert [each.is_closed for each in fake_socket.opened] == [True]
    assert not connection.is_reusable


@pytest.mark.parametrize(
    ('method', 'body', 'is_stated'),
    [('GET', b'', False), ('GET', b'x', True), ('POST', b'', True)],
)
def test_length_is_stated_where_a_body_can_follow(method, body, is_stated):
    """Guard against a POST without content-length; many servers refuse it."""

    async def run():
        connection, leaf = _open_pair()
        await connection.send(HttpRequest(method, '/', {}, body))
        return await leaf.recv(65_536)

    stated = b'content-length: %d' % len(body)
    assert (stated in run_on_fake_clock(run)) == is_stated
