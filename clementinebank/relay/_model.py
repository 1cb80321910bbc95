"""Control entries and the interfaces that read and write them."""

from typing import Protocol

import attrs
from result import Result

from clementinebank.errors import Failure

# Codes of failures that callers of a feed or store handle.
HISTORY_LOST = 'history_lost'
CONFLICT = 'conflict'
LEASE_ENDED = 'lease_ended'
# The answer is of an earlier era than one that is known already.
EARLIER_ERA = 'earlier_era'


@attrs.frozen
class StorePosition:
    """Point in the history of the store.

    A store that comes back from an older copy begins a new era. It gives the
    revisions after that copy out again, so revisions of different eras can't
    be compared.

    Parameters
    ----------
    revision : int
        Revision of the store; 0 is before its first change.
    era : int or None
        Era of the store, which rises each time that it comes back from an
        older copy. ``None`` if it isn't known, because the store or a relay
        states none; such a position may belong to any era.
    """

    revision: int = 0
    era: int | None = None

    def shares_era(self, other: 'StorePosition') -> bool:
        """Return whether both may belong to the same era."""
        return None in {self.era, other.era} or self.era == other.era

    def is_before(self, other: 'StorePosition') -> bool:
        """Return whether the other position is later.

        That of the later era is, whatever the revisions; within an era, that
        of the greater revision.
        """
        if self.shares_era(other):
            return self.revision < other.revision
        return self.has_earlier_era(other)

    def has_earlier_era(self, other: 'StorePosition') -> bool:
        """Return whether the other position is of a known later era."""
        return (
            self.era is not None
            and other.era is not None
            and self.era < other.era
        )

    def advanced_to(self, other: 'StorePosition') -> 'StorePosition':
        """Return the later one of two positions that share an era."""
        era = self.era if other.era is None else other.era
        return StorePosition(max(self.revision, other.revision), era)


@attrs.frozen
class Entry:
    """One key of the control store.

    Parameters
    ----------
    key : str
        Key, unique in the store.
    value : bytes or None
        Value of the key; ``None`` if the key was deleted.
    revision : int
        Revision of the store at which the key last changed.
    removed_age_s : float or None
        For a removal that another instance tells of: time in seconds for
        which it counts already. ``None`` if the store tells of it.
    """

    key: str
    value: bytes | None
    revision: int
    removed_age_s: float | None = attrs.field(default=None, eq=False)


@attrs.frozen
class StoredState:
    """All entries of the store at a position.

    Parameters
    ----------
    entries : tuple of Entry
        Entries that exist.
    position : StorePosition
        Position after which changes are read without a gap.
    confirmed_at : float
        Runtime time in seconds up to which the store is known to confirm the
        state, see ``watch_confirmed_at``.
    last_revision : int
        Revision of the source when its last page was read. Changes up to it
        may be among the entries, or not.
    """

    entries: tuple[Entry, ...]
    position: StorePosition
    confirmed_at: float
    last_revision: int = 0


@attrs.frozen
class ChangeBatch:
    """Changes after a position, in their order.

    Parameters
    ----------
    entries : tuple of Entry
        Entries as they were written or deleted; empty if nothing changed. If
        the position is of a later era, they lead to the state of that era.
    position : StorePosition
        Position after which the next changes are read.
    confirmed_at : float
        Runtime time in seconds up to which the store is known to confirm that
        there were no later changes, see ``watch_confirmed_at``.
    """

    entries: tuple[Entry, ...]
    position: StorePosition
    confirmed_at: float


def era_failure_code(known: StorePosition, answered: StorePosition) -> str:
    """Return the code of an answer that is of another era than is known.

    Returns
    -------
    str
        ``history_lost`` if the answer is of a later era, ``earlier_era`` if it
        is of an earlier one.
    """
    return HISTORY_LOST if known.has_earlier_era(answered) else EARLIER_ERA


def watch_confirmed_at(
    sent_at: float, received_at: float, wait_s: float, *, has_changes: bool
) -> float:
    """Return the time up to which the answer to a watch confirms the entries.

    An answer can be on its way for any time, so its arrival says nothing about
    its age. The store didn't answer before the request was sent and, without a
    change, not before the end of the wait. An empty answer that comes sooner
    was cut short at an unknown moment.

    Parameters
    ----------
    sent_at, received_at : float
        Runtime times in seconds before the request was sent and after its
        answer was received.
    wait_s : float
        Time for which the request asked the store to wait for a change, in
        seconds.
    has_changes : bool
        Whether the answer holds changes.

    Returns
    -------
    float
        Runtime time in seconds.
    """
    has_waited = not has_changes and received_at >= sent_at + wait_s
    return sent_at + wait_s if has_waited else sent_at


class ControlFeed(Protocol):
    """Source of control entries and their changes."""

    async def read_all(self) -> Result[StoredState, Failure]:
        """Return every entry, or why they can't be read."""
        ...

    async def wait_for_changes(
        self, position: StorePosition, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes after a position, as soon as there are any.

        Parameters
        ----------
        position : StorePosition
            Position up to which the caller knows the changes.
        wait_s : float
            Longest time to wait for a change, in seconds.

        Returns
        -------
        Result
            The changes, none if there were none in time; code
            ``history_lost`` if the source can't tell all changes since the
            position, most often because it is of an earlier era, and
            ``earlier_era`` if what the source knows is of an earlier one.
        """
        ...


class SourcedFeed(ControlFeed, Protocol):
    """Control feed that names where its last entries came from.

    Parameters
    ----------
    source : str
        ``store`` or the address of a relay; empty before the first entries.
    """

    source: str


class ControlStore(ControlFeed, Protocol):
    """Client of the store, which can also write keys under a lease."""

    calls: int

    async def create_lease(self, ttl_s: float) -> Result[str, Failure]:
        """Create a lease and return its id.

        The store removes the keys of a lease when it ends, at the latest
        ``ttl_s`` seconds after its last renewal.
        """
        ...

    async def renew_lease(self, lease_id: str) -> Result[None, Failure]:
        """Renew a lease; code ``lease_ended`` if it has ended."""
        ...

    async def end_lease(self, lease_id: str) -> Result[None, Failure]:
        """End a lease at once, which removes its keys."""
        ...

    async def put(self, entry: Entry, lease_id: str) -> Result[int, Failure]:
        """Write a key if it hasn't changed since the entry's revision.

        Parameters
        ----------
        entry : Entry
            Key, new value and the revision at which the key last changed; 0
            if the key doesn't exist.
        lease_id : str
            Lease with whose end the key is removed.

        Returns
        -------
        Result
            The new revision; code ``conflict`` if the key has changed, and
            ``lease_ended`` if the lease has ended.
        """
        ...
