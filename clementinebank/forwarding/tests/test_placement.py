"""Guards the way from the operators' prices to the choice of leafs.

A price that doesn't reach the router, or a worth that is taken for the wrong
service, would send work away that is served at home; a hold that outlasts the
leafs at home would leave callers without an answer.
"""

import pytest

from clementinebank.forwarding._worth import values_of_services
from clementinebank.forwarding.tests.simulation import (
    make_route,
    make_simulation,
)
from clementinebank.placement import (
    PRICED,
    GroupValue,
    PlacementSettings,
    SpillPlacement,
)
from clementinebank.routes import RoutingConfiguration
from clementinebank.routing import CallOutcome

SETTINGS = PlacementSettings(PRICED, 0.005, 0.01)


def make_router(own_number=0):
    router = make_simulation(seed=3).router
    router.placement = SpillPlacement(SETTINGS, {'s0': GroupValue(0.2)})
    router.prices_by_leaf = {
        leaf_id: 0 if f'-{own_number}@' in leaf_id else 0.005
        for leaf_id in router.leafs_by_id
    }
    for leaf in router.leafs_by_id.values():
        leaf.cold_since = None
        leaf.set_capacity(2, 50)
    return router


def place(router, count, now=1000.0):
    placed = []
    for number in range(count):
        leaf_id = router.choose('s0', now + number * 0.01)
        if leaf_id is not None:
            router.on_sent(leaf_id, now + number * 0.01)
            placed.append(leaf_id)
    return placed


def test_calls_stay_at_home_while_they_are_served_there():
    router = make_router()
    for number in range(50):
        (leaf_id,) = place(router, 1, 1000 + number)
        assert leaf_id == 's0-0@1'
        router.on_end(leaf_id, 1000.5 + number, 0.01, CallOutcome.GOOD)
    assert router.placement.home_count == 50


def test_calls_leave_leafs_at_home_that_are_full():
    router = make_router()
    router.leafs_by_id['s0-0@1'].set_capacity(2, 3)
    placed = place(router, 8)
    assert placed.count('s0-0@1') == 3
    assert len(placed) == 8


def test_calls_leave_leafs_at_home_that_refuse():
    router = make_router()
    home = router.leafs_by_id['s0-0@1']
    for number in range(20):
        home.on_sent(1000 + number / 10)
        home.on_end(1000 + number / 10, 0.01, CallOutcome.REFUSED, 1)
    placed = []
    for number in range(60):
        at = 1002.5 + number / 20
        placed += place(router, 1, at)
        router.on_end(placed[-1], at + 0.01, 0.01, CallOutcome.GOOD)
    assert any(leaf_id != 's0-0@1' for leaf_id in placed[:20])


def test_only_usable_leafs_count_as_home():
    router = make_router()
    router.leafs_by_id['s0-0@1'].start_drain(1000)
    assert set(place(router, 5)) <= {'s0-1@1', 's0-2@1'}


@pytest.mark.parametrize(
    ('services', 'weight'), [(('s0',), 1), (('s0', 's1', 's2', 's3'), 0.5)]
)
def test_worth_of_a_service_follows_from_its_routes(services, weight):
    configuration = RoutingConfiguration(
        1, (make_route(services=services),), {}
    )
    value = values_of_services(configuration)['s0']
    assert value == GroupValue(0.2, weight)


def test_service_of_several_routes_counts_with_its_most_urgent_one():
    routes = (make_route(), make_route(services=('s0', 's1', 's2')))
    configuration = RoutingConfiguration(1, routes, {})
    assert values_of_services(configuration)['s0'] == GroupValue(0.2, 1)
    assert values_of_services(None) == {}
