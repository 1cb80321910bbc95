"""Guards callers against replies of other processes that are no success.

Faults seen on other systems (issue 50): an answer with the status 000 was taken
as one. A reply counts if both its HTTP and its gRPC status say so.
"""

import curio
import pytest

from clementinebank.clock import now, run_service
from clementinebank.rpc import RpcChannel, RpcProtocolError
from clementinebank.rpc._connection import RpcConnection
from clementinebank.validation import Address

PATH = '/test/Method'
LIMIT_S = 2.0


def call_server_that_replies(status, grpc_status):
    """Return the reply to a call, or raise its failure."""

    async def reply(sock, _):
        connection = RpcConnection(sock, is_client=False)
        await connection.start()
        message = await connection.receive()
        headers = {':status': status, 'content-type': 'application/grpc+proto'}
        trailers = {'grpc-status': grpc_status}
        await connection.send(message.stream_id, headers, b'reply', trailers)
        await connection.receive()

    async def run():
        listener = curio.tcp_server_socket('127.0.0.1', 0)
        await curio.spawn(
            curio.network.run_server, listener, reply, daemon=True
        )
        channel = RpcChannel(Address(*listener.getsockname()[:2]))
        return await channel.call_before(now() + LIMIT_S, PATH, b'x', bytes)

    return run_service(run)


def test_success_is_returned():
    assert call_server_that_replies('200', '0') == b'reply'


@pytest.mark.parametrize(
    ('status', 'grpc_status'),
    [('000', '0'), ('503', '0'), ('20', '0'), ('200', '000'), ('200', '13')],
)
def test_reply_with_another_status_is_a_failure(status, grpc_status):
    with pytest.raises(RpcProtocolError):
        call_server_that_replies(status, grpc_status)
