"""Keeps the routes and leafs of an instance equal to the stored ones."""

from collections.abc import Awaitable, Callable, Iterable

import attrs
import curio
from eliot import log_message, write_traceback
from result import Err

from clementinebank.clock import now
from clementinebank.errors import Failure
from clementinebank.gateway._changes import (
    Change,
    ConfigurationWritten,
    DecodeEntry,
    EvacuationBegun,
    LeafRemoved,
    LeafWritten,
)
from clementinebank.leafs import LeafDirectory
from clementinebank.relay import (
    HISTORY_LOST,
    KEY_PREFIX,
    ChangeBatch,
    Entry,
    EntryLog,
    RelayDirectory,
    SourcedFeed,
    StoredState,
    StorePosition,
)
from clementinebank.routes import RouteTable

# Wait before the first retry of a failed read; doubled by each failure.
MIN_RETRY_INTERVAL_S = 0.1
# Longest wait before the first load: until then no request can be answered.
MAX_RETRY_INTERVAL_BEFORE_LOAD_S = 0.2
# Longest wait afterwards.
MAX_RETRY_INTERVAL_S = 0.8
# Time within which writers write again what a store has lost that comes back
# from an older copy. Leafs register again within about two seconds.
REWRITE_S = 2.2
# Time after which a registration that still stands in a restored store counts,
# though its leaf was removed before: a leaf that doesn't renew it has lost it.
COPY_DOUBT_S = 10.0
# Allowance for the later news of followers, so that the same confirmation ends
# their wait as well.
NEWS_RESERVE_S = 0.2
# Interval of the check for removed leafs whose grace period is over.
EXPIRY_CHECK_INTERVAL_S = 0.1

OnChangesApplied = Callable[[], Awaitable[None]]


@attrs.define(eq=False)
class ControlStateUpdater:
    """Reader of the control feed that updates routes, leafs and relays.

    Parameters
    ----------
    feed : SourcedFeed
        Source of the entries.
    decode_entry : callable
        Returns the change that an entry makes, or ``None``.
    route_table : RouteTable
        Routes in force.
    leaf_directory : LeafDirectory
        Registered leafs.
    relays : RelayDirectory
        Registered relays.
    entry_log : EntryLog
        Receives every entry, so that a relay can pass them on to other
        instances.
    on_changes_applied : callable
        Coroutine function that is called after changes were applied.
    watch_wait_s : float
        Time after which a watch that returned no change is repeated, in
        seconds.
    """

    feed: SourcedFeed
    decode_entry: DecodeEntry
    route_table: RouteTable
    leaf_directory: LeafDirectory
    relays: RelayDirectory
    entry_log: EntryLog
    on_changes_applied: OnChangesApplied
    watch_wait_s: float = 5.0
    _must_reload: bool = True
    _consecutive_failures: int = 0
    # Runtime time in seconds of the last load of a state of a later era, while
    # entries that it lacks are kept.
    _restored_at: float = float('inf')
    # Runtime time in seconds until which the registrations below are ignored.
    _doubted_until: float = float('inf')
    # Position of the last state that was applied as a whole.
    _applied: StorePosition = attrs.Factory(StorePosition)
    # Revisions of registrations that a restored store has of removed leafs.
    _removed_revisions_by_key: dict[str, int] = attrs.Factory(dict)
    # Version, revision and era of the configuration entry that came last.
    _last_configuration: tuple[int, int, int | None] = (0, 0, None)

    @property
    def is_loaded(self) -> bool:
        """Return whether all entries were read at least once."""
        return self.entry_log.is_loaded

    @property
    def confirmed_at(self) -> float:
        """Return when the store last confirmed the entries.

        The time is runtime time in seconds, minus infinity before the first
        load.
        """
        return self.entry_log.confirmed_at

    async def run(self) -> None:
        """Read the feed and apply its changes until cancelled."""
        await curio.spawn(self._expire_leafs, daemon=True)
        while True:
            try:
                await self._update()
            except Exception:
                # A change that can't be applied must not keep later ones from
                # being applied, so everything is read again.
                write_traceback()
                self._must_reload = True
                await curio.sleep(MAX_RETRY_INTERVAL_S)

    async def _update(self) -> None:
        if self._must_reload:
            await self._load_all()
        else:
            await self._apply_next_changes(self.entry_log.position)

    async def _load_all(self) -> None:
        loaded = await self.feed.read_all()
        if isinstance(loaded, Err):
            await self._back_off(loaded.err_value)
            return
        await self._apply_state(loaded.ok_value)

    async def _apply_state(self, state: StoredState) -> None:
        if not self.entry_log.can_load(state.entries):
            await self._refuse_state()
            return
        self._on_feed_success()
        is_restored = self._applied.has_earlier_era(state.position)
        removed_at = self.entry_log.removal_time(now())
        await self.entry_log.load(state)
        self._must_reload = False
        if is_restored:
            self._apply_restored(state)
        else:
            self._apply_loaded(state, removed_at)
        self._applied = state.position
        self.leaf_directory.expire(now())
        await self.on_changes_applied()

    def _apply_loaded(self, state: StoredState, removed_at: float) -> None:
        """Apply a whole state; what it lacks was removed."""
        registrations = filter(_is_relay_registration, state.entries)
        if self._restored_at < float('inf'):
            self.relays.restore(registrations, now())
        else:
            self.relays.load(registrations, now())
        changes = self._decode_all(
            each
            for each in state.entries
            if self._removed_revisions_by_key.get(each.key) != each.revision
        )
        self.leaf_directory.retain(_leaf_ids(changes), removed_at)
        self.leaf_directory.evacuate(_evacuated_data_centres(changes))
        for change in changes:
            self._apply_change(change, removed_at)

    def _apply_restored(self, state: StoredState) -> None:
        """Apply the state of a store that is back from an older copy.

        Its writers write again what the store has lost, so what the copy lacks
        or has in an older form stays in force for a limited time.
        """
        log_message(
            message_type='feed:store_restored',
            era=state.position.era,
            revision=state.position.revision,
            version=self.route_table.version,
        )
        registrations = filter(_is_relay_registration, state.entries)
        self.relays.restore(registrations, now())
        changes_by_entry = {each: self._decode(each) for each in state.entries}
        changes = [each for each in changes_by_entry.values() if each]
        ignored_ids = self.leaf_directory.restore(
            [each.record for each in changes if isinstance(each, LeafWritten)],
            _evacuated_data_centres(changes),
        )
        self._removed_revisions_by_key = {
            entry.key: entry.revision
            for entry, change in changes_by_entry.items()
            if change and _leaf_ids([change]) & ignored_ids
        }
        self._restored_at = now()
        self._doubted_until = now() + COPY_DOUBT_S
        for change in changes:
            if isinstance(change, ConfigurationWritten):
                self._apply_change(change, now())

    async def _apply_next_changes(self, position: StorePosition) -> None:
        received = await self.feed.wait_for_changes(
            position, self._next_wait_s()
        )
        if isinstance(received, Err):
            await self._on_watch_failure(received.err_value)
            return
        batch = received.ok_value
        if batch.position.era not in {None, position.era}:
            await self._apply_new_era(batch)
            return
        if not self.entry_log.can_hold(batch.entries):
            await self._refuse_state()
            return
        self._on_feed_success()
        removal_times = [
            self.entry_log.removal_time(now(), entry) for entry in batch.entries
        ]
        await self.entry_log.append(batch)
        for entry in filter(_is_relay_registration, batch.entries):
            self.relays.apply(entry, now())
        if batch.entries:
            for entry, removed_at in zip(
                batch.entries, removal_times, strict=True
            ):
                for change in self._decode_all([entry]):
                    self._apply_change(change, removed_at)
            self.leaf_directory.expire(now())
            await self.on_changes_applied()

    async def _apply_new_era(self, batch: ChangeBatch) -> None:
        """Apply changes of a later era than that of the entries.

        They lead on from the known position only, and entries of an unknown
        era may belong to another history.
        """
        log = self.entry_log
        if log.is_restored(batch.position) and log.is_exact:
            await self._apply_state(log.state_after(batch))
        else:
            self._must_reload = True

    def _next_wait_s(self) -> float:
        """Return the longest watch of the store, in seconds.

        After a return of the store it ends when the state has to be confirmed.
        """
        rewritten_at = self._restored_at + REWRITE_S
        if self.confirmed_at >= rewritten_at:
            return self.watch_wait_s
        remaining_s = rewritten_at + NEWS_RESERVE_S - now()
        return max(0, min(self.watch_wait_s, remaining_s))

    async def _on_watch_failure(self, failure: Failure) -> None:
        if failure.code != HISTORY_LOST:
            await self._back_off(failure)
            return
        log_message(
            message_type='feed:history_lost',
            revision=self.entry_log.position.revision,
            era=self.entry_log.position.era,
            reason=str(failure),
        )
        self._must_reload = True

    async def _refuse_state(self) -> None:
        """Leave the last state in force that is small enough, and wait.

        The wait is short, because the next change may bring a small one.
        """
        log_message(
            message_type='feed:state_too_large',
            max_bytes=self.entry_log.max_state_bytes,
            version=self.route_table.version,
        )
        await curio.sleep(MAX_RETRY_INTERVAL_S)

    def _decode_all(self, entries: Iterable[Entry]) -> list[Change]:
        decoded = map(self._decode, entries)
        return [change for change in decoded if change is not None]

    def _decode(self, entry: Entry) -> Change | None:
        if _is_relay_registration(entry):
            return None
        return self.decode_entry(entry)

    def _apply_change(self, change: Change, removed_at: float) -> None:
        """Apply a change; a removal counts from ``removed_at`` on."""
        if isinstance(change, ConfigurationWritten):
            self._apply_configuration(change)
        elif isinstance(change, LeafWritten):
            self.leaf_directory.register(change.record)
        elif isinstance(change, LeafRemoved):
            self._apply_removal(change.leaf_id, removed_at)
        elif isinstance(change, EvacuationBegun):
            self.leaf_directory.begin_evacuation(change.data_centre)
        else:
            self.leaf_directory.end_evacuation(change.data_centre)

    def _apply_configuration(self, change: ConfigurationWritten) -> None:
        """Put a configuration in force if it is newer; log its arrival.

        An entry that a whole state holds once more is not logged again.
        """
        version = change.configuration.version
        is_newer = self.route_table.activate(change.configuration)
        era = self.entry_log.position.era
        arrived = (version, change.revision, era)
        is_repeated = arrived == self._last_configuration
        self._last_configuration = arrived
        if is_repeated and not is_newer:
            return
        log_message(
            message_type=(
                'feed:configuration'
                if is_newer
                else 'feed:configuration_not_newer'
            ),
            version=version,
            in_force=self.route_table.version,
            entry_revision=change.revision,
            revision=self.entry_log.revision,
            era=era,
            source=self.feed.source,
            confirmed_s=round(now() - self.confirmed_at, 3),
        )

    def _apply_removal(self, leaf_id: str, removed_at: float) -> None:
        if self.leaf_directory.remove(leaf_id, removed_at):
            log_message(
                message_type='feed:removal',
                leaf=leaf_id,
                counts_for_s=round(now() - removed_at, 3),
                confirmed_s=round(now() - self.confirmed_at, 3),
            )

    def _on_feed_success(self) -> None:
        if self._consecutive_failures:
            log_message(
                message_type='feed:regained',
                failures=self._consecutive_failures,
                silent_s=round(now() - self.confirmed_at, 3),
            )
        self._consecutive_failures = 0

    async def _back_off(self, failure: Failure) -> None:
        if not self._consecutive_failures:
            log_message(
                message_type='feed:lost',
                reason=str(failure),
                version=self.route_table.version,
            )
        factor = 2 ** min(self._consecutive_failures, 8)
        self._consecutive_failures += 1
        max_interval_s = (
            MAX_RETRY_INTERVAL_S
            if self.is_loaded
            else MAX_RETRY_INTERVAL_BEFORE_LOAD_S
        )
        await curio.sleep(min(max_interval_s, MIN_RETRY_INTERVAL_S * factor))

    async def _expire_leafs(self) -> None:
        while True:
            await curio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self._end_grace_periods():
                try:
                    await self.on_changes_applied()
                except Exception:
                    # Reading everything again applies the change, too.
                    write_traceback()
                    self._must_reload = True

    def _end_grace_periods(self) -> bool:
        """Drop what is kept for a limited time; return whether anything was."""
        has_changed = self._end_restoration() or self._end_doubt()
        if now() < self.leaf_directory.next_expiry_at():
            return has_changed
        return self.leaf_directory.expire(now()) or has_changed

    def _end_restoration(self) -> bool:
        """Drop what a restored store still lacks; return whether it did.

        Until the store has confirmed the state of a time at which its writers
        have written again, nobody knows what they have written.
        """
        if self.confirmed_at < self._restored_at + REWRITE_S:
            return False
        self._restored_at = float('inf')
        self.relays.forget_lost()
        self.leaf_directory.forget_missing(now())
        return True

    def _end_doubt(self) -> bool:
        """Apply what was ignored and still stands; return whether it's due."""
        if now() < self._doubted_until:
            return False
        self._doubted_until = float('inf')
        for key, revision in self._removed_revisions_by_key.items():
            entry = self.entry_log.entries_by_key.get(key)
            if entry is not None and entry.revision == revision:
                for change in self._decode_all([entry]):
                    self._apply_change(change, now())
        self._removed_revisions_by_key = {}
        return True


def _is_relay_registration(entry: Entry) -> bool:
    return entry.key.startswith(KEY_PREFIX)


def _evacuated_data_centres(changes: Iterable[Change]) -> set[str]:
    return {
        change.data_centre
        for change in changes
        if isinstance(change, EvacuationBegun)
    }


def _leaf_ids(changes: Iterable[Change]) -> set[str]:
    return {
        change.record.leaf_id
        for change in changes
        if isinstance(change, LeafWritten)
    }
