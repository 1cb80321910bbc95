"""Guards the limits that all instances of a fleet share.

Each instance gets a part of the burst of extra requests and of the connections
to a leaf. If a part is computed for a smaller fleet than there is, all
instances together exceed the limit of the service.
"""

from types import SimpleNamespace

import curio
import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.forwarding import (
    ExtraLoadLimits,
    FleetShares,
    ForwardingEngine,
    LinkDelays,
)
from clementinebank.forwarding.tests.simulation import (
    make_leaf_record,
    make_route,
)
from clementinebank.leafs import LeafDirectory
from clementinebank.routes import RouteTable, RoutingConfiguration

BURST = 194
SERVICE = 's0'


def make_engine(fleet_size):
    directory = LeafDirectory(3)
    directory.register(make_leaf_record(SERVICE, 0))
    return ForwardingEngine(
        SimpleNamespace(protocol=None),
        RouteTable(),
        directory,
        LinkDelays('dc-0', {'dc-0': 'r-0'}),
        ExtraLoadLimits(0.2, BURST),
        shares=FleetShares(fleet_size),
    )


@pytest.mark.parametrize('fleet_size', [8, 77, 190])
def test_burst_of_the_fleet_stays_within_the_limit_when_it_grows(fleet_size):
    async def run():
        engine = make_engine(fleet_size=4)
        await engine.update()
        engine.set_fleet(fleet_size, 0, is_aggregator=False)
        await engine.update()
        return engine.router.budgets_by_group[SERVICE]

    with FakeClockKernel() as kernel:
        budget = kernel.run(run)
    assert fleet_size * budget.capacity <= BURST
    assert budget.tokens <= budget.capacity


AGGREGATORS = 12


def make_aggregated_engine():
    """Return an engine whose only service is one of a scatter-gather route."""
    engine = make_engine(fleet_size=8)
    route = make_route(services=(SERVICE, 's1'))
    engine.table.activate(RoutingConfiguration(1, (route,), {SERVICE: 70}))
    return engine


@pytest.mark.parametrize('has_had_requests', [False, True])
def test_new_aggregator_starts_with_tokens_only_before_its_first_request(
    has_had_requests,
):
    """The fleet is counted, and aggregators are chosen, after the start."""

    async def run():
        engine = make_aggregated_engine()
        await engine.update()
        engine.set_fleet(77, AGGREGATORS, is_aggregator=False)
        await engine.update()
        budget = engine.router.budgets_by_group[SERVICE]
        if has_had_requests:
            budget.on_request()
        before = budget.tokens
        engine.set_fleet(77, AGGREGATORS, is_aggregator=True)
        await engine.update()
        return budget, before

    with FakeClockKernel() as kernel:
        budget, before = kernel.run(run)
    is_granted = budget.tokens > before
    assert is_granted != has_had_requests
    assert budget.tokens <= budget.capacity / 2 or has_had_requests


@pytest.mark.parametrize(
    ('size', 'aggregators', 'limit'), [(77, 12, 194), (195, 18, 430)]
)
def test_shares_of_a_fleet_with_aggregators_stay_within_the_limit(
    size, aggregators, limit
):
    def share(is_aggregator):
        return FleetShares(size, aggregators, is_aggregator).share_of(
            limit, is_aggregated=True
        )

    others = size - aggregators
    total = aggregators * share(True) + others * share(False)
    assert total == pytest.approx(limit)
    assert share(True) > 5 * share(False)
    # Calls to other services are made by every instance alike.
    equal = FleetShares(size, aggregators, True).share_of(
        limit, is_aggregated=False
    )
    assert equal == pytest.approx(limit / size)


def test_changed_limit_takes_saved_tokens_back():
    async def run():
        engine = make_engine(fleet_size=2)
        await engine.update()
        engine.set_limits(ExtraLoadLimits(0.2, 10))
        await curio.sleep(0)
        return engine.router.budgets_by_group[SERVICE]

    with FakeClockKernel() as kernel:
        budget = kernel.run(run)
    assert 2 * budget.tokens <= 10
