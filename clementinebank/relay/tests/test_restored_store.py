"""Guards a fleet whose store comes back from an older copy (issues 53, 46).

The store then has lost its last writes and all leases, and gives revisions out
again. An instance that takes its position for one of the new history misses
every change up to it: versions and leafs written again, and removals. Each
scenario is also played with a store that states no era, as before: it must
fail there, or it would guard nothing.
"""

import curio
import pytest

from clementinebank.clock import now
from clementinebank.relay import KEY_PREFIX
from clementinebank.relay.tests.restoring import (
    REGISTERS_AGAIN_AFTER_S,
    play,
)
from clementinebank.relay.tests.simulation import MAX_CHANGE_DELAY_S

# Time after the return within which what was written again is in force.
RESTORED_S = 2.0
# Time after the return until a leaf that isn't written again is gone.
NOT_AGAIN_S = 2.5
# Time until all instances have heard of the return and expired the leafs.
DELAYS_S = RESTORED_S + 0.2
SIZES = (7, 21, 60)
# Half of the calls that the store serves in a second, by fleet size.
WRITES_AND_READS_PER_S = {7: (400, 2000), 200: (3200, 16000)}


async def drill(world, away_s=1.0):
    """Let the store come back; return the revision that the fleet knew."""
    copy = world.store.copy()
    await world.writers.publish()
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    passed = world.store.revision
    await world.go_away(away_s)
    await world.come_back(copy)
    return passed


async def write_all_again(world, passed):
    """Write what was lost at once, then pass the known revisions."""
    await world.writers.write_again(0)
    await world.writers.pass_revision(passed + 5)


async def version_below_a_passed_revision(world):
    passed = await drill(world)
    await world.writers.publish()
    await write_all_again(world, passed)
    await curio.sleep(RESTORED_S)
    world.check()
    await world.writers.publish()
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def leaf_added_below_a_passed_revision(world):
    passed = await drill(world)
    await world.writers.write_leaf('new')
    await write_all_again(world, passed)
    await curio.sleep(RESTORED_S)
    world.check()


async def leaf_removed_below_a_passed_revision(world):
    """Remove a registration that the copy still has, after the return.

    For those who hear of the return later it looks like a lost registration.
    """
    world.writers.lease = ''
    await world.writers.write_leaf('stored')
    world.writers.lease = 'leafs'
    passed = await drill(world)
    await world.writers.remove_leaf('stored')
    await write_all_again(world, passed)
    await curio.sleep(NOT_AGAIN_S + DELAYS_S)
    world.check()


async def removed_leaf_is_in_the_copy(world):
    world.writers.lease = ''
    await world.writers.write_leaf('stored')
    world.writers.lease = 'leafs'
    copy = world.store.copy()
    await world.writers.remove_leaf('stored')
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    passed = world.store.revision
    await world.go_away(1)
    await world.come_back(copy)
    await write_all_again(world, passed)
    # Only a newer record brings it back.
    await curio.sleep(RESTORED_S)
    world.check()
    await world.writers.write_leaf('stored')
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def leaf_is_not_written_again(world, away_s=1.0):
    passed = await drill(world, away_s)
    world.writers.living.discard('a')
    world.writers.removed_at['a'] = now()
    await write_all_again(world, passed)
    await curio.sleep(NOT_AGAIN_S + DELAYS_S)
    world.check()


async def leafs_are_written_again_late(world):
    """Leafs that the copy lacks stay in use until they are written again."""
    passed = await drill(world)
    await world.writers.write_leaf('a')
    await world.writers.pass_revision(passed + 5)
    await world.writers.write_again(REGISTERS_AGAIN_AFTER_S)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def evacuations_are_ordered_again_late(world):
    """Keep an evacuation that the copy lacks until it is ordered again."""
    copy = world.store.copy()
    await world.writers.evacuate('dc-0')
    await world.writers.evacuate('dc-1')
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(2 * MAX_CHANGE_DELAY_S)
    passed = world.store.revision
    await world.go_away(1)
    await world.come_back(copy)
    await world.writers.publish()
    world.writers.evacuated.discard('dc-1')
    await world.writers.pass_revision(passed + 5)
    await world.writers.write_again(REGISTERS_AGAIN_AFTER_S)
    await curio.sleep(NOT_AGAIN_S + DELAYS_S)
    world.check()
    await world.writers.end_evacuation('dc-0')
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def relay_without_the_store(world):
    """Let a relay hear of the return from others, and its followers from it."""
    relay = world.fleet.relays[0]
    relay.store.is_silent = True
    passed = await drill(world)
    await world.writers.publish()
    await write_all_again(world, passed)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()
    await world.writers.publish()
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def relay_in_an_earlier_era(world):
    """Its followers hear of both eras, and must not go back."""
    relay = world.fleet.relays[0]
    copy = world.store.copy()
    await world.writers.publish()
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    relay.store.is_silent = True
    relay.is_deaf = True
    passed = world.store.revision
    await world.go_away(1)
    await world.come_back(copy)
    await world.writers.publish()
    await write_all_again(world, passed)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check([relay])
    for _ in range(3):
        await world.writers.publish()
        await world.writers.write_leaf('a')
        await curio.sleep(MAX_CHANGE_DELAY_S)
        world.check([relay])
    relay.store.is_silent = False
    relay.is_deaf = False
    await curio.sleep(2 * MAX_CHANGE_DELAY_S)
    world.check()


async def followers_without_the_store(world):
    for each in world.fleet.instances:
        each.store.is_silent = each not in world.fleet.relays
    await version_below_a_passed_revision(world)


async def instance_starts_during_the_outage(world):
    instance = world.fleet.instances[5]
    copy = world.store.copy()
    await world.writers.publish()
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    passed = world.store.revision
    await instance.kill()
    await world.go_away(0.5)
    await instance.start()
    await world.go_away(1)
    assert instance.log.is_loaded
    await world.come_back(copy)
    await world.writers.publish()
    await write_all_again(world, passed)
    await curio.sleep(RESTORED_S)
    world.check()


async def answer_of_the_era_before_is_late(world):
    """Answers with lost changes are held up until the store is back."""
    late = world.fleet.relays[:2]
    copy = world.store.copy()
    await world.writers.publish()
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    for each in late:
        each.store.is_held = True
    await world.writers.write_leaf('lost')
    await world.writers.publish()
    world.writers.living.discard('lost')
    world.writers.removed_at['lost'] = now()
    passed = world.store.revision
    await curio.sleep(0.1)
    await world.go_away(0.5)
    await world.come_back(copy)
    await write_all_again(world, passed)
    await curio.sleep(0.3)
    for each in late:
        each.store.is_held = False
    await curio.sleep(NOT_AGAIN_S + DELAYS_S)
    world.check()


async def two_drills(world):
    for _ in range(2):
        passed = await drill(world)
        await write_all_again(world, passed)
        await curio.sleep(RESTORED_S)
        world.check()


async def second_drill_before_leafs_wrote_again(world):
    """Let the leafs register again within 2 s of the second return alone."""
    copy = world.store.copy()
    await drill(world)
    await curio.sleep(0.6)
    passed = world.store.revision + 20
    await world.go_away(0.8)
    await world.come_back(copy)
    await world.writers.pass_revision(passed)
    await world.writers.write_again(REGISTERS_AGAIN_AFTER_S)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def relay_is_cut_after_the_return(world):
    """Cut it from the store before the leafs have registered again."""
    passed = await drill(world)
    await curio.sleep(1.5)
    world.fleet.relays[0].store.is_silent = True
    await write_all_again(world, passed)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def leafs_register_late_while_a_relay_is_cut(world):
    """Let followers ask the cut relay just when the leafs register."""
    relay = world.fleet.relays[0]
    relay.is_cut = True
    relay.store.is_silent = True
    passed = await drill(world)
    await curio.sleep(REGISTERS_AGAIN_AFTER_S)
    await write_all_again(world, passed)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check([relay])


async def outage_after_the_return(world):
    """Let the store be away again before the leafs have registered again."""
    passed = await drill(world)
    await curio.sleep(0.8)
    await world.go_away(3)
    world.store.is_away = False
    await write_all_again(world, passed)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


async def all_relays_are_killed(world):
    relays = world.fleet.relays
    passed = await drill(world)
    for each in relays:
        await each.kill()
    await world.writers.publish()
    await write_all_again(world, passed)
    await curio.sleep(RESTORED_S + 2)
    world.check()
    for each in relays:
        await each.start()
    await curio.sleep(MAX_CHANGE_DELAY_S)
    world.check()


SCENARIOS = (
    version_below_a_passed_revision,
    leaf_added_below_a_passed_revision,
    leaf_removed_below_a_passed_revision,
    removed_leaf_is_in_the_copy,
    leaf_is_not_written_again,
    leafs_are_written_again_late,
    evacuations_are_ordered_again_late,
    relay_without_the_store,
    relay_in_an_earlier_era,
    followers_without_the_store,
    instance_starts_during_the_outage,
    answer_of_the_era_before_is_late,
    two_drills,
    second_drill_before_leafs_wrote_again,
    relay_is_cut_after_the_return,
    leafs_register_late_while_a_relay_is_cut,
    outage_after_the_return,
    all_relays_are_killed,
)


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('scenario', SCENARIOS)
def test_fleet_follows_the_restored_store(scenario, size):
    play(scenario, size, seed=size)


@pytest.mark.parametrize('seed', range(100, 106))
def test_relay_without_the_store_hears_of_the_return_in_time(seed):
    """It must not wait for the silent store before it reads from others."""
    play(relay_without_the_store, seed=seed)


@pytest.mark.parametrize('away_s', [0.3, 1.0, 3.0])
@pytest.mark.parametrize('seed', range(8))
def test_leaf_that_is_not_written_again_goes_in_time(seed, away_s):
    """A long watch of the store must not delay the end of its grace."""

    async def scenario(world):
        await leaf_is_not_written_again(world, away_s)

    play(scenario, seed=seed)


@pytest.mark.parametrize('scenario', SCENARIOS)
def test_scenario_fails_if_the_store_states_no_era(scenario):
    with pytest.raises(AssertionError):
        play(scenario, era=None)


async def every_relay_registers_again_once(world, away_s=1.0):
    copy = world.store.copy()
    await world.writers.publish()
    await world.writers.pass_revision(world.store.revision + 20)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    relays = world.fleet.relays
    await world.go_away(away_s)
    await world.come_back(copy)
    await world.writers.write_again(0)
    await curio.sleep(RESTORED_S)
    keys = [each.key for each in world.registrations_since(copy)]
    assert sorted(keys) == [f'{KEY_PREFIX}dc-{each}' for each in range(3)]
    for _ in range(10):
        await curio.sleep(0.5)
        known = {
            each.number: sorted(each.directory.records_by_data_centre)
            for each in world.fleet.instances
        }
        assert {len(each) for each in known.values()} == {3}, known
        assert world.fleet.relays == relays


@pytest.mark.parametrize('size', SIZES)
@pytest.mark.parametrize('seed', range(4))
def test_every_relay_registers_again_once(size, seed):
    """All instances go on knowing the relays that have registered again."""
    play(every_relay_registers_again_once, size, seed)


@pytest.mark.parametrize('away_s', [3.0, 8.0, 12.0])
@pytest.mark.parametrize('seed', range(300, 312))
def test_failures_of_an_outage_delay_no_new_registration(seed, away_s):
    """The renewals that failed in it say nothing about the restored store."""

    async def scenario(world):
        await every_relay_registers_again_once(world, away_s)

    play(scenario, seed=seed)


@pytest.mark.parametrize('away_s', [0.3, 1.0, 3.0, 8.0])
@pytest.mark.parametrize('size', [7, 200])
def test_return_of_the_store_costs_few_calls(size, away_s):
    async def scenario(world):
        passed = await drill(world, away_s)
        await world.writers.pass_revision(passed + 5)
        for _ in range(4):
            writes, calls = world.fleet.writes, world.fleet.calls
            await curio.sleep(1)
            writes = world.fleet.writes - writes
            reads = world.fleet.calls - calls - writes
            most_writes, most_reads = WRITES_AND_READS_PER_S[size]
            assert writes < most_writes / 2
            assert reads < most_reads / 2

    play(scenario, size)


def test_store_without_era_is_followed_as_before():
    """Changes, outages and lost histories must not need an era."""

    async def scenario(world):
        for _ in range(2):
            await world.writers.publish()
            await world.writers.remove_leaf('a')
            await world.writers.write_leaf('new')
            await curio.sleep(MAX_CHANGE_DELAY_S)
            world.check()
            await world.go_away(2)
            await world.writers.write_leaf('a')
            await world.writers.publish()
            world.store.compact()
            world.store.is_away = False
            await curio.sleep(MAX_CHANGE_DELAY_S)
            world.check()
        eras = {each.log.position.era for each in world.fleet.instances}
        assert eras == {None}

    play(scenario, era=None)


@pytest.mark.parametrize('seed', range(4))
def test_relay_of_the_release_before_is_no_obstacle_once_it_is_gone(seed):
    """Its followers can't hear of the era from it, but from its successor."""

    async def scenario(world):
        old = world.fleet.relays[seed % 3]
        await old.kill()
        old.store.knows_no_era = True
        await old.start()
        await curio.sleep(15)
        passed = await drill(world)
        await world.writers.publish()
        await write_all_again(world, passed)
        await curio.sleep(MAX_CHANGE_DELAY_S)
        assert not world.observer.problems
        await old.kill()
        await curio.sleep(2 * MAX_CHANGE_DELAY_S)
        world.check()

    play(scenario, 21, seed)


@pytest.mark.parametrize(
    'size, seed, away_s',
    [(7, 11, 0.3), (21, 2, 0.3), (21, 5, 1.0), (21, 11, 0.3)],
)
def test_relays_of_the_release_before_leave_nothing_behind(size, seed, away_s):
    """A follower must not take a revision of the era before for a later one.

    An old relay continues the changes of one era with those of the next. Once
    its followers hear the era from others, they know no era of their own.
    """

    async def scenario(world):
        old_relays = []
        for number in range(2):
            old = world.fleet.relays[(seed + number) % 3]
            if old not in old_relays:
                await old.kill()
                old.store.knows_no_era = True
                await old.start()
                old_relays.append(old)
                await curio.sleep(15)
        passed = await drill(world, away_s)
        await world.writers.publish()
        await write_all_again(world, passed)
        await curio.sleep(2 * MAX_CHANGE_DELAY_S)
        for old in old_relays:
            await old.kill()
        await curio.sleep(2 * MAX_CHANGE_DELAY_S)
        world.check()

    play(scenario, size, seed)
