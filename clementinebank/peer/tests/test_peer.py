"""Guards against malformed, oversized, late or mixed-up messages of peers.

Such a message must fail only its own call and connection. Client and server
run in one process over socket pairs, on the real event loop.
"""

import attrs
import curio
import pytest
from curio import socket
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Ok

from clementinebank.distribution import DocumentDelta, SyncMessage
from clementinebank.document import AcceptedChange, Section
from clementinebank.membership import Member, MemberReport, MemberState
from clementinebank.peer import (
    PeerClient,
    create_peer_server,
    decode_message,
    encode_message,
    peer_pb2,
)
from clementinebank.peer._server import SYNC_PATH
from clementinebank.rpc import (
    MAX_MESSAGE_BYTES,
    RpcChannel,
    RpcConnection,
    RpcProtocolError,
    add_message_prefix,
    strip_message_prefix,
)
from clementinebank.validation import Address

ADDRESS = Address('127.0.0.1', 7)
SENDER = Member('i1', 10, ADDRESS, 'north', MemberState.LEAVING, 3, 9)


def message(text='x', **fields):
    delta = DocumentDelta(
        2,
        3,
        {'fleet': Section(text, 3, 'c3', 'eve', 7.5)},
        ('fleet',),
        b'd',
        (AcceptedChange('c3', 3, 'eve', ('fleet',), 7.5, 'dd'),),
    )
    return SyncMessage(
        SENDER,
        3,
        b'digest',
        head_age_s=1.25,
        view_digest=b'view',
        members=(MemberReport(attrs.evolve(SENDER, instance_id='i2'), 2.5),),
        delta=delta,
        section_digests={'fleet': b'12'},
        **fields,
    )


def test_message_survives_encoding():
    assert decode_message(encode_message(message())) == message()
    plain = SyncMessage(SENDER, 0, b'')
    assert decode_message(encode_message(plain)) == plain


def test_ages_never_shrink():
    encoded = encode_message(attrs.evolve(message(), head_age_s=1.0001))
    assert decode_message(encoded).head_age_s >= 1.0001


def test_message_of_a_newer_version_is_understood():
    raw = peer_pb2.SyncMessage.FromString(encode_message(message()))
    raw.protocol_version = 2
    payload = raw.SerializeToString() + b'\xa2\x06\x03new'
    assert decode_message(payload) == message()


@pytest.mark.parametrize(
    'payload', [b'', b'\xff\xff', b'not protobuf', b'\x08\x01']
)
def test_malformed_message_is_refused(payload):
    with pytest.raises(RpcProtocolError):
        decode_message(payload)


@seed(20261204)
@settings(max_examples=300, database=None, deadline=None)
@given(st.binary(max_size=80))
def test_arbitrary_bytes_raise_only_the_protocol_error(payload):
    try:
        decode_message(payload)
        strip_message_prefix(payload)
    except RpcProtocolError:
        return


def test_frame_with_wrong_length_is_refused():
    assert strip_message_prefix(add_message_prefix(b'abc')) == b'abc'
    for body in (
        b'',
        add_message_prefix(b'abc')[:-1],
        b'\x01' + add_message_prefix(b'abc')[1:],
    ):
        with pytest.raises(RpcProtocolError):
            strip_message_prefix(body)


async def _connected(server):
    """Return a client connected to the server, and the server's task."""
    near, far = socket.socketpair()
    task = await curio.spawn(server.serve_connection, far, 'peer')
    client = PeerClient()
    channel = RpcChannel(ADDRESS)
    channel.connection = RpcConnection(near, is_client=True)
    await channel.connection.start()
    client._channels[ADDRESS] = channel
    return client, task


async def _echo(received):
    return attrs.evolve(received, revision=received.revision + 1)


def test_calls_share_one_connection():
    async def run():
        server = create_peer_server('127.0.0.1', 0, _echo)
        client, task = await _connected(server)
        for _ in range(5):
            reply = await client.sync(SENDER, message())
            assert reply == Ok(attrs.evolve(message(), revision=4))
        many = [
            await curio.spawn(client.sync, SENDER, message()) for _ in 'abc'
        ]
        for each in many:
            assert (await each.join()).is_ok()
        assert server.message_count == 8
        await client.close()
        await task.join()

    curio.run(run)


def test_message_of_one_megabyte_passes():
    async def run():
        client, task = await _connected(
            create_peer_server('127.0.0.1', 0, _echo)
        )
        large = message('x' * 1_000_000)
        for _ in range(5):
            reply = await client.sync(SENDER, large)
            assert reply.ok_value.delta == large.delta
        await client.close()
        await task.join()

    curio.run(run)


def test_oversized_message_is_not_sent():
    async def run():
        client = PeerClient()
        reply = await client.sync(SENDER, message('x' * MAX_MESSAGE_BYTES))
        assert reply.err_value.code == 'peer_message_too_large'
        assert reply.err_value.peer == 'i1 (127.0.0.1:7)'

    curio.run(run)


@pytest.mark.parametrize(
    'body',
    [
        b'garbage',
        add_message_prefix(b'garbage'),
        b'x' * (MAX_MESSAGE_BYTES + 99),
    ],
)
def test_bad_message_closes_only_its_connection(body):
    async def run():
        server = create_peer_server('127.0.0.1', 0, _echo)
        good, good_task = await _connected(server)
        near, far = socket.socketpair()
        task = await curio.spawn(server.serve_connection, far, 'bad')
        connection = RpcConnection(near, is_client=True)
        await connection.start()
        headers = {
            ':method': 'POST',
            ':scheme': 'http',
            ':authority': 'x',
            ':path': '/clementinebank.Peer/Sync',
        }
        connection._http.send_headers(1, list(headers.items()))
        try:
            await connection._send_body(1, body)
            connection._http.end_stream(1)
            await connection.flush()
            assert await connection.receive() is None
        except (OSError, RpcProtocolError):
            pass
        await task.join()
        assert server.refused_connection_count == 1
        assert (await good.sync(SENDER, message())).is_ok()
        await good.close()
        await good_task.join()
        await connection.close()

    curio.run(run)


def test_bytes_that_are_no_http2_close_only_their_connection():
    async def run():
        server = create_peer_server('127.0.0.1', 0, _echo)
        near, far = socket.socketpair()
        task = await curio.spawn(server.serve_connection, far, 'bad')
        await near.sendall(b'GET / HTTP/1.1' + bytes(100))
        await task.join()
        assert server.refused_connection_count == 1
        await near.close()

    curio.run(run)


def test_failed_call_names_the_step_and_the_peer():
    async def run():
        server = create_peer_server('127.0.0.1', 0, _refuse)
        client, task = await _connected(server)
        reply = await client.sync(SENDER, message())
        # The client sees the close as an end of the stream or, if bytes were
        # unread, as a reset.
        codes = {'peer_protocol', 'peer_unreachable'}
        assert reply.err_value.code in codes
        assert reply.err_value.step.value == 'distribute'
        assert reply.err_value.peer == 'i1 (127.0.0.1:7)'
        assert client._channels[ADDRESS].connection is None
        await task.join()

    curio.run(run)


async def _refuse(received):
    raise RpcProtocolError('refused')


def test_reply_that_cannot_be_decoded_ends_no_other_call_on_the_channel():
    """Guard against a connection closed while another call reads from it.

    Closing a socket on which another task waits would end the process.
    """

    async def run():
        replies = [b'garbage', encode_message(message())]

        async def answer(payload):
            await curio.sleep(0.01)
            return replies.pop(0)

        server = create_peer_server('127.0.0.1', 0, _echo)
        server.handlers_by_path = {SYNC_PATH: answer}
        client, task = await _connected(server)
        calls = [
            await curio.spawn(client.sync, SENDER, message()) for _ in '12'
        ]
        results = [await call.join() for call in calls]
        assert results[0].err_value.code == 'peer_protocol'
        assert client.bytes_received > 0
        assert results[1].err_value.code == 'peer_unreachable'
        await client.close()
        await task.join()

    curio.run(run)
