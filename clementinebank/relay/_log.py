"""Entries that an instance knows, and their recent changes."""

import contextlib
from collections.abc import Iterable
from typing import Any

import attrs
import curio

from clementinebank.clock import now, run_before
from clementinebank.relay._model import (
    ChangeBatch,
    Entry,
    StoredState,
    StorePosition,
)

# Size of the removals that are kept if none is given. A follower that lacks
# more reads all entries again.
MAX_REMOVAL_BYTES = 1_000_000
# Memory of an entry besides its key and value: three objects, and its places
# in the mappings of a log.
ENTRY_OVERHEAD_BYTES = 350
# Size of the keys and values of a page; leaves room for the other parts of a
# message, which may have MAX_MESSAGE_BYTES (1.5 MB).
MAX_PAGE_BYTES = 1_000_000


@attrs.frozen
class EntryPage:
    """Some of the entries, in the order of their keys.

    Parameters
    ----------
    entries : tuple of Entry
        Entries of this page.
    has_more : bool
        Whether entries with greater keys exist.
    """

    entries: tuple[Entry, ...]
    has_more: bool


@attrs.frozen
class RemovalBounds:
    """How long ago a removal that the store tells of may have happened.

    Parameters
    ----------
    notice_s : float
        Longest time from the last confirmation without a removal until it
        counts, in seconds.
    stale_after_s : float
        Age of the state in seconds from which a store that failed meanwhile
        is taken to have been away, for all instances.
    """

    notice_s: float = float('inf')
    stale_after_s: float = 0


@attrs.frozen
class _EarlierEra:
    """What a log knew when the store came back from an older copy.

    Parameters
    ----------
    position : StorePosition
        Last position of the earlier era.
    kept_after_revision : int
        Revision of that era after which all changes are kept.
    revisions_by_key : dict of str to int
        Revision of the last change of each key.
    changed_keys : frozenset of str
        Keys of the entries that were others in the copy.
    restored_revision : int
        Revision of the first state of the present era.
    """

    position: StorePosition
    kept_after_revision: int
    revisions_by_key: dict[str, int]
    changed_keys: frozenset[str]
    restored_revision: int

    def has_all_since(self, position: StorePosition) -> bool:
        """Return whether all changes since a position are known."""
        return (
            self.position.era == position.era
            and self.kept_after_revision <= position.revision
            and position.revision <= self.position.revision
        )

    def keys_since(self, revision: int) -> frozenset[str]:
        """Return the keys that differ from the state at a revision."""
        return self.changed_keys | {
            key
            for key, changed_at in self.revisions_by_key.items()
            if changed_at > revision
        }


@attrs.define(eq=False)
class EntryLog:
    """Entries in their newest version, and the recent removals.

    Of each key only the last change is kept: the entry itself, or its removal.
    So the memory follows from what is stored and not from its history.

    Parameters
    ----------
    entries_by_key : dict of str to Entry
        Entries that exist.
    position : StorePosition
        Position of the store up to which the changes are known; revision 0
        before the first state is loaded.
    confirmed_at : float
        Runtime time in seconds at which the store last confirmed, directly or
        through relays, that there were no later changes.
    max_state_bytes : float
        Largest size of the entries in memory, in bytes.
    max_removal_bytes : float
        Largest size of the removals in memory, in bytes.
    removal_bounds : RemovalBounds
        When removals count.
    store_failed_at : float
        Runtime time in seconds of the last failed call to the store.
    restored_count : int
        Number of states of a later era that were loaded.
    """

    entries_by_key: dict[str, Entry] = attrs.Factory(dict)
    position: StorePosition = attrs.Factory(StorePosition)
    confirmed_at: float = float('-inf')
    max_state_bytes: float = float('inf')
    max_removal_bytes: float = MAX_REMOVAL_BYTES
    removal_bounds: RemovalBounds = attrs.Factory(RemovalBounds)
    store_failed_at: float = float('-inf')
    restored_count: int = 0
    _kept_after_revision: int = 0
    _last_read_revision: int = 0
    _earlier_era: _EarlierEra | None = None
    # Last change of each key in the order of the revisions.
    _last_changes_by_key: dict[str, Entry] = attrs.Factory(dict)
    # Those of the last changes that are removals.
    _removals_by_key: dict[str, Entry] = attrs.Factory(dict)
    # Runtime times in seconds from which the removals count.
    _removed_at_by_key: dict[str, float] = attrs.Factory(dict)
    _state_bytes: int = 0
    _removal_bytes: int = 0
    _update_event: Any = attrs.Factory(curio.Event)

    @property
    def revision(self) -> int:
        """Return the revision of the position, 0 before the first load."""
        return self.position.revision

    @property
    def is_loaded(self) -> bool:
        """Return whether a whole state has been loaded."""
        return self.revision > 0

    @property
    def is_exact(self) -> bool:
        """Return whether the entries are those of the position.

        Entries that were read in pages may be later ones, until the changes
        up to the last page are known.
        """
        return self.revision >= self._last_read_revision

    def is_restored(self, position: StorePosition) -> bool:
        """Return whether a position is of a later era than the entries."""
        return self.is_loaded and self.position.has_earlier_era(position)

    def age_s(self, at: float) -> float:
        """Return the time from the last confirmation to ``at``, in seconds."""
        return at - self.confirmed_at

    def can_hold(self, entries: Iterable[Entry]) -> bool:
        """Return whether the state stays within its size with these entries.

        Each entry replaces the one with its key.
        """
        growth_by_key = {
            entry.key: _memory_of(entry)
            - _memory_of(self.entries_by_key.get(entry.key))
            for entry in entries
        }
        growth = sum(growth_by_key.values())
        return self._state_bytes + growth <= self.max_state_bytes

    def can_load(self, entries: Iterable[Entry]) -> bool:
        """Return whether a state of these entries is within its size."""
        return sum(map(_memory_of, entries)) <= self.max_state_bytes

    def removal_time(self, at: float, removal: Entry | None = None) -> float:
        """Return the runtime time from which a removal counts, in seconds.

        To be called before the removal is applied. The word of another
        instance counts. A removal that the store tells of happened after the
        last confirmation and counts soon after it, whenever it is read. If the
        store was away, registrations may have expired in that time, and it
        counts from now on.

        Parameters
        ----------
        at : float
            Present runtime time in seconds.
        removal : Entry or None
            The removal; ``None`` for an entry that a whole state lacks.
        """
        if removal is not None and removal.removed_age_s is not None:
            return at - removal.removed_age_s
        bounds = self.removal_bounds
        was_store_away = (
            self.store_failed_at > self.confirmed_at
            and self.age_s(at) > bounds.stale_after_s
        )
        if was_store_away or not self.is_loaded:
            return at
        return min(at, self.confirmed_at + bounds.notice_s)

    async def load(self, state: StoredState) -> None:
        """Replace all entries by a whole state.

        Entries that it lacks count as removed at its revision, so that those
        who follow this log need no whole state themselves.
        """
        entries_by_key = {each.key: each for each in state.entries}
        removed_at = self.removal_time(now())
        is_later = not state.position.is_before(self.position)
        is_restored = self.is_restored(state.position)
        if is_restored:
            self.restored_count += 1
            self._earlier_era = (
                self._describe_era(state) if self.is_exact else None
            )
        follows = is_later and not is_restored
        revision = state.position.revision
        if self.is_loaded and follows:
            missing = self.entries_by_key.keys() - entries_by_key.keys()
            removals = {
                key: removal
                for key, removal in self._removals_by_key.items()
                if key not in entries_by_key
            } | {key: Entry(key, None, revision) for key in missing}
        else:
            removals = {}
            self._kept_after_revision = revision
        self._removed_at_by_key = {
            key: self._removed_at_by_key.get(key, removed_at)
            for key in removals
        }
        self.entries_by_key = entries_by_key
        self._state_bytes = sum(map(_memory_of, entries_by_key.values()))
        self._removals_by_key = removals
        self._removal_bytes = sum(map(_memory_of, removals.values()))
        self._last_changes_by_key = {
            each.key: each
            for each in sorted(
                (*entries_by_key.values(), *removals.values()), key=_revision_of
            )
        }
        self._drop_old_removals()
        self.position = state.position
        self._last_read_revision = state.last_revision
        await self._record_confirmation(state.confirmed_at)

    async def append(self, batch: ChangeBatch) -> None:
        """Apply the changes that follow the known position.

        An empty batch only confirms the known entries.
        """
        applied_at = now()
        removed_at_by_key = {
            each.key: self.removal_time(applied_at, each)
            for each in batch.entries
            if each.value is None
        }
        for change in batch.entries:
            if self._apply(change) and change.value is None:
                removed_at = removed_at_by_key[change.key]
                self._removed_at_by_key[change.key] = removed_at
        self._drop_old_removals()
        self.position = self.position.advanced_to(batch.position)
        await self._record_confirmation(batch.confirmed_at)

    def changes_since(
        self, position: StorePosition
    ) -> tuple[Entry, ...] | None:
        """Return the last change of each key after a position, in their order.

        Earlier changes of a key are left out, so that a series of changes to a
        large value doesn't pile up for followers that read slowly.

        After a position of the era before, these are the entries that lead to
        the present state. ``None`` if some of the changes are not known.
        """
        if not position.shares_era(self.position):
            return self._changes_since_era(position)
        revision = position.revision
        if revision < self._kept_after_revision:
            return None
        at = now()
        changes: list[Entry] = []
        for change in reversed(self._last_changes_by_key.values()):
            if change.revision <= revision:
                break
            changes.append(self._with_removed_age(change, at))
        return tuple(sorted(changes, key=_revision_of))

    def state_after(self, batch: ChangeBatch) -> StoredState:
        """Return the whole state to which changes of a later era lead."""
        entries_by_key = self.entries_by_key | {
            each.key: each for each in batch.entries
        }
        existing = (
            each for each in entries_by_key.values() if each.value is not None
        )
        return StoredState(tuple(existing), batch.position, batch.confirmed_at)

    def page_after(self, key: str) -> EntryPage:
        """Return the entries with greater keys, as many as fit a message.

        At least one entry is returned if there is any, whatever its size.
        """
        size = 0
        page: list[Entry] = []
        for entry_key in sorted(
            each for each in self.entries_by_key if each > key
        ):
            entry = self.entries_by_key[entry_key]
            size += len(entry_key) + len(entry.value or b'')
            if page and size > MAX_PAGE_BYTES:
                return EntryPage(tuple(page), has_more=True)
            page.append(entry)
        return EntryPage(tuple(page), has_more=False)

    async def wait_for_update(self, limit_s: float) -> None:
        """Wait for a change or a confirmation, at most for ``limit_s``."""
        with contextlib.suppress(curio.TaskTimeout):
            await run_before(now() + limit_s, self._update_event.wait)

    async def wake_waiting(self) -> None:
        """End every ``wait_for_update``, though no entry has changed."""
        previous = self._update_event
        self._update_event = curio.Event()
        await previous.set()

    def _describe_era(self, restored: StoredState) -> _EarlierEra:
        """Return what is known of the present era, which has ended."""
        restored_by_key = {each.key: each for each in restored.entries}
        keys = self.entries_by_key.keys() | restored_by_key.keys()
        return _EarlierEra(
            self.position,
            self._kept_after_revision,
            {
                each.key: each.revision
                for each in self._last_changes_by_key.values()
            },
            frozenset(
                key
                for key in keys
                if self.entries_by_key.get(key) != restored_by_key.get(key)
            ),
            restored.position.revision,
        )

    def _changes_since_era(
        self, position: StorePosition
    ) -> tuple[Entry, ...] | None:
        """Return the entries that lead from the era before to the present."""
        earlier = self._earlier_era
        if earlier is None or not earlier.has_all_since(position):
            return None
        restored_at = StorePosition(
            earlier.restored_revision, self.position.era
        )
        later = self.changes_since(restored_at)
        if later is None:
            return None
        keys = set(earlier.keys_since(position.revision))
        keys |= {each.key for each in later}
        return tuple(
            self.entries_by_key.get(key, Entry(key, None, self.revision))
            for key in sorted(keys)
        )

    def _with_removed_age(self, change: Entry, at: float) -> Entry:
        """Return a removal with the time for which it counts already."""
        if change.value is not None:
            return change
        removed_age_s = max(0, at - self._removed_at_by_key[change.key])
        return attrs.evolve(change, removed_age_s=removed_age_s)

    def _apply(self, change: Entry) -> bool:
        """Apply a change; return whether it isn't older than what is known."""
        known = self._last_changes_by_key.get(change.key)
        if known is not None and known.revision > change.revision:
            return False
        self._removed_at_by_key.pop(change.key, None)
        self._state_bytes -= _memory_of(
            self.entries_by_key.pop(change.key, None)
        )
        self._removal_bytes -= _memory_of(
            self._removals_by_key.pop(change.key, None)
        )
        if change.value is None:
            self._removals_by_key[change.key] = change
            self._removal_bytes += _memory_of(change)
        else:
            self.entries_by_key[change.key] = change
            self._state_bytes += _memory_of(change)
        self._last_changes_by_key.pop(change.key, None)
        self._last_changes_by_key[change.key] = change
        return True

    def _drop_old_removals(self) -> None:
        """Drop the oldest removals until they are within their size."""
        while self._removal_bytes > self.max_removal_bytes:
            key = next(iter(self._removals_by_key))
            removal = self._removals_by_key.pop(key)
            self._last_changes_by_key.pop(key)
            self._removed_at_by_key.pop(key)
            self._removal_bytes -= _memory_of(removal)
            self._kept_after_revision = max(
                self._kept_after_revision, removal.revision
            )

    async def _record_confirmation(self, confirmed_at: float) -> None:
        """Record a confirmation of that time and wake waiting tasks."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)
        await self.wake_waiting()


def _revision_of(entry: Entry) -> int:
    return entry.revision


def size_of(entries: Iterable[Entry]) -> int:
    """Return the size of the keys and values of entries, in bytes."""
    return sum(len(each.key) + len(each.value or b'') for each in entries)


def _memory_of(entry: Entry | None) -> int:
    """Return about how much memory an entry needs, in bytes."""
    if entry is None:
        return 0
    return len(entry.key) + len(entry.value or b'') + ENTRY_OVERHEAD_BYTES
