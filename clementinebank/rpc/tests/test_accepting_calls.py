"""Guards calls whose server tells at once that they have arrived.

A caller that cannot tell a silent server from a busy one waits too long for
the first or gives up the second. A server that works on for a caller that has
left wastes the leafs' time, and one that was paused must not begin calls that
were given up meanwhile.
"""

import socket

import curio

from clementinebank.clock import now
from clementinebank.rpc import RpcChannel, RpcServer
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


async def _call(channel, timeout_s=5.0):
    return await channel.call_before(now() + timeout_s, PATH, b'x', bytes)


def test_caller_learns_of_the_acceptance_before_the_reply():
    async def scenario(channel, work):
        accepted = []
        channel.on_accepted = lambda: accepted.append(list(work.events))
        assert await _call(channel) == b'x'
        assert accepted == [['started']] or accepted == [[]]
        # The connection can be used again.
        assert await _call(channel) == b'x'
        assert len(accepted) == 2

    _run(scenario)


def test_control_method_that_does_not_accept_early():
    async def scenario(channel, work):
        accepted = []
        channel.on_accepted = lambda: accepted.append(list(work.events))
        await _call(channel)
        assert accepted == [['started', 'done']]

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


def test_call_that_was_given_up_during_a_pause_is_not_begun():
    """The whole process is paused: nothing runs while the caller leaves."""

    async def scenario(channel, work):
        assert await _call(channel) == b'x'
        connection = channel.connection
        stream_id = connection.next_stream_id()
        headers = {
            ':method': 'POST',
            ':scheme': 'http',
            ':authority': 'x',
            ':path': PATH,
            'content-type': 'application/grpc+proto',
        }
        # Written and closed at once, so that the server sees both together.
        connection._http.send_headers(stream_id, list(headers.items()))
        connection._http.send_data(stream_id, b'\0\0\0\0\1x', end_stream=True)
        sock = connection.sock._socket
        sock.sendall(connection._http.data_to_send())
        sock.close()
        await curio.sleep(2 * WORK_S)
        assert work.events == ['started', 'done']

    _run(scenario)


def test_unsent_call_is_known_as_unsent():
    async def run():
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            address = Address(*probe.getsockname()[:2])
        channel = RpcChannel(address)
        try:
            await _call(channel)
        except OSError:
            assert not channel.is_sent
        else:
            raise AssertionError('the call did not fail')

    curio.run(run)
