"""Client that reads entries and changes from other instances."""

from collections import OrderedDict
from collections.abc import Callable

import attrs
from eliot import log_message
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
    EARLIER_ERA,
    HISTORY_LOST,
    ChangeBatch,
    Entry,
    StoredState,
    StorePosition,
)
from clementinebank.relay._service import WATCH_PATH
from clementinebank.rpc import (
    CALL_ERRORS,
    RpcChannel,
    RpcProtocolError,
    failure_from_error,
)
from clementinebank.validation import Address

# Time for a reply beyond the wait that the request asks for. A round trip
# between the farthest data centres takes about 50 ms; a relay that can't be
# reached must not delay the change to another one.
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
        Where this instance answers other instances.
    log : EntryLog
        Entries that this instance knows; their age is sent to the relays.
    create_channel : callable
        Returns a new channel to an address.
    data_centre : str
        Data centre of this instance.
    cores : float
        Processor of this instance in cores; 0 if it gathers no answers for
        other instances.
    on_notice : callable or None
        Receives what another service of the relay has added to a reply.
    """

    instance_id: str
    address: Address
    log: EntryLog
    create_channel: Callable[[Address], RpcChannel] = RpcChannel
    data_centre: str = ''
    cores: float = 0
    on_notice: Callable[[bytes], None] | None = None
    calls: int = 0
    _channels: OrderedDict[Address, RpcChannel] = attrs.Factory(OrderedDict)

    async def read_all(self, address: Address) -> Result[StoredState, Failure]:
        """Return every entry that a relay knows, read page by page.

        The position and the confirmation are those of the first page, so that
        changes that are made while the pages are read are received again
        afterwards. Pages of different eras don't make up a state.
        """
        entries: list[Entry] = []
        first: _ReceivedReply | None = None
        after_key = ''
        while True:
            request = self._create_request(StorePosition(), 0, after_key)
            result = await self._call(address, request)
            if isinstance(result, Err):
                return result
            first = first or result.ok_value
            page = result.ok_value.reply
            if not page.position.shares_era(first.reply.position):
                message = 'the relay changed its era between two pages'
                return Err(_failure(HISTORY_LOST, message, address))
            entries.extend(page.entries)
            if not self.log.can_load(entries):
                message = 'the entries are too large for this instance'
                return Err(_failure('state_too_large', message, address))
            if not page.has_more:
                break
            if not page.entries:
                message = 'the relay sent an empty page before the last one'
                return Err(_failure('malformed', message, address))
            after_key = page.entries[-1].key
        return Ok(
            StoredState(
                tuple(entries),
                first.reply.position,
                first.confirmed_at,
                page.position.revision,
            )
        )

    async def wait_for_changes(
        self, address: Address, position: StorePosition, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes that a relay knows after a position.

        Parameters
        ----------
        address : Address
            Where the relay answers.
        position : StorePosition
            Position up to which this instance knows the changes.
        wait_s : float
            Longest time that the relay waits for a change or a confirmation
            of the store, in seconds.

        Returns
        -------
        Result
            The changes; code ``history_lost`` if the relay can't tell all of
            them, ``earlier_era`` if what it knows is of an earlier era,
            ``not_loaded`` if it has no entries yet, or the code of the failed
            call.
        """
        request = self._create_request(position, wait_s)
        result = await self._call(address, request)
        if isinstance(result, Err):
            return result
        received = result.ok_value
        reply = received.reply
        if reply.position.has_earlier_era(position):
            message = f'the relay is still in era {reply.position.era}'
            return Err(_failure(EARLIER_ERA, message, address))
        if reply.is_history_lost:
            message = 'the relay lacks changes since the known position'
            return Err(_failure(HISTORY_LOST, message, address))
        return Ok(
            ChangeBatch(reply.entries, reply.position, received.confirmed_at)
        )

    async def close(self) -> None:
        """Close every connection."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()

    def _create_request(
        self, position: StorePosition, wait_s: float, after_key: str = ''
    ) -> WatchRequest:
        return WatchRequest(
            self.instance_id,
            self.address,
            position,
            wait_s,
            after_key,
            self.log.age_s(now()),
            self.data_centre,
            self.cores,
        )

    async def _call(
        self, address: Address, request: WatchRequest
    ) -> Result['_ReceivedReply', Failure]:
        self.calls += 1
        sent_at = now()
        channel = await self._get_channel(address)
        deadline = now() + request.wait_s + CALL_TIMEOUT_S
        payload = encode_request(request)
        try:
            reply = await channel.call_before(
                deadline, WATCH_PATH, payload, decode_reply
            )
        except CALL_ERRORS as error:
            return Err(failure_from_error(error, Step.DISTRIBUTE, str(address)))
        received_at = now()
        if self.on_notice is not None:
            try:
                self.on_notice(reply.notice)
            except RpcProtocolError as error:
                # The entries of the reply are valid all the same.
                log_message(
                    message_type='relay:invalid_notice',
                    relay=str(address),
                    reason=str(error),
                )
        if not reply.is_loaded:
            message = 'the relay has not loaded the entries yet'
            return Err(_failure('not_loaded', message, address))
        return Ok(_receive(reply, sent_at, received_at))

    async def _get_channel(self, address: Address) -> RpcChannel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self.create_channel(address)
            self._channels[address] = channel
        self._channels.move_to_end(address)
        if len(self._channels) > MAX_CHANNELS:
            _, oldest = self._channels.popitem(last=False)
            await oldest.close()
        return channel


@attrs.frozen
class _ReceivedReply:
    """Reply of a relay, and what it says about the time.

    Parameters
    ----------
    reply : WatchReply
        The reply, with the time of its way in the ages of removals.
    confirmed_at : float
        Runtime time in seconds up to which the store confirms the entries.
    """

    reply: WatchReply
    confirmed_at: float


def _receive(
    reply: WatchReply, sent_at: float, received_at: float
) -> _ReceivedReply:
    """Return a reply whose ages count from its arrival.

    Without the time of its way two instances that read from each other would
    take an old state for a younger one with each exchange. A relay that doesn't
    say how long it held the request may have answered it at once.
    """
    held_s = reply.held_s or 0
    way_s = max(0, received_at - sent_at - held_s)
    entries = tuple(
        each
        if each.removed_age_s is None
        else attrs.evolve(each, removed_age_s=each.removed_age_s + way_s)
        for each in reply.entries
    )
    return _ReceivedReply(
        attrs.evolve(reply, entries=entries),
        received_at - way_s - reply.age_s,
    )


def _failure(code: str, message: str, address: Address) -> Failure:
    return Failure(code, message, Step.DISTRIBUTE, peer=str(address))
