"""Guards requests that only some regions may run, and evacuations.

A request must not reach a leaf of another region, neither at first nor by a
retry or a hedge, also if its own regions can't serve it. A leaf of an evacuated
data centre must get nothing and must not be flooded when it may serve again.
"""

import pytest

from clementinebank.dispatch import Refuse, SendCall
from clementinebank.forwarding.tests.simulation import (
    SERVICES,
    make_leaf_response,
    make_refusal,
    make_route,
    make_simulation,
)
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.routing import Router

REGIONS_BY_NUMBER = {0: 'north', 1: 'south', 2: 'north'}


def start(regions, route=None, **options):
    simulation = make_simulation(route, **options)
    router = simulation.router
    router.regions_by_leaf = {
        leaf_id: REGIONS_BY_NUMBER[int(leaf_id.partition('@')[0][-1])]
        for leaf_id in router.leafs_by_id
    }
    return simulation.start(regions=regions)


def regions_called(simulation):
    return {
        simulation.router.regions_by_leaf[each.leaf_id]
        for each in simulation.sent
    }


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('services', [('s0',), SERVICES])
def test_first_call_hedge_and_retry_stay_in_the_regions(seed, services):
    simulation = start(
        frozenset(('north',)), make_route(services=services), seed=seed
    )
    simulation.advance(0.05)
    simulation.fail(simulation.first_outstanding())
    simulation.advance(0.02)
    assert len(simulation.sent) > len(services)
    assert regions_called(simulation) == {'north'}


@pytest.mark.parametrize('seed', range(20))
def test_refusals_of_all_home_leafs_send_nothing_elsewhere(seed):
    simulation = start(frozenset(('south',)), seed=seed)
    while simulation.outstanding:
        simulation.answer(simulation.first_outstanding(), make_refusal())
        simulation.advance(0.02)
    assert regions_called(simulation) == {'south'}


@pytest.mark.parametrize('regions', [frozenset(), frozenset(('west',))])
def test_request_that_no_region_may_run_is_refused_at_once(regions):
    simulation = start(regions)
    (ending,) = simulation.endings
    assert isinstance(ending, Refuse)
    assert ending.failure.status == 503
    assert not simulation.sent


def test_request_without_regions_may_run_anywhere():
    called = set()
    for seed in range(20):
        called |= regions_called(start(None, seed=seed))
    assert called == {'north', 'south'}


def test_invariant_catches_a_router_that_ignores_the_regions(monkeypatch):
    monkeypatch.setattr(Router, 'leafs_outside', lambda *_: set())
    name = 'request-stays-in-its-regions'
    before = VIOLATIONS_BY_NAME.pop(name, 0)
    for seed in range(20):
        start(frozenset(('south',)), seed=seed)
    assert VIOLATIONS_BY_NAME.pop(name, 0)
    assert not before


def test_evacuated_leaf_gets_nothing_and_returns_slowly():
    simulation = make_simulation()
    router = simulation.router
    evacuated = router.leafs_by_id['s0-0@1']
    evacuated.set_evacuated(simulation.now, is_evacuated=True)
    chosen = {router.choose('s0', simulation.now) for _ in range(200)}
    assert chosen == {'s0-1@1', 's0-2@1'}
    evacuated.set_evacuated(simulation.now, is_evacuated=False)
    returned = [router.choose('s0', simulation.now) for _ in range(400)]
    assert 0 < returned.count('s0-0@1') < 100


def test_running_request_sends_nothing_more_to_an_evacuated_leaf():
    simulation = make_simulation().start()
    (first,) = simulation.sent
    for leaf_id, leaf in simulation.router.leafs_by_id.items():
        if leaf_id != first.leaf_id:
            leaf.set_evacuated(simulation.now, is_evacuated=True)
    simulation.advance(0.1)
    assert simulation.sent == [first]
    simulation.answer(first.attempt_id, make_leaf_response(b'x' * 16))
    assert simulation.endings


def test_service_with_evacuated_leafs_only_is_refused_at_once():
    simulation = make_simulation()
    for leaf in simulation.router.leafs_by_id.values():
        leaf.set_evacuated(simulation.now, is_evacuated=True)
    simulation.start()
    assert isinstance(simulation.endings[0], Refuse)
    assert not any(isinstance(each, SendCall) for each in simulation.sent)
