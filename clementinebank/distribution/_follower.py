"""Loops that keep the document in force and the view of the fleet current.

They read the key-value service and the instance list and exchange messages
with peers.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
import curio
from eliot import log_message
from result import Err, Result

from clementinebank.clock import now
from clementinebank.coordination import InstanceList
from clementinebank.distribution._exchange import Exchange
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.distribution._messages import SyncMessage
from clementinebank.document import HeadRecord
from clementinebank.errors import Failure
from clementinebank.membership import Member

# Time between two syncs with a peer.
SYNC_INTERVAL_S = 1.0
# Time between two rounds of requests after a start or a pause.
ASK_INTERVAL_S = 0.5
TICK_INTERVAL_S = 0.25
# Mean time between two reads of the instance list.
LIST_INTERVAL_S = 5.0
# Number of peers that receive a new revision at once.
PUSH_PEER_COUNT = 3
# Number of peers that are told that this instance is leaving.
LEAVING_PEER_COUNT = 5
# Requests of one exchange: the first message, a delta, and the sections that
# differ if the delta did not fit.
MAX_REQUESTS_PER_SYNC = 3
# If the last reading of the head is older, most syncs go to an instance that
# reads the head earlier.
REFRESH_AGE_S = 1.5
# Every third sync goes to a random peer even then.
RANDOM_SYNC_PERIOD = 3
# First and longest delay before a failed watch is repeated.
MIN_WATCH_RETRY_S = 0.5
MAX_WATCH_RETRY_S = 4.0
# First and longest delay before an instance without a document reads the head
# itself. Peers are asked first, so that 22,000 restarts a day rarely read the
# key-value service.
START_READ_DELAY_S = 2.0
MAX_START_READ_DELAY_S = 16.0


class PeerTransport(Protocol):
    """Interface that the follower needs for calls to peers."""

    async def sync(
        self, member: Member, message: SyncMessage
    ) -> Result[SyncMessage, Failure]:
        """Send a message to a peer and return its reply or the failure."""
        ...


OnActivated = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class DocumentFollower:
    """Tasks that keep the document and the view of the fleet current.

    Parameters
    ----------
    exchange : Exchange
        View of the fleet, document in force and currency of this instance.
    head_reader : HeadReader
        Reader of the document's key in the key-value service.
    instance_list : InstanceList
        The platform's list of instances.
    transport : PeerTransport
        Calls to peers.
    on_activated : callable
        Coroutine function that is called after each activation.
    """

    exchange: Exchange
    head_reader: HeadReader
    instance_list: InstanceList
    transport: PeerTransport
    on_activated: OnActivated
    _sync_count: int = 0
    _activated_revision: int = 0
    _activation_lock: curio.Lock = attrs.Factory(curio.Lock)
    _has_activated: curio.Event = attrs.Factory(curio.Event)

    async def run(self) -> None:
        """Run all loops until the task is cancelled."""
        loops = (
            self._run_ticks,
            self._run_syncs,
            self._run_reply_collection,
            self._run_watch,
            self._run_list_reads,
            self._run_pushes,
            self._run_start_reads,
        )
        async with curio.TaskGroup() as group:
            for loop in loops:
                await group.spawn(loop)

    async def apply_written_head(self, head: HeadRecord) -> None:
        """Put in force a head record that this instance has just written."""
        self.exchange.state.apply(head, self.exchange.view.own.instance_id)
        await self._activate_new_revision()

    async def handle_request(self, message: SyncMessage) -> SyncMessage:
        """Apply the request of a peer and return the reply."""
        reply = self.exchange.handle_request(message, now())
        await self._activate_new_revision()
        return reply

    async def announce_leaving(self) -> None:
        """Mark this instance as leaving and tell some peers at once."""
        view = self.exchange.view
        view.mark_leaving()
        await self._sync_all(view.choose_peers(LEAVING_PEER_COUNT, now()))

    async def sync_with(self, member: Member) -> None:
        """Exchange messages with a peer until neither lacks sections.

        A failed call is counted for the peer and ends the exchange.
        """
        message: SyncMessage | None = self.exchange.build_request(now())
        for _ in range(MAX_REQUESTS_PER_SYNC):
            if message is None:
                return
            sent_at = now()
            outcome = await self.transport.sync(member, message)
            if isinstance(outcome, Err):
                self.exchange.view.record_failed_call(member.instance_id, now())
                log_message(
                    message_type='peer:sync_failed',
                    reason=str(outcome.err_value),
                )
                return
            message = self.exchange.handle_reply(
                outcome.ok_value, sent_at, now()
            )
            await self._activate_new_revision()

    async def _activate_new_revision(self) -> None:
        """Activate the revision in force if it is not active yet.

        The lock keeps tasks that change the state at the same time from
        activating revisions at the same time.
        """
        async with self._activation_lock:
            revision = self.exchange.state.revision
            if revision <= self._activated_revision:
                return
            self._activated_revision = revision
            await self.on_activated()
            log_message(message_type='document:activated', revision=revision)
        await self._has_activated.set()

    async def _run_ticks(self) -> None:
        while True:
            self.exchange.tick(now())
            await curio.sleep(TICK_INTERVAL_S)

    async def _run_syncs(self) -> None:
        view = self.exchange.view
        await curio.sleep(view.rng.random() * SYNC_INTERVAL_S)
        while True:
            started = now()
            view.advance_heartbeat(self.exchange.state.revision, started)
            for member in self._choose_sync_peers(started):
                await self.sync_with(member)
            await curio.sleep(max(0, started + SYNC_INTERVAL_S - now()))

    def _choose_sync_peers(self, at: float) -> list[Member]:
        view = self.exchange.view
        self._sync_count += 1
        age = self.exchange.currency.age_s(at)
        is_stale = age is None or age > REFRESH_AGE_S
        if is_stale and self._sync_count % RANDOM_SYNC_PERIOD:
            sources = view.reading_sources(at)
            if sources:
                return [view.rng.choice(sources)]
        return view.choose_peers(1, at)

    async def _run_reply_collection(self) -> None:
        """Sync with peers until enough of them replied after a start or pause.

        Until then this instance refuses document changes.
        """
        exchange = self.exchange
        while True:
            peers_to_ask = exchange.peer_replies.peers_to_ask(
                exchange.view, now()
            )
            await self._sync_all(peers_to_ask)
            await curio.sleep(ASK_INTERVAL_S)

    async def _run_watch(self) -> None:
        view = self.exchange.view
        retry_s = MIN_WATCH_RETRY_S
        while True:
            watchers = view.watchers(view.own.data_centre, now())
            is_needed = (
                view.own.instance_id in watchers
                or self.exchange.state.is_diverged
            )
            if not is_needed:
                self.head_reader.version = None
                await curio.sleep(MIN_WATCH_RETRY_S)
            elif await self.head_reader.read_or_watch():
                retry_s = MIN_WATCH_RETRY_S
                await self._activate_new_revision()
                if not self.head_reader.version:
                    await curio.sleep(MIN_WATCH_RETRY_S)
            else:
                await curio.sleep(retry_s * (0.5 + view.rng.random()))
                retry_s = min(2 * retry_s, MAX_WATCH_RETRY_S)

    async def _run_start_reads(self) -> None:
        """Read the head directly while this instance has no document.

        Usually a peer sends the document before the first read is due.
        """
        delay_s = START_READ_DELAY_S
        while self.exchange.state.document is None:
            await curio.sleep(delay_s * (0.5 + self.exchange.view.rng.random()))
            delay_s = min(2 * delay_s, MAX_START_READ_DELAY_S)
            if self.exchange.state.document is None:
                reader = HeadReader(self.head_reader.key_value, self.exchange)
                await reader.read_or_watch()
                await self._activate_new_revision()

    async def _run_list_reads(self) -> None:
        view = self.exchange.view
        while True:
            listed = await self.instance_list.instances()
            if isinstance(listed, Err):
                log_message(
                    message_type='instance_list:failed',
                    reason=str(listed.err_value),
                )
            else:
                view.merge_list(listed.ok_value, now())
            has_members = bool(view.entries_by_id)
            jitter = 0.5 + view.rng.random()
            await curio.sleep(
                (LIST_INTERVAL_S if has_members else SYNC_INTERVAL_S) * jitter
            )

    async def _run_pushes(self) -> None:
        view = self.exchange.view
        while True:
            await self._has_activated.wait()
            self._has_activated.clear()
            await self._sync_all(view.choose_peers(PUSH_PEER_COUNT, now()))

    async def _sync_all(self, members: list[Member]) -> None:
        async with curio.TaskGroup() as group:
            for member in members:
                await group.spawn(self.sync_with, member)
