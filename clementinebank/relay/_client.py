"""Reads entries and changes from other instances."""

from collections import OrderedDict
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.errors import Failure, Step
from clementinebank.relay._codec import (
    WatchReply,
    WatchRequest,
    decode_reply,
    encode_request,
)
from clementinebank.relay._log import EntryLog
from clementinebank.relay._model import (
    HISTORY_LOST,
    ChangeBatch,
    Entry,
    StoredState,
)
from clementinebank.relay._service import WATCH_PATH
from clementinebank.rpc import CallError, RpcChannel, failure_of
from clementinebank.validation import Address

# One round trip between the farthest data centres takes about 50 ms; a relay
# that is cut off must not hold up the change to another one.
CALL_TIMEOUT_S = 0.3
MAX_CHANNELS = 8


@attrs.define(eq=False)
class RelayClient:
    """Client of the relays, with one connection to each.

    Parameters
    ----------
    instance_id : str
        Name of this instance.
    address : Address
        Where it answers other instances itself.
    log : EntryLog
        What it knows; its age is told to the relays.
    create_channel : callable
        Opens the channel to an address.
    """

    instance_id: str
    address: Address
    log: EntryLog
    create_channel: Callable[[Address], RpcChannel] = RpcChannel
    calls: int = 0
    _channels: OrderedDict[Address, RpcChannel] = attrs.Factory(OrderedDict)

    async def read_all(self, address: Address) -> Result[StoredState, Failure]:
        """Return every entry that a relay knows now."""
        entries: list[Entry] = []
        first: WatchReply | None = None
        after_key = ''
        while True:
            request = self._request(0, 0, after_key)
            called = await self._call(address, request)
            if isinstance(called, Err):
                return called
            page = called.ok_value
            first = first or page
            entries.extend(page.entries)
            if not page.has_more:
                break
            after_key = page.entries[-1].key
        return Ok(StoredState(tuple(entries), first.revision, first.age_s))

    async def wait_for_changes(
        self, address: Address, revision: int, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes after a revision that a relay knows."""
        request = self._request(revision, wait_s)
        called = await self._call(address, request)
        if isinstance(called, Err):
            return called
        reply = called.ok_value
        if reply.is_history_lost:
            message = 'the relay lacks the changes since the revision'
            return Err(_failure(HISTORY_LOST, message, address))
        return Ok(ChangeBatch(reply.entries, reply.revision, reply.age_s))

    async def close(self) -> None:
        """Close every connection."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()

    def _request(
        self, revision: int, wait_s: float, after_key: str = ''
    ) -> WatchRequest:
        return WatchRequest(
            self.instance_id,
            self.address,
            revision,
            wait_s,
            after_key,
            self.log.age_s(now()),
        )

    async def _call(
        self, address: Address, request: WatchRequest
    ) -> Result[WatchReply, Failure]:
        self.calls += 1
        channel = await self._channel(address)
        deadline = now() + request.wait_s + CALL_TIMEOUT_S
        payload = encode_request(request)
        try:
            reply = await channel.call_before(
                deadline, WATCH_PATH, payload, decode_reply
            )
        except CallError as error:
            return Err(failure_of(error, Step.DISTRIBUTE, str(address)))
        if not reply.is_loaded:
            message = 'the relay knows no entries yet'
            return Err(_failure('not_loaded', message, address))
        return Ok(reply)

    async def _channel(self, address: Address) -> RpcChannel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self.create_channel(address)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            await oldest.close()
        return channel


def _failure(code: str, message: str, address: Address) -> Failure:
    return Failure(code, message, Step.DISTRIBUTE, peer=str(address))
