"""Tests of how long a removed leaf stays known in a simulated fleet.

Finding DRAIN on Kumagawa: a follower stayed with a relay that the store had
cut off until its knowledge was 1.8 s old, and the grace period of a removed
leaf took 1.8 s more, so that leafs got requests up to 3.5 s after the removal
of their registration; the bound is 3 s. The grace period must still bridge an
outage of the store, in which registrations of running leafs expire.
"""

import random

import curio
import pytest

from clementinebank.relay.tests.simulation import MAX_CHANGE_DELAY_S
from clementinebank.relay.tests.test_fleet import (
    cut,
    cut_from_store,
    kill,
    run_scenario,
    turn_away,
)

KEY = 'servers/leaf'
# Time that a request needs to reach its leaf, with waits in the instance.
WAY_TO_LEAF_S = 0.3
# Time after the return of the store within which a leaf registers again.
REGISTERS_AGAIN_AFTER_S = 1.5
STEP_S = 0.02


def knows_leaf(instance):
    return 'leaf' in instance.leafs.records_by_id


async def last_known_s(fleet, exempt):
    """Return how long after now an instance still knows the leaf."""
    longest_s = 0
    for step in range(1, 1 + round(5 / STEP_S)):
        await curio.sleep(STEP_S)
        if any(
            knows_leaf(each) for each in fleet.instances if each not in exempt
        ):
            longest_s = step * STEP_S
    return longest_s


@pytest.mark.parametrize('fault', [turn_away, cut_from_store, cut, kill])
@pytest.mark.parametrize('count', [0, 1, 2, 3])
@pytest.mark.parametrize('seed', range(4))
def test_removed_leaf_is_forgotten_in_time_although_relays_fail(
    fault, count, seed
):
    """The ages along a chain of relays and the grace period add up."""

    async def scenario(fleet):
        await fleet.store.write(KEY, b'')
        rng = random.Random(seed)
        await curio.sleep(3 + rng.random())
        broken = rng.sample(fleet.relays, count)
        for instance in broken:
            await fault(instance)
        await curio.sleep(rng.uniform(0, 0.6))
        await fleet.store.write(KEY, None)
        known_s = await last_known_s(fleet, broken)
        assert known_s <= MAX_CHANGE_DELAY_S - WAY_TO_LEAF_S

    run_scenario(scenario, 21, seed)


@pytest.mark.parametrize('seed', range(6))
def test_relay_that_is_back_early_passes_removals_on_in_time(seed):
    """Its followers haven't left it yet when the store answers it again."""

    async def scenario(fleet):
        await fleet.store.write(KEY, b'')
        rng = random.Random(seed)
        await curio.sleep(3 + rng.random())
        relay = rng.choice(fleet.relays)
        await turn_away(relay)
        await curio.sleep(rng.uniform(0, 0.3))
        await fleet.store.write(KEY, None)
        await curio.spawn(give_back, relay, rng.uniform(0.8, 2.4), daemon=True)
        known_s = await last_known_s(fleet, [relay])
        assert known_s <= MAX_CHANGE_DELAY_S - WAY_TO_LEAF_S

    run_scenario(scenario, 21, seed)


async def give_back(instance, after_s):
    await curio.sleep(after_s)
    instance.store.refusal = ''


@pytest.mark.parametrize('held_s', [0.6, 1.0, 1.5, 2.0, 2.8])
@pytest.mark.parametrize('seed', range(6))
def test_answers_that_a_cut_holds_up_count_from_before_it(held_s, seed):
    """Guard a removal behind a change that was on its way for seconds.

    Fault of review/9: the change counted as fresh when it arrived, and the
    removal that followed it counted from then on.
    """

    async def scenario(fleet):
        await fleet.store.write(KEY, b'')
        rng = random.Random(seed)
        await curio.sleep(3 + rng.random())
        relays = list(fleet.relays)
        for instance in relays:
            instance.store.is_held = True
        await curio.spawn(release, relays, held_s, daemon=True)
        await curio.sleep(rng.uniform(0, 0.1))
        await fleet.store.write('servers/changing', b'')
        await curio.sleep(rng.uniform(0, 0.1))
        await fleet.store.write(KEY, None)
        known_s = await last_known_s(fleet, relays)
        assert known_s <= MAX_CHANGE_DELAY_S - WAY_TO_LEAF_S

    run_scenario(scenario, 21, seed)


async def release(instances, after_s):
    await curio.sleep(after_s)
    for instance in instances:
        instance.store.is_held = False


@pytest.mark.parametrize('is_silent', [False, True])
@pytest.mark.parametrize('seed', range(4))
def test_leaf_whose_registration_expires_in_an_outage_is_kept(is_silent, seed):
    """Leafs register again within about two seconds of the store's return."""

    async def scenario(fleet):
        await fleet.store.write(KEY, b'')
        rng = random.Random(seed)
        await curio.sleep(3 + rng.random())
        for instance in fleet.instances:
            instance.store.refusal = 'refused'
            instance.store.is_silent = is_silent
        await curio.sleep(rng.uniform(3.5, 8))
        await fleet.store.write(KEY, None)
        for instance in fleet.instances:
            instance.store.refusal = ''
            instance.store.is_silent = False
        for _ in range(round(REGISTERS_AGAIN_AFTER_S / STEP_S)):
            await curio.sleep(STEP_S)
            assert all(map(knows_leaf, fleet.instances))
        await fleet.store.write(KEY, b'')
        for _ in range(round(5 / STEP_S)):
            await curio.sleep(STEP_S)
            assert all(map(knows_leaf, fleet.instances))

    run_scenario(scenario, 21, seed)
