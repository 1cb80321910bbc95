"""Guards what every instance knows against any order of events of a store.

Hypothesis makes up what happens to a fleet: writes, copies, outages, returns
from a copy with the lost writes in another order, cuts, kills and starts. The
observer of ``restoring.py`` looks for a configuration that goes back, a removed
leaf that is used again and a living leaf that is dropped; after each pause
every instance must know exactly what was written. The scenarios that people
think of leave out the combinations.
"""

import attrs
import curio
import pytest
from hypothesis import Phase, given, seed, settings
from hypothesis import strategies as st

from clementinebank.relay.tests.restoring import (
    REGISTERS_AGAIN_AFTER_S,
    play,
)
from clementinebank.relay.tests.simulation import MAX_CHANGE_DELAY_S

SIZE = 5
# Time after the last event until everything is in force: that of the grace, or
# of a watch of a cut instance that has to time out and another call.
SETTLED_S = 8.0
LEASED = ('a', 'b')
UNLEASED = ('d', 'e')
NUMBERS = st.integers(0, SIZE - 1)
LEAFS = st.sampled_from(LEASED + UNLEASED)
MOMENTS = st.sampled_from((0.0, 0.05, 0.3, 0.7, 1.5))
RETURNS = (
    st.sampled_from((0, 2, 40)),
    st.sampled_from((0, 0.5, REGISTERS_AGAIN_AFTER_S)),
    st.booleans(),
)
EVENTS = st.one_of(
    st.tuples(st.just('publish')),
    st.tuples(st.just('write_leaf'), LEAFS),
    st.tuples(st.just('remove_leaf'), LEAFS),
    st.tuples(st.just('evacuate'), st.sampled_from(('dc-0', 'dc-1'))),
    st.tuples(st.just('end_evacuation'), st.sampled_from(('dc-0', 'dc-1'))),
    st.tuples(st.just('fill'), st.integers(1, 30)),
    st.tuples(st.just('copy_store')),
    st.tuples(st.just('go_away')),
    st.tuples(st.just('come_back'), *RETURNS),
    st.tuples(st.just('drill'), *RETURNS, MOMENTS),
    st.tuples(st.just('cut'), NUMBERS),
    st.tuples(st.just('cut_from_store'), NUMBERS),
    st.tuples(st.just('heal'), NUMBERS),
    st.tuples(st.just('kill'), NUMBERS),
    st.tuples(st.just('start'), NUMBERS),
    st.tuples(st.just('wait'), MOMENTS),
    st.tuples(st.just('settle')),
)
HISTORIES = st.lists(EVENTS, min_size=5, max_size=30)


@attrs.define(eq=False, slots=False)
class Player:
    """Makes events happen to a simulated world; impossible ones are skipped."""

    world: object
    copy: object = None
    writing: list = attrs.Factory(list)

    @property
    def store(self):
        return self.world.store

    @property
    def writers(self):
        return self.world.writers

    def instance(self, number):
        return self.world.fleet.instances[number]

    async def play(self, history):
        self.copy = self.store.copy()
        for name, *values in history:
            await getattr(self, name)(*values)
        await self.settle()

    async def publish(self):
        if not self.store.is_away:
            await self.writers.publish()

    async def write_leaf(self, leaf):
        if not self.store.is_away:
            self.writers.lease = 'leafs' if leaf in LEASED else ''
            await self.writers.write_leaf(leaf)

    async def remove_leaf(self, leaf):
        if not self.store.is_away and leaf in self.writers.living:
            await self.writers.remove_leaf(leaf)

    async def evacuate(self, data_centre):
        if not self.store.is_away:
            await self.writers.evacuate(data_centre)

    async def end_evacuation(self, data_centre):
        if not self.store.is_away and data_centre in self.writers.evacuated:
            await self.writers.end_evacuation(data_centre)

    async def fill(self, count):
        if not self.store.is_away:
            await self.writers.pass_revision(self.store.revision + count)

    async def copy_store(self):
        if not self.store.is_away:
            self.copy = self.store.copy()

    async def go_away(self):
        if not self.store.is_away:
            await self.store.go_away()

    async def come_back(self, lost, within_s, is_passed_first):
        """Return from the last copy, and let the writers write again."""
        if not self.store.is_away:
            return
        passed = self.store.revision
        await self.world.come_back(self.copy)
        if is_passed_first:
            await self.writers.pass_revision(passed + lost)
        task = await curio.spawn(self._write_again, within_s, passed + lost)
        self.writing.append(task)

    async def drill(self, lost, within_s, is_passed_first, away_s):
        await self.go_away()
        await curio.sleep(away_s)
        await self.come_back(lost, within_s, is_passed_first)

    async def _write_again(self, within_s, passed):
        await self.writers.write_again(within_s)
        await self.writers.pass_revision(passed)

    async def cut(self, number):
        self.instance(number).is_cut = True
        self.instance(number).store.is_silent = True

    async def cut_from_store(self, number):
        self.instance(number).store.is_silent = True

    async def heal(self, number):
        self.instance(number).is_cut = False
        self.instance(number).store.is_silent = False

    async def kill(self, number):
        if not self.instance(number).is_dead:
            await self.instance(number).kill()

    async def start(self, number):
        if self.instance(number).is_dead:
            await self.instance(number).start()

    async def wait(self, seconds):
        await curio.sleep(seconds)

    async def settle(self):
        """End all faults; then all must know what was written."""
        if self.store.is_away:
            await self.come_back(5, REGISTERS_AGAIN_AFTER_S, True)
        for number in range(SIZE):
            await self.heal(number)
            await self.start(number)
        for task in self.writing:
            await task.join()
        self.writing.clear()
        await curio.sleep(SETTLED_S)
        self.world.check()
        await self.publish()
        await self.write_leaf('a')
        await curio.sleep(MAX_CHANGE_DELAY_S)
        self.world.check()


def play_history(history, era):
    async def scenario(world):
        world.writers.living.discard('c')
        await world.writers.remove_leaf('c')
        await Player(world).play(history)

    play(scenario, SIZE, era=era)


@seed(53)
@settings(max_examples=120, deadline=None, database=None)
@given(HISTORIES)
def test_every_instance_knows_what_was_written(history):
    play_history(history, era=1)


@seed(53)
@settings(
    max_examples=120, deadline=None, database=None, phases=[Phase.generate]
)
@given(HISTORIES)
def play_without_era(history):
    play_history(history, era=None)


def test_model_fails_if_the_store_states_no_era():
    with pytest.raises(AssertionError):
        play_without_era()
