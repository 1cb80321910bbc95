"""Chooses between the store and the relays as the source of entries."""

import random
from collections.abc import Mapping, Sequence

import attrs
import curio
from eliot import log_message
from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.errors import Failure, Step
from clementinebank.relay._client import RelayClient
from clementinebank.relay._directory import RelayDirectory
from clementinebank.relay._log import EntryLog
from clementinebank.relay._model import (
    HISTORY_LOST,
    ChangeBatch,
    ControlStore,
    StoredState,
)
from clementinebank.relay._registration import RelayRegistration
from clementinebank.validation import Address

# Each return of a watch costs a call, so that changes in quick succession are
# taken together; the bounds of drains and changes are seconds.
BATCH_INTERVAL_S = 0.4
# Time for a slow loop and the way of a confirmation through a relay.
CONFIRMATION_RESERVE_S = 0.4
# Part of the bound after which a silent relay is left; the rest is for
# connections to two more silent ones and a call to the store.
FRESH_SHARE = 0.6
MIN_WATCH_S = 0.3
RELAY_PAUSE_S = 1.0
# Instances start within 0.3 s of each other and register after two calls.
REGISTRATION_S = 1.0
# First and longest time before a store that fails is asked again. Relays ask
# soon, because others wait for them; refused calls have a price as well.
RELAY_STORE_PAUSES_S = (0.1, 0.8)
STORE_PAUSES_S = (0.8, 3.2)


@attrs.frozen
class FreshnessBounds:
    """How old the knowledge of an instance may become.

    Parameters
    ----------
    change_s : float
        Time after which a change must be in force, in seconds.
    """

    change_s: float

    @property
    def max_age_s(self) -> float:
        """Return the age at which another source is asked, in seconds."""
        return FRESH_SHARE * self.change_s

    @property
    def relay_watch_s(self) -> float:
        """Return how long the watch of a relay waits, in seconds.

        Its followers hear of the store at least once in this time and the
        interval between batches.
        """
        reserve_s = BATCH_INTERVAL_S + CONFIRMATION_RESERVE_S
        return max(MIN_WATCH_S, self.max_age_s - reserve_s)


@attrs.define(eq=False)
class SharedFeed:
    """Control feed of one instance of a fleet.

    The relay of a data centre reads the store, the others read from the
    relays, nearest first. A relay whose knowledge grows old is left for the
    next one, and the store is asked if none is fresh, so that no failure of
    relays delays a change beyond its bound.

    Parameters
    ----------
    store : ControlStore
        The store.
    client : RelayClient
        Calls to relays.
    directory : RelayDirectory
        Registered relays.
    registration : RelayRegistration
        Whether this instance is one.
    log : EntryLog
        What this instance knows.
    bounds : FreshnessBounds
        How old knowledge may become.
    first_relays : sequence of Address
        Relays to ask before any are known.
    regions_by_data_centre : mapping of str to str
        Region of each data centre.
    rng : random.Random
        Source of randomness.
    """

    store: ControlStore
    client: RelayClient
    directory: RelayDirectory
    registration: RelayRegistration
    log: EntryLog
    bounds: FreshnessBounds
    first_relays: Sequence[Address] = ()
    regions_by_data_centre: Mapping[str, str] = attrs.Factory(dict)
    rng: random.Random = attrs.Factory(random.Random)
    _paused_until_by_relay: dict[Address, float] = attrs.Factory(dict)
    _store_paused_until: float = 0
    _store_failures: int = 0
    _batch_until: float = 0
    _source: str = ''

    async def read_all(self) -> Result[StoredState, Failure]:
        """Return every entry.

        A start reads from the store, which no other instance has to be ready
        for; later only the relays do.
        """
        found: Result[StoredState, Failure] | None = None
        if self.log.is_loaded and not self.registration.is_expected:
            found = await self._read_from_relays()
            if isinstance(found, Ok) and self._is_fresh(found.ok_value.age_s):
                return found
        stored = await self._read_from_store()
        if isinstance(stored, Ok):
            return stored
        if found is None:
            found = await self._read_from_relays()
        # Old knowledge is better than none.
        return found if isinstance(found, Ok) else stored

    async def wait_for_changes(
        self, revision: int, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes after a revision from the best source.

        Parameters
        ----------
        revision : int
            Revision that is known.
        wait_s : float
            Longest wait at the store of an instance without followers.
        """
        await self._await_first_relays()
        if not self.registration.is_expected or self._is_store_paused():
            for address in self._relays():
                found = await self._watch_relay(address, revision)
                if found is not None:
                    return found
        if self._is_store_paused():
            message = 'the store and all relays failed'
            return Err(Failure('no_source', message, Step.READ_HEAD))
        return await self._watch_store(revision, wait_s)

    async def _await_first_relays(self) -> None:
        """Give the first instances of a fleet that starts time to register.

        Otherwise each instance would watch the store for the registrations.
        """
        is_waiting = self.first_relays and not self.registration.is_expected
        remaining_s = REGISTRATION_S - self.log.age_s(now())
        if is_waiting and not self.directory.records_by_data_centre:
            await curio.sleep(max(0, remaining_s))

    def _relays(self) -> list[Address]:
        """Return the relays that may be asked now, nearest first."""
        registered = self.directory.nearest(
            self.registration.instance_id,
            self.registration.data_centre,
            self.regions_by_data_centre,
        )
        named = registered or self._shuffled_first_relays()
        fresher = self.registration.service.fresher_followers()
        return [
            address
            for address in dict.fromkeys((*named, *fresher))
            if self._paused_until_by_relay.get(address, 0) <= now()
        ]

    def _shuffled_first_relays(self) -> list[Address]:
        others = [
            address
            for address in self.first_relays
            if address != self.registration.address
        ]
        self.rng.shuffle(others)
        return others

    async def _watch_relay(
        self, address: Address, revision: int
    ) -> Result[ChangeBatch, Failure] | None:
        """Ask a relay; ``None`` if another source is better."""
        # What is old already is only compared, without a wait.
        remaining_s = self.bounds.max_age_s - self.log.age_s(now())
        if self.registration.is_expected:
            # Others rely on this instance, so it asks the store again soon.
            store_s = self._store_paused_until - now()
            remaining_s = min(remaining_s, store_s)
        wait_s = max(0, remaining_s)
        called = await self.client.wait_for_changes(address, revision, wait_s)
        if isinstance(called, Err):
            if called.err_value.code == HISTORY_LOST:
                return called
            self._pause_relay(address, str(called.err_value))
            return None
        batch = called.ok_value
        if not self._is_fresh(batch.age_s):
            self._pause_relay(address, f'its age is {batch.age_s:.1f} s')
            return called if batch.entries else None
        self._note_source(str(address))
        return called

    async def _watch_store(
        self, revision: int, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        if self._batch_until > now():
            await curio.sleep(self._batch_until - now())
        called = await self.store.wait_for_changes(
            revision, self._store_wait_s(wait_s)
        )
        if isinstance(called, Ok):
            self._on_store_answer()
            if called.ok_value.entries:
                self._batch_until = now() + BATCH_INTERVAL_S
        elif called.err_value.code != HISTORY_LOST:
            self._pause_store()
        return called

    def _store_wait_s(self, longest_s: float) -> float:
        """Return how long a watch of the store waits for a change.

        A store that went silent answers no call of that time, so that old
        knowledge is only compared: a watch would hide that the store or a
        relay is back.
        """
        if not self._is_fresh(self.log.age_s(now())):
            return 0
        if self.registration.is_expected:
            return min(longest_s, self.bounds.relay_watch_s)
        return longest_s

    async def _read_from_store(self) -> Result[StoredState, Failure]:
        called = await self.store.read_all()
        if isinstance(called, Ok):
            self._on_store_answer()
        else:
            self._pause_store()
        return called

    async def _read_from_relays(self) -> Result[StoredState, Failure]:
        """Return the state of the first relay that is fresh, or an old one.

        A state must not be older than what is known here already.
        """
        found: Result[StoredState, Failure] = Err(
            Failure('no_relay', 'no relay answers', Step.READ_HEAD)
        )
        for address in self._relays():
            called = await self.client.read_all(address)
            if isinstance(called, Err):
                continue
            state = called.ok_value
            if state.revision >= self.log.revision:
                found = called
                if self._is_fresh(state.age_s):
                    self._note_source(str(address))
                    return called
        return found

    def _is_fresh(self, age_s: float) -> bool:
        return age_s <= self.bounds.max_age_s

    def _is_store_paused(self) -> bool:
        return now() < self._store_paused_until

    def _pause_relay(self, address: Address, reason: str) -> None:
        self._paused_until_by_relay[address] = now() + RELAY_PAUSE_S
        log_message(
            message_type='relay:left',
            relay=str(address),
            reason=reason,
            confirmed_s=round(self.log.age_s(now()), 3),
        )

    def _pause_store(self) -> None:
        first_s, longest_s = STORE_PAUSES_S
        if self.registration.is_expected:
            first_s, longest_s = RELAY_STORE_PAUSES_S
        growth = 2 ** min(self._store_failures, 8)
        self._store_failures += 1
        pause_s = min(longest_s, first_s * growth)
        self._store_paused_until = now() + self.rng.uniform(0.5, 1) * pause_s

    def _on_store_answer(self) -> None:
        self._store_failures = 0
        self._store_paused_until = 0
        self._note_source('store')

    def _note_source(self, source: str) -> None:
        if source != self._source:
            log_message(
                message_type='feed:source', source=source, previous=self._source
            )
            self._source = source
