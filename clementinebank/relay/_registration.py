"""Keeps the registration of this instance as the relay of its data centre."""

import random

import attrs
import curio
from eliot import log_message
from result import Err, Result

from clementinebank.clock import now
from clementinebank.errors import Failure
from clementinebank.relay._directory import (
    RelayDirectory,
    RelayRecord,
    encode_record,
)
from clementinebank.relay._log import EntryLog
from clementinebank.relay._model import (
    LEASE_ENDED,
    ControlStore,
    Entry,
)
from clementinebank.relay._service import RelayService
from clementinebank.validation import Address

# Followers change to another relay long before the registration of a dead one
# ends, so a long lease costs nothing but renewals.
LEASE_S = 10.0
RENEW_INTERVAL_S = 3.0
CHECK_INTERVAL_S = 0.25
# One of many candidates registers; the others learn of it within about a
# second and make no call.
MAX_CANDIDATE_DELAY_S = 4.0
MIN_CANDIDATE_DELAY_S = 1.5
# The count is written again when it differs by this share, at most this often:
# each write wakes the relays of all data centres.
COUNT_TOLERANCE = 0.15
COUNT_INTERVAL_S = 5.0
GROWTH_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 1.0
MAX_RETRY_INTERVAL_S = 8.0


@attrs.define(eq=False)
class RelayRegistration:
    """Registers this instance if its data centre has no relay.

    Parameters
    ----------
    instance_id, data_centre : str
        Name and data centre of this instance.
    address : Address
        Where it answers other instances.
    store : ControlStore
        Holds the registrations.
    directory : RelayDirectory
        Registrations that are known.
    log, service
        What this instance knows, and who follows it.
    is_first : bool
        Whether to register without a delay, because the settings of all
        instances name this one.
    rng : random.Random
        Source of randomness.
    """

    instance_id: str
    data_centre: str
    address: Address
    store: ControlStore
    directory: RelayDirectory
    log: EntryLog
    service: RelayService
    is_first: bool = False
    rng: random.Random = attrs.Factory(random.Random)
    _lease_id: str | None = None
    _renew_at: float = 0
    _retry_at: float = 0
    _is_leaving: bool = False
    _failures: int = 0
    _vacant_since: float | None = None
    _candidate_delay_s: float = 0
    _counted_at: float = float('-inf')

    @property
    def is_held(self) -> bool:
        """Return whether this instance is the registered relay."""
        known = self._known
        return known is not None and known.instance_id == self.instance_id

    @property
    def is_expected(self) -> bool:
        """Return whether others rely on this instance to watch the store."""
        return self.is_held or (self.is_first and self._known is None)

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            is_due = self.log.is_loaded and now() >= self._retry_at
            if is_due and not self._is_leaving:
                await self.step()

    async def step(self) -> None:
        """Do what is due."""
        if self.is_held:
            await self._keep()
        elif self._known is None:
            await self._apply_if_due()
        else:
            self._vacant_since = None
            await self._give_up_lease()

    async def leave(self) -> None:
        """End the registration before this instance stops."""
        self._is_leaving = True
        await self._give_up_lease()

    @property
    def _known(self) -> RelayRecord | None:
        return self.directory.records_by_data_centre.get(self.data_centre)

    async def _apply_if_due(self) -> None:
        if self._vacant_since is None:
            self._vacant_since = now()
            self._candidate_delay_s = (
                0
                if self.is_first
                else self.rng.uniform(
                    MIN_CANDIDATE_DELAY_S, MAX_CANDIDATE_DELAY_S
                )
            )
        if now() >= self._vacant_since + self._candidate_delay_s:
            self._vacant_since = None
            await self._write()

    async def _keep(self) -> None:
        if self._lease_id is None:
            # A predecessor of this process wrote the registration.
            await self._write()
        elif now() >= self._renew_at:
            await self._renew(self._lease_id)
        elif self._is_count_due():
            await self._write()

    def _is_count_due(self) -> bool:
        known = self._known
        if known is None:
            return False
        share = self._share()
        # A relay that has just registered gets its followers at once.
        is_doubled = share >= 2 * known.fleet_share
        interval_s = GROWTH_INTERVAL_S if is_doubled else COUNT_INTERVAL_S
        if now() < self._counted_at + interval_s:
            return False
        change = abs(share - known.fleet_share)
        return change > COUNT_TOLERANCE * known.fleet_share

    async def _write(self) -> None:
        """Write the registration if it is still as it is known here."""
        if self._lease_id is None and not await self._create_lease():
            return
        known = self._known
        record = RelayRecord(
            self.instance_id, self.address, self.data_centre, self._share()
        )
        entry = Entry(
            record.key, encode_record(record), known.revision if known else 0
        )
        written = await self.store.put(entry, self._lease_id or '')
        self._counted_at = now()
        if isinstance(written, Err):
            await self._on_failure(written.err_value)
            return
        self._failures = 0
        # The watch reports it as well; until then nothing is written again.
        self.directory.take(
            attrs.evolve(entry, revision=written.ok_value), now()
        )

    async def _create_lease(self) -> bool:
        created = await self.store.create_lease(LEASE_S)
        if isinstance(created, Err):
            await self._on_failure(created.err_value)
            return False
        self._lease_id = created.ok_value
        self._renew_at = now() + RENEW_INTERVAL_S
        return True

    async def _renew(self, lease_id: str) -> None:
        self._renew_at = now() + RENEW_INTERVAL_S
        renewed: Result[None, Failure] = await self.store.renew_lease(lease_id)
        if isinstance(renewed, Err):
            await self._on_failure(renewed.err_value)

    async def _on_failure(self, failure: Failure) -> None:
        log_message(
            message_type='relay:registration_failed',
            reason=str(failure),
            data_centre=self.data_centre,
        )
        if failure.code == LEASE_ENDED:
            self._lease_id = None
        else:
            # After a conflict the feed reports what another one wrote.
            self._back_off()

    def _back_off(self) -> None:
        growth = 2 ** min(self._failures, 8)
        self._failures += 1
        self._retry_at = now() + min(
            MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S * growth
        )

    async def _give_up_lease(self) -> None:
        lease_id = self._lease_id
        self._lease_id = None
        if lease_id is None:
            return
        ended = await self.store.end_lease(lease_id)
        if isinstance(ended, Err):
            # It ends by itself.
            log_message(
                message_type='relay:lease_not_ended',
                reason=str(ended.err_value),
            )

    def _share(self) -> int:
        return 1 + self.service.follower_count()
