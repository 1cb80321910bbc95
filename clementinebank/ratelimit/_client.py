"""Client that acquires tokens of limited leafs from their coordinators."""

from collections import defaultdict
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)
from itertools import islice

import attrs
import curio
from eliot import log_message, write_traceback

from clementinebank.clock import now
from clementinebank.errors import Step
from clementinebank.ratelimit._messages import (
    MAX_STATEMENTS,
    Acquisition,
    decode_reply,
    encode_request,
)
from clementinebank.ratelimit._service import ACQUIRE_PATH, LimitService
from clementinebank.rpc import CALL_ERRORS, RpcChannel, failure_from_error
from clementinebank.validation import Address

# Interval in which demand is checked, without and with a limited leaf.
IDLE_INTERVAL_S = 0.1
BUSY_INTERVAL_S = 0.02
# Least time between two requests to the same coordinator.
MIN_ASK_INTERVAL_S = 0.05
# Time limit of a request; a round trip between the farthest data centres takes
# about 50 ms.
CALL_TIMEOUT_S = 0.3
# Time for which a coordinator that failed is not asked again.
PAUSE_S = 1.0
# Least time between two calls of `on_changed_limits`.
MIN_NOTICE_INTERVAL_S = 0.5

FindCoordinator = Callable[[str], Address | None]
FindListeners = Callable[[], Collection[Address]]


@attrs.define(eq=False)
class LimitClient:
    """Client that keeps the tokens of this instance at its demand.

    Load pattern that it answers: few instances make most requests to a limited
    leaf, so that equal shares would leave most of its limit unused, while the
    sum over all instances must not exceed it.

    Parameters
    ----------
    address : Address
        Where this instance answers other instances.
    service : LimitService
        Limits of this instance, and the coordinator that it is itself.
    find_coordinator : callable
        Returns the address of the coordinator of a leaf, ``None`` if none is
        known. The instance then earns its share of the limit.
    find_listeners : callable
        Returns the addresses that are told of limits that begin or end.
    on_changed_limits : callable
        Coroutine function that is called after limits have begun or ended.
    create_channel : callable
        Returns a new channel to an address.
    """

    address: Address
    service: LimitService
    find_coordinator: FindCoordinator
    find_listeners: FindListeners
    on_changed_limits: Callable[[], Awaitable[None]]
    create_channel: Callable[[Address], RpcChannel] = RpcChannel
    _channels: dict[Address, RpcChannel] = attrs.Factory(dict)
    _next_ask_at: dict[Address, float] = attrs.Factory(dict)
    _paused_until: dict[Address, float] = attrs.Factory(dict)
    _next_notice_at: float = 0

    async def run(self) -> None:
        """Acquire tokens and pass on limits until cancelled."""
        while True:
            table = self.service.table
            is_busy = table.limited_count or table.has_changes
            await curio.sleep(BUSY_INTERVAL_S if is_busy else IDLE_INTERVAL_S)
            try:
                if is_busy:
                    await self.update()
                elif not self.service.quotas.quotas_by_account:
                    await self._close_channels()
            except Exception:
                # Without this task the limits of all leafs would be kept by
                # shares only, until the process ends.
                write_traceback()

    async def update(self) -> None:
        """Ask the coordinators for the tokens that are lacking."""
        table = self.service.table
        wanted_by_coordinator: dict[Address, dict[str, int]] = defaultdict(dict)
        for leaf_id, wanted in table.wanted_by_leaf(now()).items():
            address = self.find_coordinator(leaf_id)
            if address is None or self.is_paused(address):
                table.use_share(leaf_id, now())
                continue
            # Also without a demand: the coordinator grants the whole limit,
            # and a share that is earned besides would exceed it.
            table.use_coordinator(leaf_id)
            if wanted:
                wanted_by_coordinator[address][leaf_id] = wanted
        own_wanted = wanted_by_coordinator.pop(self.address, {})
        granted = self.service.acquire(own_wanted, now())
        self._add_tokens(own_wanted, granted, now())
        for address, wanted_by_leaf in wanted_by_coordinator.items():
            await self._ask_if_due(address, wanted_by_leaf)
        await self._announce()

    async def _announce(self) -> None:
        """Tell the listeners of the limits that have begun or ended."""
        table = self.service.table
        if not table.has_changes or now() < self._next_notice_at:
            return
        self._next_notice_at = now() + MIN_NOTICE_INTERVAL_S
        leaf_ids = table.pop_changed_leafs()
        for address in self.find_listeners():
            if address == self.address or self.is_paused(address):
                continue
            for batch in _in_batches(leaf_ids):
                await curio.spawn(self._ask, address, {}, batch, daemon=True)
        await self.on_changed_limits()

    async def _ask_if_due(
        self, address: Address, wanted_by_leaf: dict[str, int]
    ) -> None:
        if now() < self._next_ask_at.get(address, 0):
            return
        _drop_past(self._next_ask_at)
        self._next_ask_at[address] = now() + MIN_ASK_INTERVAL_S
        for leaf_ids in _in_batches(wanted_by_leaf):
            wanted = {leaf_id: wanted_by_leaf[leaf_id] for leaf_id in leaf_ids}
            await curio.spawn(self._ask, address, wanted, leaf_ids, daemon=True)

    async def _ask(
        self,
        address: Address,
        wanted_by_leaf: dict[str, int],
        leaf_ids: Collection[str],
    ) -> None:
        """Send statements and the wanted tokens; apply the reply."""
        service = self.service
        asked_at = now()
        reply = await self.exchange(
            address,
            Acquisition(
                tuple(service.table.statements_of(leaf_ids)), wanted_by_leaf
            ),
        )
        if reply is None:
            for leaf_id in wanted_by_leaf:
                service.table.use_share(leaf_id, now())
            return
        service.on_statements(reply.known, now())
        self._add_tokens(wanted_by_leaf, reply.tokens_by_leaf, asked_at)

    async def exchange(
        self, address: Address, request: Acquisition
    ) -> Acquisition | None:
        """Return the reply of a coordinator, ``None`` if it failed.

        Any error counts as a failure of the coordinator. One that failed isn't
        to be asked for a while, see ``is_paused``.
        """
        asked_at = now()
        channel = self._channels.setdefault(
            address, self.create_channel(address)
        )
        try:
            reply: Acquisition = await channel.call_before(
                asked_at + CALL_TIMEOUT_S,
                ACQUIRE_PATH,
                encode_request(request, asked_at),
                lambda payload: decode_reply(payload, now()),
            )
        except CALL_ERRORS as error:
            self._pause(address, error, request)
            return None
        except Exception as error:
            write_traceback()
            self._pause(address, error, request)
            return None
        return reply

    def is_paused(self, address: Address) -> bool:
        """Return whether a coordinator has failed a short time ago."""
        return now() < self._paused_until.get(address, 0)

    def _add_tokens(
        self,
        wanted_by_leaf: Mapping[str, int],
        granted_by_leaf: Mapping[str, int],
        asked_at: float,
    ) -> None:
        """Add the tokens that a coordinator has granted."""
        for leaf_id, granted in granted_by_leaf.items():
            limit = self.service.table.limit_of(leaf_id)
            if limit is not None:
                wanted = wanted_by_leaf.get(leaf_id, 0)
                limit.on_granted(wanted, granted, asked_at, now())

    def _pause(
        self, address: Address, error: BaseException, request: Acquisition
    ) -> None:
        """Don't ask a coordinator for a while."""
        failure = failure_from_error(error, Step.DISPATCH, str(address))
        log_message(
            message_type='limit:coordinator_failed',
            coordinator=str(address),
            reason=str(failure),
            leafs=sorted(request.tokens_by_leaf),
            accounts=sorted(each.account for each in request.reports),
            seconds=PAUSE_S,
        )
        _drop_past(self._paused_until)
        self._paused_until[address] = now() + PAUSE_S

    async def _close_channels(self) -> None:
        """Close the connections, which are used only during a limit."""
        while self._channels:
            _, channel = self._channels.popitem()
            await channel.close()


def _drop_past(times_by_address: dict[Address, float]) -> None:
    """Drop the times that have passed, also of instances that are gone."""
    past = [each for each, at in times_by_address.items() if at <= now()]
    for address in past:
        times_by_address.pop(address)


def _in_batches(leaf_ids: Iterable[str]) -> Iterator[tuple[str, ...]]:
    """Yield the leafs in batches whose statements fit into one message."""
    remaining = iter(leaf_ids)
    while batch := tuple(islice(remaining, MAX_STATEMENTS)):
        yield batch
