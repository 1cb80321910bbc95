"""Control entries and the ports through which they are read and written."""

from typing import Protocol

import attrs
from result import Result

from clementinebank.errors import Failure

HISTORY_LOST = 'history_lost'
CONFLICT = 'conflict'
LEASE_ENDED = 'lease_ended'


@attrs.frozen
class Entry:
    """One key of the control store.

    Parameters
    ----------
    key : str
        Name, unique in the store.
    value : bytes or None
        Content; ``None`` if the key was deleted.
    revision : int
        Revision of the store at which the key changed last.
    """

    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class StoredState:
    """Every entry of the store.

    Parameters
    ----------
    entries : tuple of Entry
        Entries that exist.
    revision : int
        Revision from which changes follow without a gap.
    age_s : float
        Time since the store was heard from, in seconds.
    """

    entries: tuple[Entry, ...]
    revision: int
    age_s: float = 0


@attrs.frozen
class ChangeBatch:
    """Changes after a revision, in their order.

    Parameters
    ----------
    entries : tuple of Entry
        Entries as they were written or deleted; empty if nothing happened.
    revision : int
        Revision after which to continue.
    age_s : float
        Time since the store was heard from, in seconds.
    """

    entries: tuple[Entry, ...]
    revision: int
    age_s: float = 0


class ControlFeed(Protocol):
    """Source of control entries."""

    async def read_all(self) -> Result[StoredState, Failure]:
        """Return every entry."""
        ...

    async def wait_for_changes(
        self, revision: int, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes after a revision, as soon as there are any.

        A failure of code ``history_lost`` means that the changes since the
        revision are not known any more.
        """
        ...


class ControlStore(ControlFeed, Protocol):
    """Client of the store, which can also write keys of the product."""

    calls: int

    async def create_lease(self, ttl_s: float) -> Result[str, Failure]:
        """Return the id of a lease; its keys are removed when it ends."""
        ...

    async def renew_lease(self, lease_id: str) -> Result[None, Failure]:
        """Prolong a lease; code ``lease_ended`` if it is over."""
        ...

    async def end_lease(self, lease_id: str) -> Result[None, Failure]:
        """End a lease now."""
        ...

    async def put(self, entry: Entry, lease_id: str) -> Result[int, Failure]:
        """Write a key that is still at the revision of the entry.

        Returns
        -------
        Result
            The new revision; code ``conflict`` if the key has changed, and
            ``lease_ended`` if the lease is over.
        """
        ...
