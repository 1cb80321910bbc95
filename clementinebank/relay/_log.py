"""Entries that an instance knows, with the recent changes of them."""

import contextlib
from collections import deque
from typing import Any

import attrs
import curio

from clementinebank.clock import now, run_before
from clementinebank.relay._model import ChangeBatch, Entry, StoredState

# Longer gaps are closed by reading everything. A storm of ten changes a
# second stays in the log for minutes.
MAX_CHANGES = 4096
# Leaves room for the rest of a message of 1.5 MB.
MAX_PAGE_BYTES = 1_000_000


@attrs.frozen
class EntryPage:
    """Entries in the order of their keys."""

    entries: tuple[Entry, ...]
    has_more: bool


@attrs.define(eq=False)
class EntryLog:
    """Newest entries and the changes that led to them.

    Parameters
    ----------
    entries_by_key : dict of str to Entry
        Entries that exist.
    revision : int
        Revision of the store up to which the changes are known; 0 before the
        first state.
    confirmed_at : float
        Runtime time in seconds at which the store, asked directly or through
        others, said so.
    """

    entries_by_key: dict[str, Entry] = attrs.Factory(dict)
    revision: int = 0
    confirmed_at: float = float('-inf')
    _oldest: int = 0
    _changes: deque[Entry] = attrs.Factory(deque)
    _news: Any = attrs.Factory(curio.Event)

    @property
    def is_loaded(self) -> bool:
        """Return whether a whole state was taken."""
        return self.revision > 0

    def age_s(self, at: float) -> float:
        """Return the time since the last confirmation, in seconds."""
        return at - self.confirmed_at

    async def load(self, state: StoredState) -> None:
        """Take a whole state."""
        self.entries_by_key = {each.key: each for each in state.entries}
        self._changes.clear()
        self._oldest = state.revision
        self.revision = state.revision
        await self._confirm(state.age_s)

    async def append(self, batch: ChangeBatch) -> None:
        """Take the changes that follow the known revision."""
        for change in batch.entries:
            self._take(change)
        self.revision = max(self.revision, batch.revision)
        await self._confirm(batch.age_s)

    def changes_since(self, revision: int) -> tuple[Entry, ...] | None:
        """Return the changes after a revision, ``None`` if some are lost."""
        if revision < self._oldest:
            return None
        return tuple(each for each in self._changes if each.revision > revision)

    def page_after(self, key: str) -> EntryPage:
        """Return the entries that follow a key, as many as fit a message."""
        size = 0
        page: list[Entry] = []
        for name in sorted(each for each in self.entries_by_key if each > key):
            entry = self.entries_by_key[name]
            size += len(name) + len(entry.value or b'')
            if page and size > MAX_PAGE_BYTES:
                return EntryPage(tuple(page), has_more=True)
            page.append(entry)
        return EntryPage(tuple(page), has_more=False)

    async def wait_for_news(self, limit_s: float) -> None:
        """Wait for a change or a confirmation."""
        with contextlib.suppress(curio.TaskTimeout):
            await run_before(now() + limit_s, self._news.wait)

    def _take(self, change: Entry) -> None:
        known = self.entries_by_key.get(change.key)
        if known is not None and known.revision > change.revision:
            return
        if change.value is None:
            self.entries_by_key.pop(change.key, None)
        else:
            self.entries_by_key[change.key] = change
        self._changes.append(change)
        if len(self._changes) > MAX_CHANGES:
            self._oldest = self._changes.popleft().revision

    async def _confirm(self, age_s: float) -> None:
        self.confirmed_at = max(self.confirmed_at, now() - age_s)
        news = self._news
        self._news = curio.Event()
        await news.set()
