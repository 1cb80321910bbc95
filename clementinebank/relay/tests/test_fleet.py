"""Tests of the distribution of changes through relays in a simulated fleet.

A change must reach every instance that can reach the store or another
instance within ``MAX_CHANGE_DELAY_S``. It is late if instances go on reading
from a relay that died, is cut off or is refused by the store. The number of
calls to the store must not grow with the number of instances, as it does if
each instance watches the store itself.
"""

import random

import curio
import pytest
from result import Ok

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay import KEY_PREFIX, ChangeBatch, Entry, RelayClient
from clementinebank.relay.tests.simulation import MAX_CHANGE_DELAY_S, Fleet

# Time for the instances of a new fleet to load and the relays to register.
START_UP_S = 12.0
# Time within which the fleet recovers after a fault has ended.
RECOVERY_S = 4.0


def run_scenario(scenario, size=7, seed=1):
    async def run():
        fleet = Fleet(size, seed)
        await fleet.store.write('op', b'v0')
        await fleet.start()
        await curio.sleep(START_UP_S)
        return await scenario(fleet)

    with FakeClockKernel() as kernel:
        return kernel.run(run)


async def assert_in_force(fleet, value, exempt=()):
    await fleet.store.write('op', value)
    await curio.sleep(MAX_CHANGE_DELAY_S)
    assert not fleet.numbers_without('op', value, exempt)


async def kill(instance):
    await instance.kill()


async def cut(instance):
    """Cut the instance off from the store and from all instances."""
    instance.is_cut = True
    instance.store.is_silent = True


async def cut_from_store(instance):
    instance.store.is_silent = True


async def turn_away(instance):
    """Let the store refuse every call of the instance."""
    instance.store.refusal = 'refused'


FAULTS = (kill, cut, cut_from_store, turn_away)


@pytest.mark.parametrize('size', [1, 2, 7, 60])
def test_one_relay_for_each_data_centre(size):
    async def scenario(fleet):
        data_centres = [each.registration.data_centre for each in fleet.relays]
        assert sorted(data_centres) == [
            f'dc-{number}' for number in range(min(3, size))
        ]
        await assert_in_force(fleet, b'v1')
        sizes = [each.directory.fleet_size(0) for each in fleet.instances]
        assert min(sizes) >= size

    run_scenario(scenario, size)


@pytest.mark.parametrize('interval_s', [0.2, 0.7, 0.95, 1.3, 1.7])
def test_followers_stay_with_relays_that_change_late_in_a_watch(interval_s):
    """A watch with a change confirms only the time at which it began."""

    async def scenario(fleet):
        followers = [
            each for each in fleet.instances if each not in fleet.relays
        ]
        calls = [each.store.calls for each in followers]
        for number in range(30):
            await fleet.store.write('op', b'%d' % number)
            await curio.sleep(interval_s)
            assert max(each.log.age_s(now()) for each in fleet.instances) <= (
                fleet.instances[0].feed.bounds.max_age_s
            )
        assert calls == [each.store.calls for each in followers]

    run_scenario(scenario, 21)


def test_feeds_name_the_source_of_their_entries():
    async def scenario(fleet):
        for instance in fleet.instances:
            is_relay = instance.registration.is_active_relay
            others = {str(each.address) for each in fleet.instances}
            others.discard(str(instance.address))
            source = instance.feed.source
            assert source == 'store' if is_relay else source in others

    run_scenario(scenario)


def test_feed_names_a_stale_relay_whose_changes_it_returns(monkeypatch):
    async def scenario(fleet):
        follower = next(
            each
            for each in fleet.instances
            if not each.registration.is_active_relay
        )
        stale = ChangeBatch((Entry('op', b'v1', 99),), 99, now() - 60)

        async def answer(*arguments):
            return Ok(stale)

        monkeypatch.setattr(RelayClient, 'wait_for_changes', answer)
        address = fleet.instances[0].address
        follower.feed.source = ''
        assert await follower.feed._watch_relay(address, 1) == Ok(stale)
        assert follower.feed.source == str(address)

    run_scenario(scenario)


def test_calls_to_the_store_do_not_grow_with_the_fleet():
    async def scenario(fleet):
        before = fleet.calls
        await curio.sleep(30)
        return fleet.calls - before

    assert run_scenario(scenario, 60) <= 1.2 * run_scenario(scenario, 6)


def test_start_of_a_large_fleet_makes_one_call_an_instance():
    async def scenario(fleet):
        return {
            each.store.calls
            for each in fleet.instances
            if each not in fleet.relays
        }

    assert run_scenario(scenario, 120) == {1}


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('count', [1, 2, 3])
@pytest.mark.parametrize('seed', range(4))
def test_change_is_in_force_although_relays_fail(fault, count, seed):
    """Relays fail between 0 and 2 s before the change."""

    async def scenario(fleet):
        rng = random.Random(seed)
        broken = rng.sample(fleet.relays, count)
        for instance in broken:
            await fault(instance)
        await curio.sleep(rng.uniform(0, 2))
        await assert_in_force(fleet, b'v1', broken)

    run_scenario(scenario, 12, seed)


@pytest.mark.parametrize('seed', range(6))
def test_fleet_catches_up_after_an_outage_of_the_store(seed):
    async def scenario(fleet):
        rng = random.Random(seed)
        for instance in fleet.instances:
            instance.store.is_silent = seed % 2 == 0
            instance.store.refusal = 'refused'
        await curio.sleep(rng.uniform(1, 9))
        calls = fleet.calls
        await fleet.store.write('op', b'v1')
        await curio.sleep(4)
        # Refused calls cost as much as others.
        assert fleet.calls - calls <= 4 * len(fleet.instances)
        for instance in fleet.instances:
            instance.store.is_silent = False
            instance.store.refusal = ''
        await curio.sleep(RECOVERY_S)
        assert not fleet.numbers_without('op', b'v1')

    run_scenario(scenario, 30, seed)


def test_instances_refused_by_the_store_read_changes_from_others():
    async def scenario(fleet):
        for instance in fleet.instances[:4]:
            instance.store.refusal = 'refused'
        await curio.sleep(RECOVERY_S)
        await assert_in_force(fleet, b'v1')

    run_scenario(scenario)


def test_relays_that_ask_each_other_do_not_enlarge_the_fleet():
    """Relays that the store refuses read from each other.

    If each counts the others as its followers, all instances divide the
    connections and the extra requests by a multiple of the fleet.
    """

    async def scenario(fleet):
        for instance in fleet.instances:
            instance.store.refusal = 'refused'
        await curio.sleep(4)
        for instance in fleet.instances:
            instance.store.refusal = ''
        for _ in range(20):
            await curio.sleep(0.5)
            records = fleet.instances[0].directory.records_by_data_centre
            shares = [each.fleet_share for each in records.values()]
            assert sum(shares) <= len(fleet.instances)

    run_scenario(scenario, 6)


@pytest.mark.parametrize('fault', [turn_away, cut_from_store])
@pytest.mark.parametrize('outage_s', [1.0, 3.0, 5.5])
def test_relay_without_the_store_learns_from_the_other_relays(fault, outage_s):
    """Fault: it asked the others only in a pause that it always slept through.

    A relay that the store reset for 5.5 s learned of nothing in that time.
    """

    async def scenario(fleet):
        relay = fleet.relays[0]
        await fault(relay)
        await curio.sleep(outage_s)
        for number in range(3):
            await assert_in_force(fleet, b'v%d' % number)

    run_scenario(scenario)


def test_every_instance_reloads_if_the_history_is_lost():
    async def scenario(fleet):
        for instance in fleet.instances:
            instance.is_cut = True
            instance.store.is_silent = True
        await fleet.store.write('op', b'v1')
        await fleet.store.write('op', None)
        fleet.store.compact()
        for instance in fleet.instances:
            instance.is_cut = False
            instance.store.is_silent = False
        await curio.sleep(RECOVERY_S + MAX_CHANGE_DELAY_S)
        assert not fleet.numbers_without('op', None)

    run_scenario(scenario)


def test_instance_that_starts_without_the_store_loads_from_a_relay():
    async def scenario(fleet):
        instance = fleet.instances[5]
        await instance.kill()
        instance.store.refusal = 'refused'
        await instance.start()
        await curio.sleep(0.2)
        assert instance.value_of('op') == b'v0'

    run_scenario(scenario)


def test_whole_fleet_restarts_while_old_registrations_are_stored():
    async def scenario(fleet):
        for instance in fleet.instances:
            await instance.kill()
        await curio.sleep(0.8)
        for instance in fleet.instances:
            await instance.start()
        await curio.sleep(0.3)
        assert not fleet.numbers_without('op', b'v0')
        await curio.sleep(RECOVERY_S)
        assert len(fleet.relays) == 3
        await assert_in_force(fleet, b'v1')

    run_scenario(scenario)


def test_revoked_registration_is_written_again():
    """The store can remove a registration without telling the relay."""

    async def scenario(fleet):
        for data_centre in range(3):
            await fleet.store.write(f'{KEY_PREFIX}dc-{data_centre}', None)
        await curio.sleep(RECOVERY_S)
        assert len(fleet.relays) == 3
        await assert_in_force(fleet, b'v1')

    run_scenario(scenario)


def test_relay_that_unregisters_is_replaced():
    async def scenario(fleet):
        relay = fleet.relays[0]
        await relay.registration.unregister()
        await relay.kill()
        await curio.sleep(RECOVERY_S)
        data_centre = relay.registration.data_centre
        successors = [
            each
            for each in fleet.relays
            if each.registration.data_centre == data_centre
        ]
        assert len(successors) == 1

    run_scenario(scenario)


def test_other_instances_register_if_all_seeds_are_gone():
    async def scenario(fleet):
        for instance in fleet.instances[:3]:
            await instance.kill()
        await curio.sleep(20)
        alive = fleet.instances[3:]
        assert (
            len([each for each in alive if each.registration.is_registered])
            == 3
        )
        before = fleet.calls
        await curio.sleep(10)
        # The watches of the three relays return about once a second each.
        assert fleet.calls - before < 50
        await assert_in_force(fleet, b'v1', fleet.instances[:3])

    run_scenario(scenario, 12)


def test_changes_in_quick_succession_are_read_in_batches():
    """Each return of a watch costs a call."""

    async def scenario(fleet):
        before = fleet.calls
        for number in range(30):
            await fleet.store.write('op', b'v%d' % number)
            await curio.sleep(0.1)
        return fleet.calls - before

    assert run_scenario(scenario) <= 3 * 10


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('dark', [(), (0,), (0, 1)])
def test_fleet_that_starts_before_the_store_loads_once_it_answers(dark, seed):
    """Instances that only wait for each other would not read the store."""

    async def run():
        fleet = Fleet(7, seed)
        await fleet.store.write('op', b'v0')
        for instance in fleet.instances:
            instance.store.refusal = 'refused'
            instance.is_cut = instance.number in dark
        await fleet.start()
        await curio.sleep(random.Random(seed).uniform(3, 5))
        for instance in fleet.instances:
            instance.store.refusal = ''
        await curio.sleep(1.2 if dark else 0.5)
        exempt = [fleet.instances[number] for number in dark]
        assert not fleet.numbers_without('op', b'v0', exempt)

    with FakeClockKernel() as kernel:
        kernel.run(run)


@pytest.mark.parametrize('outage_s', [2.0, 2.4, 3.0, 3.8])
def test_change_arrives_in_time_after_the_store_was_silent(
    outage_s,
):
    """The store never answers a watch that began while it was silent.

    Fault hunt-0ea8-7 on Blockwood: followers kept an old version until their
    watch of the silent store had timed out, after the store was back.
    """

    async def scenario(fleet):
        for instance in fleet.instances:
            instance.store.is_silent = True
        await curio.sleep(outage_s)
        await fleet.store.write('op', b'v1')
        for instance in fleet.instances:
            instance.store.is_silent = False
        await curio.sleep(RECOVERY_S)
        assert not fleet.numbers_without('op', b'v1')

    run_scenario(scenario)


def _aggregators(fleet, exempt=()):
    """Return the aggregators, which all instances must agree on."""
    known = {
        frozenset(each.aggregators)
        for each in fleet.instances
        if each not in exempt
    }
    assert len(known) == 1
    return {fleet.instances_by_address[address] for address in known.pop()}


def test_all_instances_know_the_same_few_aggregators():
    async def scenario(fleet):
        aggregators = _aggregators(fleet)
        # At least two in each data centre, the large ones first.
        assert len(aggregators) == 6
        large = {each for each in fleet.instances if each.cores == 2}
        assert aggregators <= large

    run_scenario(scenario, 36)


def test_small_fleet_has_no_aggregators():
    async def scenario(fleet):
        assert not _aggregators(fleet)

    run_scenario(scenario, 7)


@pytest.mark.parametrize('fault', (kill, cut))
def test_lost_aggregator_is_replaced(fault):
    async def scenario(fleet):
        lost = next(
            each for each in _aggregators(fleet) if each not in fleet.relays
        )
        await fault(lost)
        # The time after which a relay counts a follower as lost, and that
        # between two writes of a registration.
        await curio.sleep(18)
        aggregators = _aggregators(fleet, [lost])
        assert lost not in aggregators
        assert len(aggregators) == 6

    run_scenario(scenario, 36)


@pytest.mark.parametrize('fault', FAULTS)
def test_aggregators_stay_while_relays_fail(fault):
    """A new relay must not replace aggregators that it doesn't know yet."""

    async def scenario(fleet):
        before = _aggregators(fleet)
        broken = list(fleet.relays)
        for instance in broken:
            await fault(instance)
        for _ in range(40):
            await curio.sleep(0.5)
            for each in fleet.instances:
                if each not in broken:
                    known = {
                        fleet.instances_by_address[address]
                        for address in each.aggregators
                    }
                    assert before - known <= set(broken)

    run_scenario(scenario, 36)
