"""Simulated fleet: feeds of many instances over a store in memory.

It runs on a fake clock. Instances can be killed or cut off, and the store can
refuse calls or stay silent.
"""

import random

import attrs
import curio
from result import Err, Ok

from clementinebank.clock import now, run_before
from clementinebank.errors import Failure, Step
from clementinebank.gateway import (
    ConfigurationWritten,
    ControlStateUpdater,
    EvacuationBegun,
    EvacuationEnded,
    LeafRemoved,
    LeafWritten,
)
from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.relay import (
    CONFLICT,
    HISTORY_LOST,
    LEASE_ENDED,
    ChangeBatch,
    Entry,
    EntryLog,
    FreshnessBounds,
    RelayClient,
    RelayDirectory,
    RelayedFeed,
    RelayRegistration,
    RelayService,
    RemovalBounds,
    StoredState,
    StorePosition,
    era_failure_code,
    watch_confirmed_at,
)
from clementinebank.relay.relay_pb2 import WatchReply, WatchRequest
from clementinebank.routes import RouteTable, RoutingConfiguration
from clementinebank.validation import Address

# Bound on the time until a change is in force, and on that of a drain.
MAX_CHANGE_DELAY_S = 3.0
# Delay of a message in one direction, and of a call to the store.
DELAY_S = 0.01
STORE_TIMEOUT_S = 1.5
WATCH_WAIT_S = 5.0
# Time after which TCP keep-alive closes an idle connection that went silent.
KEEP_ALIVE_S = 3.0
# Longer than any test.
NEVER_S = 1e6
HEARTBEAT_S = 0.1
LEAF_PREFIX = 'servers/'
EVACUATION_PREFIX = 'evacuations/'
CONFIGURATION_KEY = 'configuration'
REGIONS = {'dc-0': 'r-0', 'dc-1': 'r-0', 'dc-2': 'r-1'}


def failure(code):
    return Err(Failure(code, code, Step.READ_HEAD))


def decode_entry(entry):
    """Return the change of an entry; other keys change nothing.

    The value of a leaf is its incarnation and sequence as ``1.2``, or empty,
    and that of the configuration its version.
    """
    if entry.key == CONFIGURATION_KEY and entry.value is not None:
        configuration = RoutingConfiguration(int(entry.value), (), {})
        return ConfigurationWritten(configuration)
    if entry.key.startswith(EVACUATION_PREFIX):
        data_centre = entry.key.removeprefix(EVACUATION_PREFIX)
        if entry.value is None:
            return EvacuationEnded(data_centre)
        return EvacuationBegun(data_centre)
    if not entry.key.startswith(LEAF_PREFIX):
        return None
    leaf_id = entry.key.removeprefix(LEAF_PREFIX)
    if entry.value is None:
        return LeafRemoved(leaf_id)
    incarnation, sequence = map(int, (entry.value or b'1.1').split(b'.'))
    address = Address('127.0.0.1', 1)
    return LeafWritten(
        LeafRecord(leaf_id, incarnation, sequence, 's', address, 'dc-0', 3)
    )


def without_era(message_type, payload):
    """Return an encoded message as the release before eras sends it."""
    message = message_type()
    message.ParseFromString(payload)
    message.ClearField('era')
    return message.SerializeToString()


async def ignore():
    return None


@attrs.define(eq=False)
class Connections:
    """Connections of the fleet, and when the open ones went silent for good.

    New connections work.
    """

    silent_at: float = float('-inf')

    def opened_at(self, opened_at):
        """Return when the connection of the next call was opened.

        It is a new one if there was none, or if keep-alive has closed it.
        """
        is_closed = (
            opened_at <= self.silent_at
            and now() >= self.silent_at + KEEP_ALIVE_S
        )
        return now() if is_closed else opened_at

    async def cross(self, opened_at):
        """Return at once, or never on a connection that is silent."""
        if opened_at <= self.silent_at:
            await curio.sleep(NEVER_S)


@attrs.define(eq=False)
class FakeStore:
    """Store in memory: linearizable keys with history and leases."""

    revision: int = 10
    items: dict = attrs.Factory(dict)
    history: list = attrs.Factory(list)
    oldest: int = 0
    leases: dict = attrs.Factory(dict)
    changed: object = attrs.Factory(curio.Event)
    era: int | None = 1
    is_away: bool = False
    connections: Connections = attrs.Factory(Connections)

    @property
    def position(self):
        return StorePosition(self.revision, self.era)

    async def write(self, key, value, lease=''):
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self.history.append(entry)
        self.items.pop(key, None)
        if value is not None:
            self.items[key] = (entry, lease)
        changed = self.changed
        self.changed = curio.Event()
        await changed.set()
        return self.revision

    def compact(self):
        """Drop all changes; a watch from an older revision then fails."""
        self.oldest = self.revision
        self.history.clear()

    def copy(self):
        """Return a copy to which the store can come back."""
        items = {
            key: (entry, lease)
            for key, (entry, lease) in self.items.items()
            if not lease
        }
        return self.revision, items, list(self.history)

    async def go_away(self):
        """Refuse all calls, and break those that wait."""
        self.is_away = True
        changed = self.changed
        self.changed = curio.Event()
        await changed.set()

    async def come_back(self, copy):
        """Go on from an older copy without any lease, in the next era."""
        self.revision, items, history = copy
        self.items, self.history = dict(items), list(history)
        self.leases.clear()
        if self.era is not None:
            self.era += 1
        self.is_away = False
        changed = self.changed
        self.changed = curio.Event()
        await changed.set()

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        held = [key for key, (_, owner) in self.items.items() if owner == lease]
        for key in held:
            await self.write(key, None)

    async def beat(self):
        """Write a key again and again, like the heartbeats of leafs."""
        while True:
            await curio.sleep(HEARTBEAT_S)
            await self.write('beat', b'')

    async def expire_leases(self):
        while True:
            await curio.sleep(0.1)
            for lease, end in list(self.leases.items()):
                if now() >= end:
                    await self.end_lease(lease)


@attrs.define(eq=False)
class StoreClient:
    """Store client of one instance, with faults.

    Calls fail with the code ``refusal``, or get no reply if ``is_silent``.
    While the link ``is_held``, messages in both directions are held up. The
    connection of the watches, opened at ``opened_at``, may go silent. An
    instance of the release before eras ``knows_no_era``.
    """

    store: FakeStore
    calls: int = 0
    refusal: str = ''
    is_silent: bool = False
    is_held: bool = False
    ttl_s: float = 0
    knows_no_era: bool = False
    writes: int = 0
    opened_at: float = attrs.field(factory=now)

    @property
    def _position(self):
        era = None if self.knows_no_era else self.store.era
        return StorePosition(self.store.revision, era)

    async def _cross_link(self):
        await curio.sleep(DELAY_S / 2)
        while self.is_held:
            await curio.sleep(DELAY_S)

    async def _begin_call(self, wait_s=0):
        """Count a call and return its failure, ``None`` if it may go on."""
        self.calls += 1
        await self._cross_link()
        if self.is_silent:
            # Such a call gets no reply, even if the store is back meanwhile.
            await curio.sleep(wait_s + STORE_TIMEOUT_S)
            return failure('unreachable')
        if self.store.is_away:
            return failure('unreachable')
        return failure(self.refusal) if self.refusal else None

    async def read_all(self):
        sent_at = now()
        failed = await self._begin_call()
        if failed:
            return failed
        entries = tuple(entry for entry, _ in self.store.items.values())
        state = StoredState(entries, self._position, sent_at)
        await self._cross_link()
        return Ok(state)

    async def wait_for_changes(self, position, wait_s):
        sent_at = now()
        try:
            answer = await run_before(
                sent_at + wait_s + STORE_TIMEOUT_S,
                self._watch,
                position.revision,
                wait_s,
            )
        except curio.TaskTimeout:
            self.opened_at = now()
            return failure('unreachable')
        if isinstance(answer, Err):
            return answer
        entries, answered = answer
        if not position.shares_era(answered):
            return failure(era_failure_code(position, answered))
        confirmed_at = watch_confirmed_at(
            sent_at, now(), wait_s, has_changes=bool(entries)
        )
        return Ok(ChangeBatch(entries, answered, confirmed_at))

    async def _watch(self, revision, wait_s):
        """Return the changes and the store's revision, or a failure."""
        connections = self.store.connections
        self.opened_at = connections.opened_at(self.opened_at)
        await connections.cross(self.opened_at)
        failed = await self._begin_call(wait_s)
        if failed:
            return failed
        end = now() + wait_s
        while True:
            store = self.store
            if store.is_away:
                return failure('unreachable')
            if store.revision < revision:
                return failure(HISTORY_LOST)
            if revision < store.oldest:
                return failure(HISTORY_LOST)
            entries = tuple(
                each for each in store.history if each.revision > revision
            )
            if (entries or now() >= end) and not self.is_silent:
                answered = self._position
                await self._cross_link()
                await connections.cross(self.opened_at)
                return entries, answered
            remaining_s = end - now() if now() < end else STORE_TIMEOUT_S
            async with curio.ignore_after(remaining_s):
                await store.changed.wait()

    async def create_lease(self, ttl_s):
        self.writes += 1
        failed = await self._begin_call()
        if failed:
            return failed
        lease = f'lease-{self.store.revision}-{len(self.store.leases)}'
        self.ttl_s = ttl_s
        self.store.leases[lease] = now() + ttl_s
        return Ok(lease)

    async def renew_lease(self, lease_id):
        self.writes += 1
        failed = await self._begin_call()
        if failed:
            return failed
        if lease_id not in self.store.leases:
            return failure(LEASE_ENDED)
        self.store.leases[lease_id] = now() + self.ttl_s
        return Ok(None)

    async def end_lease(self, lease_id):
        self.writes += 1
        failed = await self._begin_call()
        if failed:
            return failed
        await self.store.end_lease(lease_id)
        return Ok(None)

    async def put(self, entry, lease_id):
        self.writes += 1
        failed = await self._begin_call()
        if failed:
            return failed
        known = self.store.items.get(entry.key)
        if (known[0].revision if known else 0) != entry.revision:
            return failure(CONFLICT)
        if lease_id not in self.store.leases:
            return failure(LEASE_ENDED)
        return Ok(await self.store.write(entry.key, entry.value, lease_id))


@attrs.define(eq=False)
class FakeChannel:
    """Channel to an instance of the fleet in the same process."""

    fleet: object
    caller: int
    address: Address
    opened_at: float = attrs.field(factory=now)

    async def call_before(self, deadline, path, payload, decode):
        connections = self.fleet.store.connections
        self.opened_at = connections.opened_at(self.opened_at)
        try:
            return decode(await run_before(deadline, self._call, payload))
        except BaseException:
            # The next call opens a new connection.
            self.opened_at = now()
            raise

    async def close(self):
        return None

    async def _call(self, payload):
        target = self.fleet.instances_by_address.get(self.address)
        if target is None or target.is_dead:
            raise ConnectionRefusedError('no process')
        caller = self.fleet.instances[self.caller]
        if caller.is_cut or target.is_cut or caller.is_deaf:
            await curio.sleep(NEVER_S)
        connections = self.fleet.store.connections
        await connections.cross(self.opened_at)
        await curio.sleep(DELAY_S)
        knows_no_era = target.store.knows_no_era or caller.store.knows_no_era
        if knows_no_era:
            payload = without_era(WatchRequest, payload)
        reply = await target.service.handle_watch(payload)
        await connections.cross(self.opened_at)
        if knows_no_era:
            reply = without_era(WatchReply, reply)
        self.fleet.reply_bytes += len(reply)
        while target.is_cut or caller.is_cut:
            await curio.sleep(NEVER_S)
        await curio.sleep(DELAY_S)
        return reply


@attrs.define(eq=False, slots=False)
class Instance:
    """Simulated instance: its feed, registration and known entries."""

    fleet: object
    number: int
    is_cut: bool = False
    is_dead: bool = False
    # Whether its calls to other instances get no reply.
    is_deaf: bool = False
    tasks: list = attrs.Factory(list)
    store: StoreClient = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the store client and the other parts."""
        self.store = StoreClient(self.fleet.store)
        self._create_parts()

    @property
    def address(self):
        return Address('127.0.0.1', 1 + self.number)

    @property
    def cores(self):
        """Return 2 cores for one instance in twelve, else a half."""
        return 2 if self.number % 12 < 3 else 0.5

    @property
    def aggregators(self):
        """Return the addresses that this instance knows as aggregators."""
        known = self.directory.aggregators_by_data_centre
        return {
            member.address for members in known.values() for member in members
        }

    def _create_parts(self):
        fleet = self.fleet
        rng = random.Random(f'{fleet.seed}-{self.number}')
        self.log = EntryLog()
        self.service = RelayService(self.log)
        self.directory = RelayDirectory()
        data_centre = f'dc-{self.number % fleet.data_centres}'
        self.registration = RelayRegistration(
            f'i-{self.number}',
            data_centre,
            self.address,
            self.store,
            self.directory,
            self.log,
            self.service,
            is_seed=self.address in fleet.seeds,
            rng=rng,
            cores=self.cores,
        )
        self.client = RelayClient(
            f'i-{self.number}',
            self.address,
            self.log,
            lambda address: FakeChannel(fleet, self.number, address),
            data_centre=data_centre,
            cores=self.cores,
        )
        self.feed = RelayedFeed(
            self.store,
            self.client,
            self.directory,
            self.registration,
            self.log,
            FreshnessBounds(MAX_CHANGE_DELAY_S),
            fleet.seeds,
            REGIONS,
            rng,
        )
        self.leafs = LeafDirectory(MAX_CHANGE_DELAY_S)
        self.log.removal_bounds = RemovalBounds(
            self.leafs.removal_notice_s, self.feed.bounds.max_age_s
        )
        self.updater = ControlStateUpdater(
            self.feed,
            decode_entry,
            RouteTable(),
            self.leafs,
            self.directory,
            self.log,
            ignore,
            WATCH_WAIT_S,
        )

    async def start(self):
        self.is_dead = False
        for corofunc in (self.updater.run, self.registration.run):
            self.tasks.append(await curio.spawn(corofunc, daemon=True))

    async def kill(self):
        self.is_dead = True
        for task in self.tasks:
            await task.cancel()
        self.tasks.clear()
        self._create_parts()

    def value_of(self, key):
        entry = self.log.entries_by_key.get(key)
        return entry.value if entry else None


@attrs.define(eq=False, slots=False)
class Fleet:
    """Instances in a few data centres; all know the first three as seeds."""

    size: int = 7
    seed: int = 1
    store: FakeStore = attrs.Factory(FakeStore)
    data_centres: int = 3
    # Size of all replies that instances sent each other.
    reply_bytes: int = 0

    def __attrs_post_init__(self):
        """Create the instances."""
        self.seeds = tuple(
            Address('127.0.0.1', 1 + number) for number in range(3)
        )
        self.instances = [Instance(self, each) for each in range(self.size)]
        self.instances_by_address = {
            each.address: each for each in self.instances
        }

    @property
    def calls(self):
        return sum(each.store.calls for each in self.instances)

    @property
    def writes(self):
        return sum(each.store.writes for each in self.instances)

    @property
    def relays(self):
        return [
            each for each in self.instances if each.registration.is_registered
        ]

    async def start(self):
        await curio.spawn(self.store.expire_leases, daemon=True)
        for instance in self.instances:
            await instance.start()

    def numbers_without(self, key, value, exempt=()):
        """Return the numbers of the instances that lack a value of a key."""
        return [
            each.number
            for each in self.instances
            if each not in exempt and each.value_of(key) != value
        ]
