"""Entries that an instance knows, and their recent changes."""

import contextlib
from collections import deque
from typing import Any

import attrs
import curio

from clementinebank.clock import now, run_before
from clementinebank.relay._model import ChangeBatch, Entry, StoredState

# Number of changes that are kept. A follower that lacks more reads all entries
# again; at ten changes a second the changes of several minutes are kept.
MAX_CHANGES = 4096
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


@attrs.define(eq=False)
class EntryLog:
    """Entries in their newest version, and the recent changes.

    Parameters
    ----------
    entries_by_key : dict of str to Entry
        Entries that exist.
    revision : int
        Revision of the store up to which the changes are known; 0 before the
        first state is loaded.
    confirmed_at : float
        Runtime time in seconds at which the store last confirmed, directly or
        through relays, that there were no later changes.
    """

    entries_by_key: dict[str, Entry] = attrs.Factory(dict)
    revision: int = 0
    confirmed_at: float = float('-inf')
    _kept_after_revision: int = 0
    _changes: deque[Entry] = attrs.Factory(deque)
    _update_event: Any = attrs.Factory(curio.Event)

    @property
    def is_loaded(self) -> bool:
        """Return whether a whole state has been loaded."""
        return self.revision > 0

    def age_s(self, at: float) -> float:
        """Return the time from the last confirmation to ``at``, in seconds."""
        return at - self.confirmed_at

    async def load(self, state: StoredState) -> None:
        """Replace all entries by a whole state and drop the changes."""
        self.entries_by_key = {each.key: each for each in state.entries}
        self._changes.clear()
        self._kept_after_revision = state.revision
        self.revision = state.revision
        await self._record_confirmation(state.age_s)

    async def append(self, batch: ChangeBatch) -> None:
        """Apply the changes that follow the known revision.

        An empty batch only confirms the known entries.
        """
        for change in batch.entries:
            self._apply(change)
        self.revision = max(self.revision, batch.revision)
        await self._record_confirmation(batch.age_s)

    def changes_since(self, revision: int) -> tuple[Entry, ...] | None:
        """Return the last change of each key after a revision, in their order.

        Earlier changes of a key are left out, so that a series of changes to a
        large value doesn't pile up for followers that read slowly.

        ``None`` if some of the changes are not kept any more.
        """
        if revision < self._kept_after_revision:
            return None
        last_by_key = {
            each.key: each for each in self._changes if each.revision > revision
        }
        return tuple(sorted(last_by_key.values(), key=_revision_of))

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

    def _apply(self, change: Entry) -> None:
        known = self.entries_by_key.get(change.key)
        if known is not None and known.revision > change.revision:
            return
        if change.value is None:
            self.entries_by_key.pop(change.key, None)
        else:
            self.entries_by_key[change.key] = change
        self._changes.append(change)
        if len(self._changes) > MAX_CHANGES:
            self._kept_after_revision = self._changes.popleft().revision

    async def _record_confirmation(self, age_s: float) -> None:
        """Record a confirmation of this age and wake waiting tasks."""
        self.confirmed_at = max(self.confirmed_at, now() - age_s)
        await self.wake_waiting()


def _revision_of(entry: Entry) -> int:
    return entry.revision
