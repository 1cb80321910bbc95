"""Writers of a simulated store that comes back from a copy, and an observer.

The writers write again what the store has lost, in another order and after a
time of their own. The observer looks at every instance all the time and notes
what must not happen to it: a configuration that goes back, a removed leaf that
is used again, a living leaf that is dropped, an evacuation that ends early.
"""

import random

import attrs
import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay import KEY_PREFIX
from clementinebank.relay.tests.simulation import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    LEAF_PREFIX,
    FakeStore,
    Fleet,
)

# Time for the instances of a new fleet to load and the relays to register.
START_UP_S = 12.0
# Time within which a living leaf writes its registration again.
REGISTERS_AGAIN_AFTER_S = 1.9
LOOK_INTERVAL_S = 0.05
# A removal counts at the latest then, and the leaf may be written again before.
REMOVAL_S = 5.0
# Lease of the leafs; the store loses the keys of all leases.
LEASE = 'leafs'


@attrs.define(eq=False, slots=False)
class Writers:
    """Leafs and operators, who write again what the store has lost.

    Each record of a leaf has a greater sequence than the one before it.
    """

    store: FakeStore
    rng: random.Random
    version: int = 0
    living: set = attrs.Factory(set)
    sequences: dict = attrs.Factory(dict)
    removed_at: dict = attrs.Factory(dict)
    # Data centres that are evacuated, and since when all that ever were.
    evacuated: set = attrs.Factory(set)
    ordered_at: dict = attrs.Factory(dict)
    lease: str = LEASE
    # Least size of the record of a leaf.
    record_bytes: int = 0

    async def publish(self):
        self.version += 1
        await self.publish_again()

    async def publish_again(self):
        await self.store.write(CONFIGURATION_KEY, b'%d' % self.version)

    async def write_leaf(self, leaf):
        self.sequences[leaf] = self.sequences.get(leaf, 0) + 1
        self.living.add(leaf)
        await self.store.write(
            LEAF_PREFIX + leaf, self._record_of(leaf), self.lease
        )

    async def remove_leaf(self, leaf):
        self.living.discard(leaf)
        self.removed_at[leaf] = now()
        await self.store.write(LEAF_PREFIX + leaf, None)

    async def evacuate(self, data_centre):
        if data_centre not in self.evacuated:
            self.ordered_at[data_centre] = now()
        self.evacuated.add(data_centre)
        await self.store.write(EVACUATION_PREFIX + data_centre, b'')

    async def end_evacuation(self, data_centre):
        self.evacuated.discard(data_centre)
        await self.store.write(EVACUATION_PREFIX + data_centre, None)

    async def pass_revision(self, revision):
        """Write other keys until the store has passed a revision."""
        while self.store.revision <= revision:
            await self.store.write(f'other/{self.store.revision % 5}', b'')

    async def write_again(self, within_s):
        """Write what the store lacks, in a random order, within a time."""
        keys = [CONFIGURATION_KEY]
        keys += [LEAF_PREFIX + leaf for leaf in sorted(self.sequences)]
        keys += [EVACUATION_PREFIX + each for each in self.ordered_at]
        due = [(self.rng.uniform(0, within_s), key) for key in keys]
        began_at = now()
        for delay_s, key in sorted(due):
            await curio.sleep(max(0, began_at + delay_s - now()))
            if self.store.is_away:
                return
            await self._write_again(key)

    def _record_of(self, leaf):
        return (b'1.%d' % self.sequences[leaf]).ljust(self.record_bytes)

    async def _write_again(self, key):
        stored, _ = self.store.items.get(key, (None, ''))
        leaf = key.removeprefix(LEAF_PREFIX)
        if key == CONFIGURATION_KEY:
            if stored is None or int(stored.value) < self.version:
                await self.publish_again()
        elif key.startswith(EVACUATION_PREFIX):
            await self._order_again(key, stored)
        elif leaf not in self.living:
            if stored is not None:
                await self.remove_leaf(leaf)
        elif stored is None or stored.value != self._record_of(leaf):
            await self.write_leaf(leaf)

    async def _order_again(self, key, stored):
        data_centre = key.removeprefix(EVACUATION_PREFIX)
        if data_centre in self.evacuated and stored is None:
            await self.evacuate(data_centre)
        elif data_centre not in self.evacuated and stored is not None:
            await self.end_evacuation(data_centre)


@attrs.define(eq=False, slots=False)
class Process:
    """What the observer saw last of one process of an instance."""

    version: int = 0
    # Greatest sort key of each leaf that it has known.
    newest: dict = attrs.Factory(dict)
    known: frozenset = frozenset()
    evacuated: frozenset = frozenset()


@attrs.define(eq=False, slots=False)
class Observer:
    """Notes breaches of what holds for each instance at every moment."""

    fleet: Fleet
    writers: Writers
    problems: list = attrs.Factory(list)
    _processes: dict = attrs.Factory(dict)

    async def run(self):
        while True:
            await curio.sleep(LOOK_INTERVAL_S)
            for instance in self.fleet.instances:
                if not instance.is_dead and instance.log.is_loaded:
                    self._look_at(instance)

    def _look_at(self, instance):
        # A restarted instance has a new directory.
        process = self._processes.setdefault(instance.leafs, Process())
        version = instance.updater.route_table.version
        if version < process.version:
            self._note(instance, f'version {process.version} to {version}')
        process.version = version
        records = instance.leafs.records_by_id
        for leaf, record in records.items():
            newest = process.newest.get(leaf)
            is_back = newest is not None and leaf not in process.known
            if is_back and record.sort_key <= newest:
                self._note(instance, f'{leaf} is back as {record.sort_key}')
            process.newest[leaf] = max(record.sort_key, newest or (0, 0))
        for leaf in process.known - records.keys():
            removed_at = self.writers.removed_at.get(leaf, float('-inf'))
            if leaf in self.writers.living and now() > removed_at + REMOVAL_S:
                self._note(instance, f'{leaf} is dropped, though it lives')
        process.known = frozenset(records)
        evacuated = instance.leafs.evacuated_data_centres
        for each in (process.evacuated - evacuated) & self.writers.evacuated:
            if now() > self.writers.ordered_at[each] + REMOVAL_S:
                self._note(instance, f'the evacuation of {each} ends')
        process.evacuated = evacuated

    def _note(self, instance, text):
        self.problems.append(f'{now():.2f} i-{instance.number}: {text}')


@attrs.define(eq=False, slots=False)
class World:
    """Simulated fleet, its writers and the observer."""

    fleet: Fleet
    writers: Writers
    observer: Observer
    returned_at: float = float('-inf')

    @property
    def store(self):
        return self.fleet.store

    async def go_away(self, seconds):
        await self.store.go_away()
        await curio.sleep(seconds)

    async def come_back(self, copy):
        self.returned_at = now()
        await self.store.come_back(copy)

    def differences(self, exempt=()):
        """Return what instances know otherwise than it was written."""
        expected = {
            leaf: (1, self.writers.sequences[leaf])
            for leaf in self.writers.living
        }
        found = []
        for each in self.fleet.instances:
            if each.is_dead or each in exempt:
                continue
            version = each.updater.route_table.version
            if version != self.writers.version:
                found.append(
                    f'i-{each.number}: version {version}, '
                    f'not {self.writers.version}'
                )
            evacuated = each.leafs.evacuated_data_centres
            if evacuated != self.writers.evacuated:
                found.append(f'i-{each.number}: evacuated {set(evacuated)}')
            records = {
                leaf: record.sort_key
                for leaf, record in each.leafs.records_by_id.items()
            }
            if records != expected:
                wrong = sorted(
                    (
                        leaf,
                        records.get(leaf),
                        expected.get(leaf),
                    )
                    for leaf in records.keys() | expected.keys()
                    if records.get(leaf) != expected.get(leaf)
                )
                found.append(f'i-{each.number}: {wrong}')
        return found

    def check(self, exempt=()):
        """Assert that all instances know what was written, at all times."""
        assert not self.observer.problems, self.observer.problems
        differences = self.differences(exempt)
        assert not differences, differences

    def registrations_since(self, copy):
        """Return the writes of registrations of relays after a copy."""
        revision, _, _ = copy
        return [
            each
            for each in self.store.history
            if each.revision > revision
            and each.key.startswith(KEY_PREFIX)
            and each.value is not None
        ]


def play(scenario, size=7, seed=1, era=1):
    """Run a scenario in a fleet that knows three leafs and a version."""

    async def run():
        fleet = Fleet(size, seed, FakeStore(era=era))
        writers = Writers(fleet.store, random.Random(seed))
        world = World(fleet, writers, Observer(fleet, writers))
        await fleet.store.write('op', b'v0')
        await writers.publish()
        for leaf in 'abc':
            await writers.write_leaf(leaf)
        await fleet.start()
        await curio.sleep(START_UP_S)
        await curio.spawn(world.observer.run, daemon=True)
        await curio.sleep(fleet.instances[0].registration.rng.random())
        return await scenario(world)

    with FakeClockKernel() as kernel:
        return kernel.run(run)
