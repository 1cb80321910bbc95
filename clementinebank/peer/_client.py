"""Calls to peers over connections that are kept open."""

from collections import OrderedDict
from typing import Any

import attrs
import curio
from h2.exceptions import ProtocolError
from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.distribution import SyncMessage
from clementinebank.errors import Failure, Step
from clementinebank.membership import Member
from clementinebank.peer._codec import decode_message, encode_message
from clementinebank.peer._connection import (
    CONTENT_TYPE,
    MAX_MESSAGE_BYTES,
    SYNC_PATH,
    PeerConnection,
    PeerProtocolError,
    unframe,
)
from clementinebank.validation import Address

CALL_TIMEOUT_S = 1.0
# A call that may carry a whole document of 1 MB.
WHOLE_TIMEOUT_S = 5.0
# Random peers of a large fleet rarely repeat, so old connections are closed.
MAX_CONNECTIONS = 64
IDLE_LIMIT_S = 90.0


@attrs.define(eq=False)
class _Channel:
    address: Address
    lock: Any = attrs.Factory(curio.Lock)
    connection: PeerConnection | None = None
    used_at: float = 0

    async def exchange(self, payload: bytes) -> bytes:
        if self.connection is None:
            sock = await curio.open_connection(
                self.address.host, self.address.port
            )
            self.connection = PeerConnection(sock, is_client=True)
            await self.connection.start()
        headers = {
            ':method': 'POST',
            ':scheme': 'http',
            ':authority': str(self.address),
            ':path': SYNC_PATH,
            'content-type': CONTENT_TYPE,
            'te': 'trailers',
        }
        stream_id = self.connection.next_stream()
        await self.connection.send(stream_id, headers, payload)
        reply = await self.connection.receive()
        if reply is None or reply.stream_id != stream_id:
            raise PeerProtocolError('closed before the reply')
        status = reply.headers_by_name.get('grpc-status')
        if status != '0':
            raise PeerProtocolError(f'grpc-status {status}')
        return unframe(reply.body)

    async def close(self) -> None:
        connection = self.connection
        self.connection = None
        if connection is not None:
            await connection.close()


@attrs.define(eq=False)
class PeerClient:
    """Client of ``clementinebank.Peer/Sync`` with one connection per peer."""

    calls: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    _channels: OrderedDict[Address, _Channel] = attrs.Factory(OrderedDict)

    async def sync(
        self, member: Member, message: SyncMessage
    ) -> Result[SyncMessage, Failure]:
        """Send a message and return the reply.

        A failed call closes the connection, as a late reply on it would be
        taken for the reply of the next call.
        """
        payload = encode_message(message)
        if len(payload) > MAX_MESSAGE_BYTES:
            text = f'the message has {len(payload)} bytes'
            return Err(_failure('peer_message_too_large', text, member))
        channel = await self._channel(member.address)
        may_carry_whole = message.revision == 0 or message.delta is not None
        limit_s = WHOLE_TIMEOUT_S if may_carry_whole else CALL_TIMEOUT_S
        self.calls += 1
        try:
            async with curio.timeout_after(limit_s):
                return Ok(await self._exchange(channel, payload))
        except curio.TaskTimeout:
            text = f'no reply within {limit_s} s'
            return Err(_failure('peer_timeout', text, member))
        except (PeerProtocolError, ProtocolError) as error:
            return Err(_failure('peer_protocol', str(error), member))
        except OSError as error:
            return Err(_failure('peer_unreachable', str(error), member))

    async def close(self) -> None:
        """Close every connection."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()

    async def _exchange(self, channel: _Channel, payload: bytes) -> SyncMessage:
        async with channel.lock:
            is_done = False
            try:
                body = await channel.exchange(payload)
                reply = decode_message(body)
                is_done = True
            finally:
                self._count(channel)
                if not is_done:
                    await channel.close()
        return reply

    def _count(self, channel: _Channel) -> None:
        connection = channel.connection
        if connection is not None:
            self.bytes_sent += connection.bytes_sent
            self.bytes_received += connection.bytes_received
            connection.bytes_sent = 0
            connection.bytes_received = 0

    async def _channel(self, address: Address) -> _Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = _Channel(address)
            self._channels[address] = channel
        channel.used_at = now()
        self._channels.move_to_end(address)
        oldest = next(iter(self._channels.values()))
        is_idle = now() - oldest.used_at > IDLE_LIMIT_S
        if len(self._channels) > MAX_CONNECTIONS or is_idle:
            if not oldest.lock.locked():
                self._channels.pop(oldest.address)
                await oldest.close()
        return channel


def _failure(code: str, message: str, member: Member) -> Failure:
    return Failure(
        code,
        message,
        Step.DISTRIBUTE,
        peer=f'{member.instance_id} ({member.address})',
    )
