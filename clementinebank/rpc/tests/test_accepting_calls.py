"""Guards calls that their server accepts before it begins.

A caller that cannot tell whether a silent server has begun must not ask
another one. A server that works on for a caller that has left wastes the
leafs' time, and one that was paused must not begin calls that were given up
meanwhile.
"""

import socket

import curio
import pytest

from clementinebank.clock import now
from clementinebank.rpc import (
    CallDeadlines,
    CallNotAcceptedError,
    RpcChannel,
    RpcServer,
)
from clementinebank.validation import Address

PATH = '/test/Method'
WORK_S = 0.3


class _Work:
    """Handler that records when it starts and how it ends."""

    def __init__(self):
        self.events = []

    async def handle(self, payload):
        self.events.append('started')
        try:
            await curio.sleep(WORK_S)
        except curio.CancelledError:
            self.events.append('cancelled')
            raise
        self.events.append('done')
        return payload


def _run(scenario, accepting_paths=(PATH,)):
    async def run():
        work = _Work()
        server = RpcServer(
            '127.0.0.1',
            0,
            {PATH: work.handle},
            accepting_paths=accepting_paths,
        )
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        address = Address(*listener.getsockname()[:2])
        await curio.spawn(
            curio.network.run_server,
            listener,
            server.serve_connection,
            daemon=True,
        )
        await curio.spawn(server.cancel_disconnected, daemon=True)
        await scenario(RpcChannel(address), work)

    curio.run(run)


async def _call(channel, accept_s=1.0, timeout_s=5.0):
    deadlines = CallDeadlines(now() + accept_s, now() + timeout_s)
    return await channel.call_when_accepted(deadlines, PATH, b'x', bytes)


def test_accepted_call_is_handled_and_the_connection_used_again():
    async def scenario(channel, work):
        for _ in range(2):
            assert await _call(channel) == b'x'
            assert channel.is_handled
        assert work.events == ['started', 'done'] * 2

    _run(scenario)


def test_call_that_the_server_does_not_accept_is_never_handled():
    async def scenario(channel, work):
        with pytest.raises(CallNotAcceptedError):
            await _call(channel, accept_s=0.05)
        assert not channel.is_handled
        await curio.sleep(2 * WORK_S)
        assert not work.events

    _run(scenario, accepting_paths=())


def test_control_ordinary_call_is_handled_although_given_up():
    async def scenario(channel, work):
        with pytest.raises(curio.TaskTimeout):
            await channel.call_before(now() + 0.05, PATH, b'x', bytes)
        await curio.sleep(2 * WORK_S)
        assert work.events == ['started', 'done']

    _run(scenario, accepting_paths=())


def test_work_ends_when_the_caller_leaves():
    async def scenario(channel, work):
        task = await curio.spawn(_call, channel)
        await curio.sleep(0.05)
        await task.cancel()
        await curio.sleep(0.2)
        assert work.events == ['started', 'cancelled']

    _run(scenario)


def test_server_goes_on_after_a_caller_has_left():
    async def scenario(channel, work):
        for _ in range(3):
            task = await curio.spawn(_call, channel)
            await curio.sleep(0.05)
            await task.cancel()
        assert await _call(channel) == b'x'

    _run(scenario)


@pytest.mark.parametrize('is_ended', [True, False])
def test_call_that_was_given_up_during_a_pause_is_not_begun(is_ended):
    """The whole process is paused: nothing runs while the caller leaves."""

    async def scenario(channel, work):
        assert await _call(channel) == b'x'
        connection = channel.connection
        stream_id = connection.next_stream_id()
        headers = (
            (':method', 'POST'),
            (':scheme', 'http'),
            (':authority', 'x'),
            (':path', PATH),
            ('content-type', 'application/grpc+proto'),
        )
        # Written and closed at once, so that the server sees both together.
        connection._http.send_headers(stream_id, headers)
        connection._http.send_data(
            stream_id, b'\0\0\0\0\1x', end_stream=is_ended
        )
        sock = connection.sock._socket
        sock.sendall(connection._http.data_to_send())
        sock.close()
        await curio.sleep(2 * WORK_S)
        assert work.events == ['started', 'done']

    _run(scenario)


def test_call_to_a_port_without_a_process_is_known_as_not_handled():
    async def run():
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            address = Address(*probe.getsockname()[:2])
        channel = RpcChannel(address)
        with pytest.raises(OSError, match='111'):
            await _call(channel)
        assert not channel.is_handled

    curio.run(run)
