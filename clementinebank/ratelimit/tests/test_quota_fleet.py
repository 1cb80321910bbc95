"""Guards quotas against the sum over all instances.

Requests of an account arrive at any instance, its demand moves between them
within a second, and instances, coordinators and links fail. In each case no
window may have more requests than the quota tolerates, and an account within
its quota must hardly be refused.
"""

import curio
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.ratelimit import Quota
from clementinebank.ratelimit.tests.quota_simulation import (
    ACCOUNT,
    WINDOW_S,
    QuotaFleet,
)

DURATION_S = 20.0
FAULT_S = 8.0
SETTLING_S = 0.5


def run_fleet(size, quota, per_s, fault=None, targets=None, seed=1):
    """Run a fleet with a demand, and with a fault in the middle of it."""

    async def run():
        fleet = QuotaFleet(size, quota, seed)
        await fleet.start()
        await curio.sleep(SETTLING_S)
        sending = await curio.spawn(
            fleet.send, per_s, DURATION_S, fleet.instances[:targets]
        )
        if fault is not None:
            await curio.sleep(FAULT_S)
            await fault(fleet)
        await sending.join()
        return fleet

    with FakeClockKernel() as kernel:
        return kernel.run(run)


SMALL = Quota(0.5, 1)
MIDDLE = Quota(5, 5)
LARGE = Quota(20, 20)


@pytest.mark.parametrize('size', [1, 7, 62])
@pytest.mark.parametrize(
    ('quota', 'per_s'),
    [(SMALL, 5), (MIDDLE, 24), (LARGE, 94), (Quota(5), 30)],
)
def test_demand_beyond_the_quota_is_kept_to_it(size, quota, per_s):
    fleet = run_fleet(size, quota, per_s)
    assert fleet.greatest_excess() <= 0
    assert len(fleet.admitted) >= 0.9 * fleet.owed()
    # Refusals are early: their requests waited for one or two answers at most.
    assert max(fleet.waits) < 0.05


@pytest.mark.parametrize('size', [1, 7, 62])
@pytest.mark.parametrize(('quota', 'per_s'), [(MIDDLE, 3), (LARGE, 12)])
def test_demand_within_the_quota_is_not_refused(size, quota, per_s):
    fleet = run_fleet(size, quota, per_s)
    assert len(fleet.refused) <= 0.03 * len(fleet.sent)


def test_scarce_requests_of_a_quiet_account_do_not_wait():
    fleet = run_fleet(62, LARGE, 6)
    assert not fleet.refused
    assert sum(wait > 0 for wait in fleet.waits) <= 0.03 * len(fleet.waits)


def test_tokens_follow_the_demand_to_other_instances():
    async def run():
        fleet = QuotaFleet(62, LARGE)
        await fleet.start()
        for second in range(int(DURATION_S)):
            targets = fleet.instances[3 * second + 1 : 3 * second + 4]
            await fleet.send(12, 1, targets)
        return fleet

    with FakeClockKernel() as kernel:
        fleet = kernel.run(run)
    assert fleet.greatest_excess() <= 0
    assert len(fleet.refused) <= 0.03 * len(fleet.sent)


async def kill_coordinator(fleet):
    """Kill it; another instance takes its place after three seconds."""
    fleet.instances[0].is_dead = True
    await curio.sleep(3)
    fleet.coordinator_number = 1


async def restart_coordinator(fleet):
    fleet.instances[0].is_dead = True
    await curio.sleep(2)
    fleet.instances[0].restart()


async def cut_coordinator(fleet):
    """Cut it off from all instances, but not from callers and leafs."""
    fleet.instances[0].cut()
    await curio.sleep(6)
    fleet.instances[0].is_cut = False


async def cut_followers(fleet):
    cut = fleet.instances[1 : fleet.size // 5 + 2]
    for instance in cut:
        instance.cut()
    await curio.sleep(6)
    for instance in cut:
        instance.is_cut = False


async def lose_followers(fleet):
    for instance in fleet.instances[1 : fleet.size // 2]:
        instance.is_dead = True


async def restart_all(fleet):
    for instance in fleet.instances:
        instance.restart()


async def lose_all_coordinators(fleet):
    fleet.coordinator_number = None


FAULTS = (
    kill_coordinator,
    restart_coordinator,
    cut_coordinator,
    cut_followers,
    lose_followers,
    restart_all,
    lose_all_coordinators,
)


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize('size', [7, 62])
@pytest.mark.parametrize(('quota', 'per_s'), [(MIDDLE, 24), (LARGE, 94)])
def test_faults_do_not_exceed_the_quota(fault, size, quota, per_s):
    fleet = run_fleet(size, quota, per_s, fault)
    assert fleet.greatest_excess() <= 0


@pytest.mark.parametrize(
    'fault', [kill_coordinator, restart_coordinator, cut_followers, restart_all]
)
def test_faults_refuse_few_requests_within_the_quota(fault):
    fleet = run_fleet(62, LARGE, 12, fault)
    assert len(fleet.refused) <= 0.06 * len(fleet.sent)


def test_lowered_quota_binds_after_a_window():
    lowered = Quota(2, 2)

    async def run():
        fleet = QuotaFleet(62, LARGE)
        await fleet.start()
        await fleet.send(18, FAULT_S)
        fleet.quota = lowered
        await fleet.send(18, WINDOW_S)
        fleet.admitted.clear()
        await fleet.send(18, DURATION_S)
        return fleet

    with FakeClockKernel() as kernel:
        fleet = kernel.run(run)
    assert fleet.greatest_excess(lowered) <= 0
    assert len(fleet.admitted) >= 0.9 * lowered.rate_per_s * DURATION_S


def test_callers_that_repeat_at_once_do_not_exceed_the_quota():
    async def run():
        fleet = QuotaFleet(62, MIDDLE)
        await fleet.start()
        end = now() + DURATION_S

        async def insist(instance):
            while now() < end:
                await instance.request()
                await curio.sleep(0.01)

        for instance in fleet.instances[:20]:
            await curio.spawn(insist, instance, daemon=True)
        await curio.sleep(DURATION_S)
        return fleet

    with FakeClockKernel() as kernel:
        fleet = kernel.run(run)
    assert fleet.greatest_excess() <= 0
    assert len(fleet.admitted) >= 0.9 * MIDDLE.rate_per_s * DURATION_S


def test_state_grows_with_active_accounts_only():
    async def run():
        fleet = QuotaFleet(2, MIDDLE)
        await fleet.start()
        instances = fleet.instances
        for number in range(300):
            instance = instances[number % 2]
            assert await instance.client.admit(f'a{number}', MIDDLE) is None
        await curio.sleep(1)
        grown = [len(each.client.table.quotas_by_account) for each in instances]
        await curio.sleep(150)
        # Any request lets the coordinator clean up.
        await instances[1].client.admit(ACCOUNT, MIDDLE)
        await curio.sleep(1)
        ledger = fleet.coordinator.service.ledger
        left = [len(each.client.table.quotas_by_account) for each in instances]
        return grown, left, len(ledger.buckets_by_account)

    with FakeClockKernel() as kernel:
        grown, left, buckets = kernel.run(run)
    assert grown == [150, 150]
    assert left == [0, 1]
    assert buckets == 1
