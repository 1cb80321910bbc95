"""Registration of an instance as the relay of its data centre."""

import random

import attrs
import curio
from eliot import log_message
from result import Err, Result

from clementinebank.clock import now
from clementinebank.errors import Failure
from clementinebank.relay._aggregators import (
    FleetMember,
    choose_aggregators,
)
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
from clementinebank.relay._service import (
    FOLLOWER_TIMEOUT_S,
    RelayService,
)
from clementinebank.validation import Address

# Lifetime of the lease under which a registration is stored. Followers leave a
# dead relay long before its registration ends, so a long lease has no cost but
# the renewals.
LEASE_TTL_S = 10.0
RENEW_INTERVAL_S = 3.0
CHECK_INTERVAL_S = 0.25
# Bounds of the random time for which a data centre must have had no relay
# before an instance registers. The instance with the shortest time registers;
# the others receive its registration within about a second and make no call.
MAX_CANDIDATE_DELAY_S = 4.0
MIN_CANDIDATE_DELAY_S = 1.5
# The ``fleet_share`` of the registration is written again when it is wrong by
# more than this fraction, at most once in FLEET_SHARE_WRITE_INTERVAL_S: each
# write ends the watches of the relays of all data centres.
FLEET_SHARE_TOLERANCE = 0.15
FLEET_SHARE_WRITE_INTERVAL_S = 5.0
# Used instead of FLEET_SHARE_WRITE_INTERVAL_S when the share has at least
# doubled.
DOUBLED_FLEET_SHARE_WRITE_INTERVAL_S = 1.0
RETRY_INTERVAL_S = 1.0
MAX_RETRY_INTERVAL_S = 8.0


@attrs.define(eq=False)
class RelayRegistration:
    """Registration of this instance as relay if its data centre has none.

    The registration is stored under a lease, which is renewed while it holds.

    Parameters
    ----------
    instance_id, data_centre : str
        Name and data centre of this instance.
    address : Address
        Where this instance answers other instances.
    store : ControlStore
        Client of the store that holds the registrations.
    directory : RelayDirectory
        Registrations that this instance knows.
    log : EntryLog
        Entries of this instance; it registers only when they are loaded.
    service : RelayService
        Counts the followers of this instance.
    is_seed : bool
        Whether to register without a delay, because the settings of all
        instances name this one.
    rng : random.Random
        Source of the random delay before a registration.
    cores : float
        Processor of this instance in cores; 0 if it gathers no answers for
        other instances.
    """

    instance_id: str
    data_centre: str
    address: Address
    store: ControlStore
    directory: RelayDirectory
    log: EntryLog
    service: RelayService
    is_seed: bool = False
    rng: random.Random = attrs.Factory(random.Random)
    cores: float = 0
    _registered_since: float = float('-inf')
    _lease_id: str | None = None
    # Era of the store at the last check.
    _era: int | None = None
    _renew_at: float = 0
    _retry_at: float = 0
    _is_unregistering: bool = False
    _failures: int = 0
    _no_relay_since: float | None = None
    _registration_delay_s: float = 0
    _written_at: float = float('-inf')

    @property
    def is_registered(self) -> bool:
        """Return whether this instance is the registered relay."""
        registered = self._registered
        return (
            registered is not None
            and registered.instance_id == self.instance_id
        )

    @property
    def is_active_relay(self) -> bool:
        """Return whether others rely on this instance to watch the store.

        True if it is the registered relay, or if it is about to register
        without a delay because there is none.
        """
        return self.is_registered or (self.is_seed and self._registered is None)

    async def run(self) -> None:
        """Register and renew the registration until the task is cancelled."""
        while True:
            await curio.sleep(CHECK_INTERVAL_S)
            self._notice_return()
            is_due = self.log.is_loaded and now() >= self._retry_at
            if is_due and not self._is_unregistering:
                await self.update()

    async def update(self) -> None:
        """Register, renew or rewrite the registration, as far as due.

        If another instance is registered, end the lease of this one.
        """
        if self.is_registered:
            await self._renew_or_rewrite()
        elif self._registered is None:
            await self._register_if_due()
        else:
            self._no_relay_since = None
            await self._end_lease()

    async def unregister(self) -> None:
        """End the registration before this instance stops.

        ``run`` doesn't register again afterwards.
        """
        self._is_unregistering = True
        self._notice_return()
        await self._end_lease()

    @property
    def _registered(self) -> RelayRecord | None:
        """Return the relay of this data centre, as far as it is known."""
        return self.directory.records_by_data_centre.get(self.data_centre)

    def _notice_return(self) -> None:
        """Begin anew if the store is back from an older copy without leases."""
        era = self.log.position.era
        if era == self._era:
            return
        if self._era is not None:
            log_message(
                message_type='relay:lease_lost',
                data_centre=self.data_centre,
                era=era,
            )
            self._lease_id = None
            self._failures = 0
            self._retry_at = 0
        self._era = era

    async def _register_if_due(self) -> None:
        if self._no_relay_since is None:
            self._no_relay_since = now()
            self._registration_delay_s = (
                0
                if self.is_seed
                else self.rng.uniform(
                    MIN_CANDIDATE_DELAY_S, MAX_CANDIDATE_DELAY_S
                )
            )
        if now() >= self._no_relay_since + self._registration_delay_s:
            self._no_relay_since = None
            await self._write_record()

    async def _renew_or_rewrite(self) -> None:
        if self._lease_id is None:
            # An earlier process of this instance wrote the registration; it is
            # written again under a lease of this process.
            await self._write_record()
        elif now() >= self._renew_at:
            await self._renew(self._lease_id)
        elif self._is_share_write_due():
            await self._write_record()

    def _is_share_write_due(self) -> bool:
        registered = self._registered
        if registered is None:
            return False
        if self._is_aggregator_write_due(registered):
            return True
        share = self._fleet_share()
        # The share may double at once: a relay that has just registered gains
        # all its followers within a short time.
        is_doubled = share >= 2 * registered.fleet_share
        interval_s = (
            DOUBLED_FLEET_SHARE_WRITE_INTERVAL_S
            if is_doubled
            else FLEET_SHARE_WRITE_INTERVAL_S
        )
        if now() < self._written_at + interval_s:
            return False
        change = abs(share - registered.fleet_share)
        return change > FLEET_SHARE_TOLERANCE * registered.fleet_share

    def _is_aggregator_write_due(self, registered: RelayRecord) -> bool:
        """Return whether other aggregators than the registered ones are due.

        The first ones are registered soon, changes less often.
        """
        interval_s = (
            FLEET_SHARE_WRITE_INTERVAL_S
            if registered.aggregators
            else DOUBLED_FLEET_SHARE_WRITE_INTERVAL_S
        )
        return (
            now() >= self._written_at + interval_s
            and self._aggregators() != registered.aggregators
        )

    def _aggregators(self) -> tuple[FleetMember, ...]:
        """Return the aggregators of this data centre.

        Those that an earlier relay chose are kept until their instances have
        had time to follow this relay.
        """
        current = self.directory.aggregators_by_data_centre.get(
            self.data_centre, ()
        )
        if current and now() < self._registered_since + FOLLOWER_TIMEOUT_S:
            return current
        members = self.service.members_of(self.data_centre)
        if self.cores:
            members.append(FleetMember(self.address, self.cores))
        return choose_aggregators(members, current)

    async def _write_record(self) -> None:
        """Write the registration, unless another instance has changed it."""
        if self._lease_id is None and not await self._create_lease():
            return
        if not self.is_registered:
            self._registered_since = now()
        record = RelayRecord(
            self.instance_id,
            self.address,
            self.data_centre,
            self._fleet_share(),
            aggregators=self._aggregators(),
        )
        entry = Entry(
            record.key,
            encode_record(record),
            self.directory.revision_of(self.data_centre),
        )
        written = await self.store.put(entry, self._lease_id or '')
        self._written_at = now()
        if isinstance(written, Err):
            await self._handle_failure(written.err_value)
            return
        self._failures = 0
        # The feed reports this write later; without the directory's entry it
        # would be repeated until then.
        self.directory.apply(
            attrs.evolve(entry, revision=written.ok_value), now()
        )

    async def _create_lease(self) -> bool:
        created = await self.store.create_lease(LEASE_TTL_S)
        if isinstance(created, Err):
            await self._handle_failure(created.err_value)
            return False
        self._lease_id = created.ok_value
        self._renew_at = now() + RENEW_INTERVAL_S
        return True

    async def _renew(self, lease_id: str) -> None:
        self._renew_at = now() + RENEW_INTERVAL_S
        renewed: Result[None, Failure] = await self.store.renew_lease(lease_id)
        if isinstance(renewed, Err):
            await self._handle_failure(renewed.err_value)

    async def _handle_failure(self, failure: Failure) -> None:
        log_message(
            message_type='relay:registration_failed',
            reason=str(failure),
            data_centre=self.data_centre,
        )
        if failure.code == LEASE_ENDED:
            self._lease_id = None
        else:
            # After a conflict the record isn't read here, because the feed
            # reports what another instance wrote.
            self._back_off()

    def _back_off(self) -> None:
        factor = 2 ** min(self._failures, 8)
        self._failures += 1
        self._retry_at = now() + min(
            MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S * factor
        )

    async def _end_lease(self) -> None:
        lease_id = self._lease_id
        self._lease_id = None
        if lease_id is None:
            return
        ended = await self.store.end_lease(lease_id)
        if isinstance(ended, Err):
            # The lease expires after LEASE_TTL_S without a renewal.
            log_message(
                message_type='relay:lease_not_ended',
                reason=str(ended.err_value),
            )

    def _fleet_share(self) -> int:
        """Return how many instances this one counts, itself included.

        Instances that read from several relays, and relays that read from each
        other, are counted once, by the relay of their data centre.
        """
        others = self.directory.records_by_data_centre.keys() - {
            self.data_centre
        }
        return 1 + self.service.follower_count(others)
