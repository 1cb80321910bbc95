"""Follows the stored routes and leafs and puts them in force."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio
from eliot import log_message, write_traceback
from result import Err

from clementinebank.clock import now
from clementinebank.errors import Failure
from clementinebank.gateway._feed import (
    HISTORY_LOST,
    Change,
    ConfigurationWritten,
    ControlFeed,
    LeafRemoved,
    LeafWritten,
    StoredState,
)
from clementinebank.leafs import LeafDirectory
from clementinebank.routes import RouteTable

# Each return of a watch costs a call, so that changes in quick succession are
# taken together; the bounds of drains and changes are seconds.
BATCH_INTERVAL_S = 0.4
RETRY_INTERVAL_S = 0.1
# Nothing can be answered before the first contact.
FIRST_RETRY_INTERVAL_S = 0.2
MAX_RETRY_INTERVAL_S = 0.8

OnChanged = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class ControlFollower:
    """Keeps the route table and the leaf directory up to date.

    Parameters
    ----------
    feed : ControlFeed
        Source of routes and leafs.
    table : RouteTable
        Routes in force.
    directory : LeafDirectory
        Registered leafs.
    on_changed : callable
        Coroutine function that is called after each change.
    watch_wait_s : float
        Time after which a watch without a change is renewed, in seconds.
    confirmed_at : float
        Runtime time of the last answer of the feed.
    """

    feed: ControlFeed
    table: RouteTable
    directory: LeafDirectory
    on_changed: OnChanged
    watch_wait_s: float = 5.0
    confirmed_at: float = float('-inf')
    is_loaded: bool = False
    _revision: int | None = None
    _failures: int = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        await curio.spawn(self._expire_leafs, daemon=True)
        while True:
            try:
                await self._step()
            except Exception:
                # A fault in one change must not end the following of others.
                write_traceback()
                self._revision = None
                await curio.sleep(MAX_RETRY_INTERVAL_S)

    async def _step(self) -> None:
        if self._revision is None:
            await self._load()
        else:
            await self._follow(self._revision)

    async def _load(self) -> None:
        loaded = await self.feed.read_all()
        if isinstance(loaded, Err):
            await self._back_off(loaded.err_value)
            return
        self._on_contact()
        state = loaded.ok_value
        self._revision = state.revision
        self.directory.retain(_leaf_ids(state), now())
        self._apply(state.changes)
        self.is_loaded = True
        await self.on_changed()

    async def _follow(self, revision: int) -> None:
        waited = await self.feed.wait_for_changes(revision, self.watch_wait_s)
        if isinstance(waited, Err):
            if waited.err_value.code == HISTORY_LOST:
                log_message(message_type='feed:history_lost', revision=revision)
                self._revision = None
                return
            await self._back_off(waited.err_value)
            return
        self._on_contact()
        batch = waited.ok_value
        self._revision = max(revision, batch.revision)
        if batch.changes:
            self._apply(batch.changes)
            await self.on_changed()
            await curio.sleep(BATCH_INTERVAL_S)

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
        self.confirmed_at = now()

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
            await curio.sleep(BATCH_INTERVAL_S)
            if now() >= self.directory.next_expiry():
                self.directory.expire(now())
                await self.on_changed()


def _leaf_ids(state: StoredState) -> set[str]:
    return {
        change.record.leaf_id
        for change in state.changes
        if isinstance(change, LeafWritten)
    }
