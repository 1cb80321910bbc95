"""Tells other instances which leafs have said that they leave."""

from collections.abc import Awaitable, Callable, Collection, Iterable

import attrs
import curio
from eliot import log_message, write_traceback

from clementinebank.clock import now
from clementinebank.departures._messages import (
    MAX_TOLD,
    decode_news,
    encode_news,
)
from clementinebank.errors import Step
from clementinebank.leafs import LeafDirectory
from clementinebank.rpc import CALL_ERRORS, RpcChannel, failure_from_error
from clementinebank.validation import Address

TELL_PATH = '/clementinebank.Departures/Tell'
# Interval in which news are looked for.
CHECK_INTERVAL_S = 0.1
# Time limit of a call; a round trip between the farthest data centres takes
# about 50 ms.
CALL_TIMEOUT_S = 0.5
# Time for which a failed call is repeated; afterwards the relay of an instance
# is another one, or has heard of the departure from the registry.
TOLD_TIME_S = 10.0
RETRY_INTERVAL_S = 0.5

FindListeners = Callable[[], Collection[Address]]
OnLeaving = Callable[[str, bool], bool]


@attrs.define(eq=False)
class DepartureAnnouncer:
    """Source and receiver of the news about leaving leafs.

    An instance that hears of a departure from the leaf tells its relay, the
    relay tells the other relays, and each relay all its followers by a notice
    in its replies.

    Parameters
    ----------
    address : Address
        Where this instance answers other instances.
    directory : LeafDirectory
        Knows the departures.
    find_listeners : callable
        Returns the addresses to tell: the own relay, or all relays if this
        instance is one.
    on_leaving : callable
        Applies a departure, with whether it has to be told on; returns
        whether it was news.
    on_news : callable
        Coroutine function that is called after news, to wake the followers.
    create_channel : callable
        Returns a new channel to an address.
    """

    address: Address
    directory: LeafDirectory
    find_listeners: FindListeners
    on_leaving: OnLeaving
    on_news: Callable[[], Awaitable[None]]
    create_channel: Callable[[Address], RpcChannel] = RpcChannel
    _failed_at_by_id: dict[str, float] = attrs.Factory(dict)

    async def run(self) -> None:
        """Tell news until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            try:
                await self.update()
            except Exception:
                # Without this task no other instance would hear of a departure
                # until the process ends.
                write_traceback()

    async def update(self) -> None:
        """Tell the listeners of the departures that are still untold."""
        departures = self.directory.departures
        departures.expire(now(), self.directory.registered_departures())
        listeners = set(self.find_listeners()) if departures.untold else None
        if not listeners:
            # While no relay is known the news are kept for the first one.
            return
        await self.on_news()
        untold = sorted(departures.pop_untold())
        is_relay = len(listeners) != 1 or self.address in listeners
        for address in listeners - {self.address}:
            for first in range(0, len(untold), MAX_TOLD):
                await curio.spawn(
                    self._tell,
                    address,
                    untold[first : first + MAX_TOLD],
                    not is_relay,
                    daemon=True,
                )

    async def handle_tell(self, payload: bytes) -> bytes:
        """Apply the departures of one encoded message.

        Raises
        ------
        RpcProtocolError
            If the payload is malformed.
        """
        news = decode_news(payload)
        is_news = self._apply(news.incarnation_ids, is_told_on=news.is_told_on)
        if is_news and not news.is_told_on:
            await self.on_news()
        return b''

    def encode_notice(self) -> bytes:
        """Return the departures that followers have to know, if any."""
        return encode_news(self.directory.registered_departures())

    def apply_notice(self, notice: bytes) -> None:
        """Apply the departures that a relay knows.

        Raises
        ------
        RpcProtocolError
            If the notice is malformed.
        """
        if notice:
            self._apply(decode_news(notice).incarnation_ids, is_told_on=False)

    def _apply(
        self, incarnation_ids: Iterable[str], *, is_told_on: bool
    ) -> bool:
        return any(
            [self.on_leaving(each, is_told_on) for each in incarnation_ids]
        )

    async def _tell(
        self, address: Address, incarnation_ids: list[str], is_told_on: bool
    ) -> None:
        """Tell one listener, again after a failure, for a limited time."""
        payload = encode_news(incarnation_ids, is_told_on=is_told_on)
        end = now() + TOLD_TIME_S
        while now() < end:
            channel = self.create_channel(address)
            try:
                await channel.call_before(
                    now() + CALL_TIMEOUT_S, TELL_PATH, payload, bytes
                )
            except CALL_ERRORS as error:
                failure = failure_from_error(error, Step.DISPATCH, str(address))
                log_message(
                    message_type='leaf:leaving_untold',
                    listener=str(address),
                    reason=str(failure),
                    leafs=incarnation_ids,
                )
            else:
                return
            finally:
                await channel.close()
            await curio.sleep(RETRY_INTERVAL_S)
