"""Client for calls to peers, which keeps its connections open."""

from collections import OrderedDict

import attrs
from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.distribution import SyncMessage
from clementinebank.errors import Failure, Step
from clementinebank.membership import Member
from clementinebank.peer._codec import decode_message, encode_message
from clementinebank.peer._server import SYNC_PATH
from clementinebank.rpc import (
    CALL_ERRORS,
    MAX_MESSAGE_BYTES,
    RpcChannel,
    failure_from_error,
)
from clementinebank.validation import Address

CALL_TIMEOUT_S = 1.0
# Time limit of a call whose request or reply may carry a whole document, 1 MB.
DOCUMENT_CALL_TIMEOUT_S = 5.0
# In a large fleet a random peer is rarely chosen again, so the connection that
# was unused for longest is closed above this number or after the idle time.
MAX_CONNECTIONS = 64
IDLE_LIMIT_S = 90.0


@attrs.define(eq=False)
class PeerClient:
    """Client of ``clementinebank.Peer/Sync`` with one connection per peer.

    Parameters
    ----------
    calls : int
        Number of calls that were started.
    bytes_sent : int
        Bytes sent in all calls.
    bytes_received : int
        Bytes received in all calls.
    """

    calls: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    _channels: OrderedDict[Address, RpcChannel] = attrs.Factory(OrderedDict)

    async def sync(
        self, member: Member, message: SyncMessage
    ) -> Result[SyncMessage, Failure]:
        """Send a message to a member and return its reply or the failure.

        A failed call closes the connection, because a late reply on it could
        be mistaken for the reply of the next call.
        """
        payload = encode_message(message)
        if len(payload) > MAX_MESSAGE_BYTES:
            text = f'the message of {len(payload)} bytes is too large to send'
            return Err(_failure('peer_message_too_large', text, member))
        channel = await self._get_channel(member.address)
        may_carry_document = message.revision == 0 or message.delta is not None
        limit_s = (
            DOCUMENT_CALL_TIMEOUT_S if may_carry_document else CALL_TIMEOUT_S
        )
        self.calls += 1
        deadline = now() + limit_s
        try:
            return Ok(await self._exchange(channel, payload, deadline))
        except CALL_ERRORS as error:
            peer = f'{member.instance_id} ({member.address})'
            return Err(failure_from_error(error, Step.DISTRIBUTE, peer))

    async def close(self) -> None:
        """Close every connection."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()

    async def _exchange(
        self, channel: RpcChannel, payload: bytes, deadline: float
    ) -> SyncMessage:
        try:
            return await channel.call_before(
                deadline, SYNC_PATH, payload, decode_message
            )
        finally:
            sent, received = channel.pop_byte_counts()
            self.bytes_sent += sent
            self.bytes_received += received

    async def _get_channel(self, address: Address) -> RpcChannel:
        channel = self._channels.get(address)
        if channel is None:
            channel = RpcChannel(address)
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
