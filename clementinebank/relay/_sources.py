"""Choice between the store and the relays as the source of entries."""

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
    EARLIER_ERA,
    HISTORY_LOST,
    ChangeBatch,
    ControlStore,
    StoredState,
    StorePosition,
)
from clementinebank.relay._registration import RelayRegistration
from clementinebank.validation import Address

# Pause after a watch of the store that returned changes. Each return costs a
# call, so changes in quick succession are collected in one batch. The pause is
# short compared with the bounds on drains and changes, which are seconds.
STORE_WATCH_PAUSE_S = 0.4
# Allowance for a busy event loop and for the time that a confirmation of the
# store needs to pass through a relay.
CONFIRMATION_RESERVE_S = 0.4
# Fraction of the bound on a change after which a silent relay is replaced by
# another source. The rest of the bound is for connecting to two more silent
# relays and for one call to the store.
MAX_AGE_FRACTION = 0.6
# Lower bound of ``FreshnessBounds.relay_watch_wait_s``.
MIN_WATCH_WAIT_S = 0.3
# Relays that are asked in a row before the store is; MAX_AGE_FRACTION leaves
# time for no more of them.
MAX_RELAYS_IN_A_ROW = 3
# A relay that failed or was stale isn't asked again for this time.
RELAY_PAUSE_S = 1.0
# Time after the start within which the seed relays register: instances start
# within 0.3 s of each other and register after two calls.
FIRST_REGISTRATION_WAIT_S = 1.0
# First and longest delay before a failing store is asked again. The delays of
# relays are short, because other instances depend on them; both grow, because
# refused calls cost as much as others.
RELAY_STORE_RETRY_DELAYS_S = (0.1, 0.8)
STORE_RETRY_DELAYS_S = (0.8, 3.2)


@attrs.frozen
class FreshnessBounds:
    """Limits on the age of the state that an instance knows.

    The age of a state is the time since the store confirmed it as current,
    directly or through relays.

    Parameters
    ----------
    max_change_delay_s : float
        Longest time until a change is in force on every instance, in seconds.
    """

    max_change_delay_s: float

    @property
    def max_age_s(self) -> float:
        """Return the age beyond which a state is stale, in seconds."""
        return MAX_AGE_FRACTION * self.max_change_delay_s

    @property
    def relay_watch_wait_s(self) -> float:
        """Return how long a relay waits in one watch of the store, in seconds.

        Its followers receive a confirmation of the store at least once in this
        time plus ``STORE_WATCH_PAUSE_S``.
        """
        reserve_s = STORE_WATCH_PAUSE_S + CONFIRMATION_RESERVE_S
        return max(MIN_WATCH_WAIT_S, self.max_age_s - reserve_s)

    def relay_wait_s(self, age_s: float) -> float:
        """Return how long a relay with a state of an age waits, in seconds.

        A watch that returned changes confirms the state only as it was when
        the watch began, so the next one may have to end sooner.
        """
        remaining_s = self.relay_watch_wait_s + STORE_WATCH_PAUSE_S - age_s
        return max(0, min(self.relay_watch_wait_s, remaining_s))


@attrs.define(eq=False)
class RelayedFeed:
    """Control feed of one instance, from the store or from relays.

    The relay of a data centre reads the store, the other instances read from
    the relays, nearest first. An instance changes from a relay whose state is
    stale to the next one, and reads the store if no relay is fresh, so that
    failures of relays don't delay a change beyond its bound.

    Parameters
    ----------
    store : ControlStore
        Client of the store.
    client : RelayClient
        Client of the relays.
    directory : RelayDirectory
        Registered relays.
    registration : RelayRegistration
        Tells whether this instance is a relay, which reads the store.
    log : EntryLog
        Entries that this instance knows, and their age.
    bounds : FreshnessBounds
        Age beyond which another source is asked.
    seed_relays : sequence of Address
        Relays to ask while none is registered.
    regions_by_data_centre : mapping of str to str
        Region of each data centre.
    rng : random.Random
        Spreads retries of the store and shuffles ``seed_relays``.
    source : str
        ``store`` or the address of the relay that answered last; empty before
        the first answer.
    """

    store: ControlStore
    client: RelayClient
    directory: RelayDirectory
    registration: RelayRegistration
    log: EntryLog
    bounds: FreshnessBounds
    seed_relays: Sequence[Address] = ()
    regions_by_data_centre: Mapping[str, str] = attrs.Factory(dict)
    rng: random.Random = attrs.Factory(random.Random)
    source: str = ''
    _paused_until_by_relay: dict[Address, float] = attrs.Factory(dict)
    _store_paused_until: float = 0
    _store_failures: int = 0
    _next_store_watch_at: float = 0

    async def read_all(self) -> Result[StoredState, Failure]:
        """Return every entry, or the failure of the store.

        At the start every instance reads from the store, because a relay may
        not be ready yet; later only relays read from the store first, unless it
        has failed recently. If the store fails, a stale state of a relay is
        returned too.
        """
        from_relays: Result[StoredState, Failure] | None = None
        if self.log.is_loaded and self._prefers_relays():
            from_relays = await self._read_from_relays()
            if isinstance(from_relays, Ok) and self._is_fresh(
                from_relays.ok_value.confirmed_at
            ):
                return from_relays
        stored = await self._read_from_store()
        if isinstance(stored, Ok):
            return stored
        if from_relays is None:
            from_relays = await self._read_from_relays()
        # A stale state of a relay is better than none.
        return from_relays if isinstance(from_relays, Ok) else stored

    async def wait_for_changes(
        self, position: StorePosition, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes after a position from the best source.

        The nearest fresh relay comes first, then the store; for the relay of
        a data centre the store comes first.

        Parameters
        ----------
        position : StorePosition
            Position up to which this instance knows the changes.
        wait_s : float
            Longest watch of the store, in seconds; a relay waits at most
            ``bounds.relay_watch_wait_s``.

        Returns
        -------
        Result
            The changes; code ``no_source`` if no relay is fresh and the store
            may not be asked yet, or the failure of the source.
        """
        await self._wait_for_seed_relays()
        if self._prefers_relays():
            changes = await self._watch_relays(position)
            if changes is not None:
                return changes
            if self._is_store_paused():
                message = 'no relay is usable and the store failed recently'
                return Err(Failure('no_source', message, Step.READ_HEAD))
            return await self._watch_store(position, wait_s)
        stored = await self._watch_store(position, wait_s)
        if isinstance(stored, Ok) or stored.err_value.code == HISTORY_LOST:
            return stored
        # The caller waits after a failure, so the others are asked now.
        return await self._watch_relays(position) or stored

    async def _watch_relays(
        self, position: StorePosition
    ) -> Result[ChangeBatch, Failure] | None:
        """Return the changes that the first fresh relay knows, if any is.

        At most ``MAX_RELAYS_IN_A_ROW`` are asked, since each may be silent.
        """
        for address in self._usable_relays()[:MAX_RELAYS_IN_A_ROW]:
            changes = await self._watch_relay(address, position)
            if changes is not None:
                return changes
        return None

    async def _wait_for_seed_relays(self) -> None:
        """Wait until the seed relays had time to register.

        Returns at once if a relay is registered, if this instance is about to
        register itself, or if no seed relays are set. Without the wait, all
        instances of a fleet that starts would watch the store until the first
        relays are registered.
        """
        may_wait = self.seed_relays and not self.registration.is_active_relay
        remaining_s = FIRST_REGISTRATION_WAIT_S - self.log.age_s(now())
        if may_wait and not self.directory.records_by_data_centre:
            await curio.sleep(max(0, remaining_s))

    def _usable_relays(self) -> list[Address]:
        """Return the instances that may be asked now, best first.

        Registered relays, nearest first, or ``seed_relays`` while none is
        registered; then followers of this instance with a fresher state.
        Relays that are paused after a failure are left out.
        """
        registered = self.directory.relays_by_distance(
            self.registration.instance_id,
            self.registration.data_centre,
            self.regions_by_data_centre,
        )
        relays = registered or self._shuffled_seed_relays()
        fresher_followers = self.registration.service.fresher_followers()
        return [
            address
            for address in dict.fromkeys((*relays, *fresher_followers))
            if self._paused_until_by_relay.get(address, 0) <= now()
        ]

    def _shuffled_seed_relays(self) -> list[Address]:
        others = [
            address
            for address in self.seed_relays
            if address != self.registration.address
        ]
        self.rng.shuffle(others)
        return others

    async def _watch_relay(
        self, address: Address, position: StorePosition
    ) -> Result[ChangeBatch, Failure] | None:
        """Return the changes that a relay knows after a position.

        ``None`` if the relay failed, or is stale and has no changes, so that
        the next source is asked.
        """
        # The watch may last until the state of this instance is stale; if it
        # is stale already, the relay answers at once.
        remaining_s = self.bounds.max_age_s - self.log.age_s(now())
        if self.registration.is_active_relay:
            # Other instances depend on this one, so the watch ends when the
            # store may be asked again.
            store_pause_s = self._store_paused_until - now()
            remaining_s = min(remaining_s, store_pause_s)
        wait_s = max(0, remaining_s)
        result = await self.client.wait_for_changes(address, position, wait_s)
        if isinstance(result, Err):
            if result.err_value.code == HISTORY_LOST:
                return result
            self._pause_relay(address, str(result.err_value))
            return None
        batch = result.ok_value
        if not self._is_fresh(batch.confirmed_at):
            age_s = now() - batch.confirmed_at
            self._pause_relay(address, f'its state is {age_s:.1f} s old')
            if not batch.entries:
                return None
        self._log_source_change(str(address))
        return result

    async def _watch_store(
        self, position: StorePosition, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        if self._next_store_watch_at > now():
            await curio.sleep(self._next_store_watch_at - now())
        result = await self.store.wait_for_changes(
            position, self._store_wait_s(wait_s)
        )
        if isinstance(result, Ok):
            self._on_store_reply()
            if result.ok_value.entries:
                self._next_store_watch_at = now() + STORE_WATCH_PAUSE_S
        elif result.err_value.code == HISTORY_LOST:
            self._next_store_watch_at = now() + STORE_WATCH_PAUSE_S
        else:
            self._pause_store()
        return result

    def _store_wait_s(self, longest_s: float) -> float:
        """Return how long a watch of the store waits for a change, in seconds.

        0 if the state of this instance is stale. A store that was silent never
        answers a call that began meanwhile, so a long watch would delay the
        next call after the store or a relay is back. 0 also after a failure,
        because only an answer tells whether the store is back in another era.
        A relay with an older state waits less, so that its followers get a
        confirmation in time. Another instance waits no longer than a relay: its
        connection to the store may be silent for good, too.
        """
        if self._store_failures or not self._is_fresh(self.log.confirmed_at):
            return 0
        if not self.registration.is_active_relay:
            return min(longest_s, self.bounds.relay_watch_wait_s)
        return min(longest_s, self.bounds.relay_wait_s(self.log.age_s(now())))

    async def _read_from_store(self) -> Result[StoredState, Failure]:
        result = await self.store.read_all()
        if isinstance(result, Ok) and result.ok_value.position.has_earlier_era(
            self.log.position
        ):
            message = 'the store sent a state of an earlier era'
            result = Err(Failure(EARLIER_ERA, message, Step.READ_HEAD))
        if isinstance(result, Ok):
            self._on_store_reply()
        else:
            self._pause_store()
        return result

    async def _read_from_relays(self) -> Result[StoredState, Failure]:
        """Return the first fresh state that a relay sends.

        If all are stale, the last one is returned; code ``no_relay`` if there
        is none. States of an earlier position than this instance knows are
        left out.
        """
        best: Result[StoredState, Failure] = Err(
            Failure(
                'no_relay', 'no relay returned a usable state', Step.READ_HEAD
            )
        )
        for address in self._usable_relays():
            result = await self.client.read_all(address)
            if isinstance(result, Err):
                continue
            state = result.ok_value
            if not state.position.is_before(self.log.position):
                best = result
                self._log_source_change(str(address))
                if self._is_fresh(state.confirmed_at):
                    return result
        return best

    def _is_fresh(self, confirmed_at: float) -> bool:
        return now() - confirmed_at <= self.bounds.max_age_s

    def _prefers_relays(self) -> bool:
        """Return whether relays are asked before the store."""
        return not self.registration.is_active_relay or self._is_store_paused()

    def _is_store_paused(self) -> bool:
        return now() < self._store_paused_until

    def _pause_relay(self, address: Address, reason: str) -> None:
        self._paused_until_by_relay = {
            each: paused_until
            for each, paused_until in self._paused_until_by_relay.items()
            if paused_until > now()
        } | {address: now() + RELAY_PAUSE_S}
        log_message(
            message_type='relay:left',
            relay=str(address),
            reason=reason,
            confirmed_s=round(self.log.age_s(now()), 3),
        )

    def _pause_store(self) -> None:
        self.log.store_failed_at = now()
        first_s, longest_s = STORE_RETRY_DELAYS_S
        if self.registration.is_active_relay:
            first_s, longest_s = RELAY_STORE_RETRY_DELAYS_S
        factor = 2 ** min(self._store_failures, 8)
        self._store_failures += 1
        pause_s = min(longest_s, first_s * factor)
        self._store_paused_until = now() + self.rng.uniform(0.5, 1) * pause_s

    def _on_store_reply(self) -> None:
        self._store_failures = 0
        self._store_paused_until = 0
        self._log_source_change('store')

    def _log_source_change(self, source: str) -> None:
        if source != self.source:
            log_message(
                message_type='feed:source', source=source, previous=self.source
            )
            self.source = source
