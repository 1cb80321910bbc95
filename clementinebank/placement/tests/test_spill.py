"""Guards the decision to leave a data centre, under the loads it answers.

Work that leaves too early or too late costs callers their answers or the
operators their links; two busy data centres that send each other their work
cost both. Callers need what the fastest placement gives, within 0.02 of the
answers in time, and calls must stay at home while that serves them.
"""

import math
from statistics import fmean

import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.placement import (
    FASTEST,
    PLACEMENT_POLICIES,
    PRICED,
    GroupValue,
    PlacementOption,
    PlacementSettings,
    SpillPlacement,
    _spill,
    create_placement,
)
from clementinebank.placement.tests.zones import GROUP, Zone, ZoneSimulation

# Calls a second that three leafs of two slots serve.
CAPACITY_PER_S = 3 * 2 / 0.0638
MAX_LOSS_OF_CALLERS = 0.02
SEEDS = (1, 2, 3)
SETTINGS = PlacementSettings(PRICED, 0.005, 0.01)
AWAY = PlacementOption('away', 0.005, 0.07)


def steady(share):
    return lambda at_s: share * CAPACITY_PER_S


def wave(share, phase, swing=0.55, period_s=15):
    def rate(at_s):
        turns = at_s / period_s + phase
        return share * CAPACITY_PER_S * (1 + swing * math.sin(math.tau * turns))

    return rate


def simulate(*zones, policy=PRICED, **options):
    settings = PlacementSettings(policy, 0.005, 0.01)
    return ZoneSimulation(zones, settings, **options).run()


def assert_callers_are_served_as_by_the_fastest(*zones):
    """Compare the policies on the same requests; return the runs of seed 1."""
    priced = [simulate(*zones, seed=seed) for seed in SEEDS]
    fastest = [simulate(*zones, policy=FASTEST, seed=seed) for seed in SEEDS]
    assert mean_in_time(priced) >= mean_in_time(fastest) - MAX_LOSS_OF_CALLERS
    return priced[0], fastest[0]


def mean_in_time(simulations):
    return fmean(each.in_time() for each in simulations)


@pytest.mark.parametrize('share', [0.5, 0.8])
def test_calm_data_centres_keep_their_work(share):
    simulation = simulate(Zone(3, steady(share)), Zone(3, steady(share)))
    assert simulation.away_share(0) <= 0.05
    assert simulation.away_share(1) <= 0.05


def test_demand_above_the_own_leafs_leaves_and_no_more():
    priced, _ = assert_callers_are_served_as_by_the_fastest(
        Zone(3, steady(1.4)), Zone(3, steady(0.4))
    )
    # At least 0.4 of 1.4 has to leave, so that the rest can be served.
    assert 0.4 / 1.4 - 0.05 <= priced.away_share(0) <= 0.4 / 1.4 + 0.1
    assert priced.away_share(1) <= 0.05


def test_two_full_data_centres_do_not_exchange_their_work():
    zones = (Zone(3, steady(1.3)), Zone(3, steady(1.3)))
    simulation = simulate(*zones, duration_s=12)
    assert min(map(simulation.away_share, (0, 1))) <= 0.1


def test_exchange_of_full_data_centres_shows_without_the_loss_away(monkeypatch):
    monkeypatch.setattr(_spill, 'LOSS_AWAY_FACTOR', 1.0)
    zones = (Zone(3, steady(1.3)), Zone(3, steady(1.3)))
    simulation = simulate(*zones, duration_s=12)
    assert min(map(simulation.away_share, (0, 1))) > 0.1


def test_wave_whose_peaks_take_turns_is_shared_without_oscillation():
    zones = tuple(Zone(3, wave(0.8, number / 3)) for number in range(3))
    priced, fastest = assert_callers_are_served_as_by_the_fastest(*zones)
    left = sum(map(priced.away_share, range(3)))
    assert left <= 0.6 * sum(map(fastest.away_share, range(3)))
    for zone in range(3):
        shares = [share for _, each, share in priced.shares if each == zone]
        begun = sum(
            before == 0 < after
            for before, after in zip(shares, shares[1:], strict=False)
        )
        # Two waves in the time, and a few short peaks by chance.
        assert begun <= 8


def test_work_leaves_slow_leafs_at_home():
    assert_callers_are_served_as_by_the_fastest(
        Zone(3, steady(0.4), slowness=10), Zone(3, steady(0.4))
    )


def test_data_centre_with_few_leafs_keeps_them_busy():
    zones = (Zone(1, steady(0.5)), Zone(3, steady(0.5)), Zone(3, steady(0.5)))
    priced, fastest = assert_callers_are_served_as_by_the_fastest(*zones)
    assert priced.away_share(0) < fastest.away_share(0)


def test_data_centre_without_leafs_sends_all_of_its_work():
    simulation = simulate(Zone(0, steady(0.4)), Zone(3, steady(0.4)))
    assert simulation.away_share(0) == 1
    assert simulation.in_time(0) >= 0.98


def test_work_comes_back_when_the_peak_is_over():
    def peak(at_s):
        return (1.4 if at_s < 10 else 0.4) * CAPACITY_PER_S

    simulation = simulate(Zone(3, peak), Zone(3, steady(0.4)), duration_s=20)
    assert simulation.away_share(0, 4, 10) > 0.1
    assert simulation.away_share(0, 13, 20) <= 0.02


def test_flow_stays_within_what_the_decision_claims():
    simulation = simulate(Zone(3, steady(1.4)), Zone(3, steady(0.4)))
    claimed = sum(share for _, zone, share in simulation.shares if zone == 0)
    left = simulation.placements[0].away_count
    assert left <= claimed + _spill.MAX_CREDIT


def test_largest_share_of_the_operators_binds():
    settings = PlacementSettings(PRICED, 0.005, 0.01, max_away_share=0.1)
    zones = (Zone(3, steady(1.4)), Zone(3, steady(0.4)))
    simulation = ZoneSimulation(zones, settings, duration_s=10).run()
    assert simulation.away_share(0) <= 0.1 + 0.01


def test_share_moves_little_by_rare_calls_after_a_pause():
    async def scenario():
        placement = SpillPlacement(SETTINGS, {GROUP: GroupValue(0.3)})
        busy = PlacementOption('home', 0, 0.2)
        placement.permitted(GROUP, (busy, AWAY), now())
        return placement, busy

    with FakeClockKernel() as kernel:
        placement, busy = kernel.run(scenario)
    state = placement.states_by_group[GROUP]
    state.share, state.updated_at = 0, 0
    calm = PlacementOption('home', 0, 0.06)
    placement.permitted(GROUP, (calm, AWAY), 1000.0)
    assert state.share == 0
    placement.permitted(GROUP, (busy, AWAY), 2000.0)
    assert state.share <= 20 * _spill.MAX_STEP_S / _spill.RISE_TIME_S


def test_gain_within_the_hysteresis_keeps_the_share():
    state = _spill.SpillState(share=0.5, updated_at=0)
    state.update(-0.002, 0.005, 1)
    assert state.share == 0.5
    state.update(-0.003, 0.005, 2)
    assert state.share < 0.5


def test_shard_of_a_gathered_answer_leaves_for_a_larger_gain_only():
    busy = PlacementOption('home', 0, 0.1)
    whole = SpillPlacement(SETTINGS, {GROUP: GroupValue(0.3)})
    shard = SpillPlacement(SETTINGS, {GROUP: GroupValue(0.3, 2 / 36)})
    for placement in (whole, shard):
        for number in range(20):
            placement.permitted(GROUP, (busy, AWAY), number / 10)
    assert whole.states_by_group[GROUP].share > 0
    assert shard.states_by_group[GROUP].share == 0


def test_group_without_a_known_worth_is_not_held_back():
    placement = SpillPlacement(SETTINGS)
    options = (PlacementOption('home', 0, 0.1), AWAY)
    assert placement.permitted(GROUP, options, 0) == options
    placement.on_placed(GROUP, AWAY.price)
    assert not placement.states_by_group


def test_group_that_is_removed_is_forgotten():
    placement = SpillPlacement(SETTINGS, {GROUP: GroupValue()})
    placement.permitted(GROUP, (PlacementOption('home', 0, 1), AWAY), 0)
    placement.set_values({})
    assert not placement.states_by_group


@pytest.mark.parametrize('name', sorted(PLACEMENT_POLICIES))
def test_each_policy_is_created_by_its_name(name):
    placement = create_placement(PlacementSettings(name))
    assert (placement is None) == (name == FASTEST)
