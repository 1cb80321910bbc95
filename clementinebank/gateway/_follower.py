"""Follows the stored routes and leafs and puts them in force."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio
from eliot import log_message, write_traceback
from result import Err

from clementinebank.clock import now
from clementinebank.errors import Failure
from clementinebank.gateway._feed import (
    Change,
    ConfigurationWritten,
    DecodeEntry,
    LeafRemoved,
    LeafWritten,
)
from clementinebank.leafs import LeafDirectory
from clementinebank.relay import (
    HISTORY_LOST,
    KEY_PREFIX,
    ControlFeed,
    Entry,
    EntryLog,
    RelayDirectory,
)
from clementinebank.routes import RouteTable

RETRY_INTERVAL_S = 0.1
# Nothing can be answered before the first contact.
FIRST_RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 0.8
# How often removed registrations are looked at.
EXPIRY_INTERVAL_S = 0.4

OnChanged = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class ControlFollower:
    """Keeps the route table and the leaf directory up to date.

    Parameters
    ----------
    feed : ControlFeed
        Source of the entries.
    decode : callable
        Returns what an entry means.
    table : RouteTable
        Routes in force.
    directory : LeafDirectory
        Registered leafs.
    relays : RelayDirectory
        Registered relays.
    log : EntryLog
        Entries that are known, for other instances.
    on_changed : callable
        Coroutine function that is called after each change.
    watch_wait_s : float
        Time after which a watch without a change is renewed, in seconds.
    """

    feed: ControlFeed
    decode: DecodeEntry
    table: RouteTable
    directory: LeafDirectory
    relays: RelayDirectory
    log: EntryLog
    on_changed: OnChanged
    watch_wait_s: float = 5.0
    _is_gap: bool = True
    _failures: int = 0

    @property
    def is_loaded(self) -> bool:
        """Return whether the entries are known."""
        return self.log.is_loaded

    @property
    def confirmed_at(self) -> float:
        """Return the runtime time at which the store was heard of last."""
        return self.log.confirmed_at

    async def run(self) -> None:
        """Follow until cancelled."""
        await curio.spawn(self._expire_leafs, daemon=True)
        while True:
            try:
                await self._step()
            except Exception:
                # A fault in one change must not end the following of others.
                write_traceback()
                self._is_gap = True
                await curio.sleep(MAX_RETRY_INTERVAL_S)

    async def _step(self) -> None:
        if self._is_gap:
            await self._load()
        else:
            await self._follow(self.log.revision)

    async def _load(self) -> None:
        loaded = await self.feed.read_all()
        if isinstance(loaded, Err):
            await self._back_off(loaded.err_value)
            return
        self._on_contact()
        state = loaded.ok_value
        await self.log.load(state)
        self._is_gap = False
        self.relays.load(filter(_is_of_relay, state.entries), now())
        changes = self._decode_all(state.entries)
        self.directory.retain(_leaf_ids(changes), now())
        self._apply(changes)
        await self.on_changed()

    async def _follow(self, revision: int) -> None:
        waited = await self.feed.wait_for_changes(revision, self.watch_wait_s)
        if isinstance(waited, Err):
            if waited.err_value.code == HISTORY_LOST:
                log_message(message_type='feed:history_lost', revision=revision)
                self._is_gap = True
                return
            await self._back_off(waited.err_value)
            return
        self._on_contact()
        batch = waited.ok_value
        await self.log.append(batch)
        for entry in filter(_is_of_relay, batch.entries):
            self.relays.take(entry, now())
        if batch.entries:
            self._apply(self._decode_all(batch.entries))
            await self.on_changed()

    def _decode_all(self, entries: Iterable[Entry]) -> list[Change]:
        decoded = [
            self.decode(entry) for entry in entries if not _is_of_relay(entry)
        ]
        return [change for change in decoded if change is not None]

    def _apply(self, changes: Iterable[Change]) -> None:
        for change in changes:
            if isinstance(change, ConfigurationWritten):
                self.table.activate(change.configuration)
            elif isinstance(change, LeafWritten):
                self.directory.register(change.record)
            elif isinstance(change, LeafRemoved):
                self.directory.remove(change.leaf_id, now())

    def _on_contact(self) -> None:
        if self._failures:
            log_message(
                message_type='feed:regained',
                failures=self._failures,
                silent_s=round(now() - self.confirmed_at, 3),
            )
        self._failures = 0

    async def _back_off(self, failure: Failure) -> None:
        if not self._failures:
            log_message(
                message_type='feed:lost',
                reason=str(failure),
                version=self.table.version,
            )
        growth = 2 ** min(self._failures, 8)
        self._failures += 1
        longest_s = (
            MAX_RETRY_INTERVAL_S if self.is_loaded else FIRST_RETRY_INTERVAL_S
        )
        await curio.sleep(min(longest_s, RETRY_INTERVAL_S * growth))

    async def _expire_leafs(self) -> None:
        while True:
            await curio.sleep(EXPIRY_INTERVAL_S)
            if now() >= self.directory.next_expiry():
                self.directory.expire(now())
                await self.on_changed()


def _is_of_relay(entry: Entry) -> bool:
    return entry.key.startswith(KEY_PREFIX)


def _leaf_ids(changes: Iterable[Change]) -> set[str]:
    return {
        change.record.leaf_id
        for change in changes
        if isinstance(change, LeafWritten)
    }
