"""Guards the event loop against senders that never pause.

A read from a socket with ready bytes doesn't block, so a server, caller or
other instance that sends without end held the loop: no other task ran and no
timeout fired. Each reader is fed by a thread at full speed while another task
measures how long it waits for its turn.
"""

import gc
import itertools
import socket
import threading
import time

import curio
import pytest

from clementinebank.clock import now
from clementinebank.http import (
    BufferLimit,
    HttpConnection,
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
    HttpServer,
    _turns,
)
from clementinebank.rpc import RpcChannel, RpcServer
from clementinebank.validation import Address

# Longest time for which the users accept that one peer holds the loop.
MAX_DELAY_S = 0.1
READ_TIME_S = 0.6
OK_HEAD = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK_HEAD + b'transfer-encoding: chunked\r\n\r\n'
SETTINGS_FRAME = b'\0\0\0\x04\0\0\0\0\0'
PING_FRAME = b'\0\0\x08\x06\0\0\0\0\0' + bytes(8)
HTTP2_PREFACE = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'

# First bytes and the bytes that follow without end, of responses.
RESPONSES = {
    'status line': (b'HTTP/1.1 200 ', b'x' * 4096),
    'headers': (OK_HEAD, b'a: b\r\n' * 1000),
    'informational responses': (b'', b'HTTP/1.1 103 Early\r\n\r\n' * 500),
    'chunks of one byte': (CHUNKED, b'1\r\nx\r\n' * 2000),
    'chunk extension': (CHUNKED + b'1;', b'x' * 4096),
    'chunk size': (CHUNKED, b'0' * 4096),
    'trailers': (CHUNKED + b'0\r\n', b'a: b\r\n' * 1000),
    'body past its length': (
        OK_HEAD + b'content-length: 1\r\n\r\n',
        b'x' * 4096,
    ),
    'body without a length': (OK_HEAD + b'\r\n', b'x' * 65_536),
    'no HTTP at all': (b'', b'\0\xff' * 2048),
}
# The same for requests.
REQUEST_HEAD = b'POST / HTTP/1.1\r\nhost: h\r\n'
REQUESTS = {
    'request line': (b'GET /', b'x' * 4096),
    'headers': (REQUEST_HEAD, b'a: b\r\n' * 1000),
    'chunks of one byte': (
        REQUEST_HEAD + b'transfer-encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 2000,
    ),
    'pipelined requests': (b'', b'GET / HTTP/1.1\r\nhost: h\r\n\r\n' * 500),
}


@pytest.fixture(autouse=True)
def _without_the_heap_of_other_tests():
    """Keep the objects of other tests out of garbage collections.

    A full collection of the heap of the whole suite alone takes longer than
    the bound.
    """
    gc.collect()
    gc.freeze()
    yield
    gc.unfreeze()


class _Flood(threading.Thread):
    """Thread that sends bytes without end over a socket until it is closed."""

    def __init__(self, sock, first, endless):
        super().__init__(daemon=True)
        self.sock, self.first, self.endless = sock, first, endless
        self.is_stopped = False

    def run(self):
        self.sock.settimeout(0.2)
        for payload in itertools.chain(
            (self.first,), itertools.repeat(self.endless)
        ):
            if self.is_stopped:
                return
            try:
                self.sock.sendall(payload)
            except TimeoutError:
                continue
            except OSError:
                return


async def _longest_delay_s(duration_s):
    """Return the longest time for which others held the loop, in seconds.

    It is processor time of this thread, since other processes of the machine
    don't hold the loop.
    """
    longest = 0.0
    end = now() + duration_s
    while now() < end:
        before = time.thread_time()
        await curio.sleep(0.005)
        longest = max(longest, time.thread_time() - before)
    return longest


async def _measure(corofunc, flood):
    """Run a reader beside a flood; return the longest delay of the loop."""
    task = await curio.spawn(corofunc, daemon=True)
    try:
        return await _longest_delay_s(READ_TIME_S)
    finally:
        flood.is_stopped = True
        await task.cancel()
        flood.sock.close()


def _listen():
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen()
    return listener


async def _flooded_connection(first, endless):
    """Return a connection to a server that floods it, and the flood."""
    with _listen() as listener:
        connection = HttpConnection(
            *listener.getsockname(), allows_close_delimited=True
        )
        await connection.connect()
        flood = _Flood(listener.accept()[0], first, endless)
    await connection.send(HttpRequest('GET', '/'))
    flood.start()
    return connection, flood


def _flood_of(server_task_factory, payloads):
    """Return the delay of the loop while a client floods a server."""

    async def run():
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        client = socket.create_connection(listener.getsockname())
        sock, peer = await listener.accept()
        flood = _Flood(client, *payloads)
        flood.start()
        return await _measure(server_task_factory(sock, peer), flood)

    return curio.run(run)


@pytest.mark.parametrize('kind', RESPONSES)
def test_response_without_end_does_not_hold_the_loop(kind):
    async def run():
        connection, flood = await _flooded_connection(*RESPONSES[kind])

        async def read():
            try:
                await curio.timeout_after(READ_TIME_S / 2, connection.receive)
            except (HttpProtocolError, curio.TaskTimeout, OSError):
                ended_at.append(now())
            await connection.close()

        ended_at = []
        started_at = now()
        delay_s = await _measure(read, flood)
        assert ended_at or kind == 'body past its length'
        assert not ended_at or ended_at[0] - started_at < READ_TIME_S
        return delay_s

    assert curio.run(run) < MAX_DELAY_S


async def _answer(request):
    return HttpResponse(404)


@pytest.mark.parametrize('kind', REQUESTS)
def test_request_without_end_does_not_hold_the_loop(kind):
    server = HttpServer('127.0.0.1', 0, _answer)

    def create(sock, peer):
        async def serve():
            await server._start_connection(sock)
            await curio.sleep(READ_TIME_S)

        return serve

    assert _flood_of(create, REQUESTS[kind]) < MAX_DELAY_S


@pytest.mark.parametrize('frame', [PING_FRAME, SETTINGS_FRAME, b'\xff' * 9])
def test_frames_without_end_do_not_hold_the_loop(frame):
    server = RpcServer('127.0.0.1', 0, {})

    def create(sock, peer):
        async def serve():
            await server.serve_connection(sock, peer)

        return serve

    payloads = (HTTP2_PREFACE + SETTINGS_FRAME, frame * 500)
    assert _flood_of(create, payloads) < MAX_DELAY_S


def test_reply_frames_without_end_do_not_hold_the_loop():
    async def run():
        with _listen() as listener:
            channel = RpcChannel(Address(*listener.getsockname()))

            async def call():
                try:
                    await channel.call_before(
                        now() + READ_TIME_S / 2, '/a/B', b'', bytes
                    )
                except curio.TaskTimeout:
                    ended.append(True)

            ended = []
            task = await curio.spawn(call)
            await curio.sleep(0.05)
            flood = _Flood(
                listener.accept()[0], SETTINGS_FRAME, PING_FRAME * 500
            )
        flood.start()
        delay_s = await _longest_delay_s(READ_TIME_S)
        flood.is_stopped = True
        await task.join()
        assert ended
        return delay_s

    assert curio.run(run) < MAX_DELAY_S


def test_control_reader_without_turns_holds_the_loop(monkeypatch):
    """Shows that the checks above notice a reader that never yields."""
    monkeypatch.setattr(_turns, 'MAX_TURN_S', float('inf'))

    async def run():
        connection, flood = await _flooded_connection(
            *RESPONSES['chunks of one byte']
        )

        async def read():
            try:
                await curio.timeout_after(READ_TIME_S / 2, connection.receive)
            except (HttpProtocolError, curio.TaskTimeout, OSError):
                await connection.close()

        # The flood ends by itself, since nothing else can run meanwhile.
        timer = threading.Timer(
            READ_TIME_S, lambda: setattr(flood, 'is_stopped', True)
        )
        timer.start()
        return await _measure(read, flood)

    assert curio.run(run) > MAX_DELAY_S


def test_bodies_together_stay_within_the_bound():
    """Ten servers send bodies without end; memory is bounded for all."""

    async def run():
        buffers = BufferLimit(100_000)
        most = 0
        pairs = [
            await _flooded_connection(*RESPONSES['body without a length'])
            for _ in range(10)
        ]
        failures = []

        async def read(connection):
            connection.buffers = buffers
            try:
                await connection.receive()
            except HttpProtocolError as error:
                failures.append(str(error))

        tasks = [await curio.spawn(read, each) for each, _ in pairs]
        for task in tasks:
            await task.join()
            most = max(most, buffers.used_bytes)
        for connection, flood in pairs:
            flood.is_stopped = True
            await connection.close()
        assert len(failures) == 10
        assert most <= 100_000
        assert buffers.used_bytes == 0

    curio.run(run)
