"""Guards the choice of the route and of the service of a request.

A request goes astray if a shorter prefix, part of a path segment or another
host matches, or if a late older configuration replaces the newer one. A split
is uneven if the balancer ignores weights or evens them out too slowly.
"""

from unittest import mock

import curio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebank.clock import FakeClockKernel, now
from clementinebank.routes import (
    Route,
    RouteKind,
    RouteTable,
    RoutingConfiguration,
    ScatterGather,
    SplitBalancer,
    WeightedService,
)

PROPERTY_SETTINGS = settings(derandomize=True, database=None, deadline=None)


def make_route(prefix='/a/', host='h', services=('s',), weights=(), **changes):
    weights = weights or [1] * len(services)
    weighted_services = tuple(map(WeightedService, services, weights))
    options = {
        'timeout_s': 1,
        'objective_s': 0.1,
        'weighted_services': weighted_services,
        **changes,
    }
    return Route(prefix, host, prefix, RouteKind.SAFE, **options)


def make_table(version, *routes):
    table = RouteTable()
    assert table.activate(RoutingConfiguration(version, routes, {}))
    return table


@pytest.mark.parametrize(
    ('host', 'path', 'expected'),
    [
        ('h', '/a/x', '/a/'),
        ('h', '/a/b/x', '/a/b/'),
        ('H:8080', '/a/b/', '/a/b/'),
        ('h', '/a', None),
        ('h', '/ab/', None),
        ('other', '/a/x', None),
    ],
)
def test_longest_prefix_of_the_host_wins(host, path, expected):
    table = make_table(1, make_route('/a/'), make_route('/a/b/'))
    found = table.find(host, path)
    assert (found and found.prefix) == expected


def _activate_in_turn(versions):
    table = RouteTable()
    newest = 0
    for version in versions:
        is_active = table.activate(RoutingConfiguration(version, (), {}))
        assert is_active == (version > newest)
        newest = max(newest, version)
        assert table.version == newest


@PROPERTY_SETTINGS
@given(st.lists(st.integers(1, 9), max_size=20))
def test_version_only_rises(versions):
    _activate_in_turn(versions)


def test_time_of_activation_is_that_of_the_version_in_force():
    async def run():
        table = RouteTable()
        assert table.activated_at == float('-inf')
        for wait_s, version in ((1, 5), (2, 6), (4, 6), (8, 4)):
            await curio.sleep(wait_s)
            table.activate(RoutingConfiguration(version, (), {}))
        return now() - table.activated_at

    with FakeClockKernel() as kernel:
        assert kernel.run(run) == pytest.approx(12)


def test_table_that_reverts_is_caught():
    def revert(table, configuration):
        table.configuration = configuration
        return True

    with mock.patch.object(RouteTable, 'activate', revert):
        with pytest.raises(AssertionError):
            _activate_in_turn([2, 1])


def _check_shares(weights, count):
    services = [f's{number}' for number in range(len(weights))]
    route = make_route(services=services, weights=weights)
    balancer = SplitBalancer()
    chosen = [balancer.choose(route) for _ in range(count)]
    for service, weight in zip(services, weights, strict=True):
        share = count * weight / sum(weights)
        assert abs(chosen.count(service) - share) <= len(weights)


@PROPERTY_SETTINGS
@given(
    st.lists(st.integers(1, 20), min_size=1, max_size=4), st.integers(1, 300)
)
def test_split_keeps_its_weights_at_any_count(weights, count):
    _check_shares(weights, count)


def test_counts_of_a_split_end_with_its_configuration():
    """Each weight that a route ever had would be kept otherwise."""
    table = RouteTable()
    for version in range(1, 30):
        route = make_route(services=('s1', 's2'), weights=(version, 1))
        table.activate(RoutingConfiguration(version, (route,), {}))
        table.choose_services(route)
    assert len(table.balancer._credits_by_services) == 1


def test_split_that_ignores_weights_is_caught():
    ignore_weights = mock.patch.object(
        SplitBalancer,
        'choose',
        lambda self, route: route.weighted_services[0].service,
    )
    with ignore_weights, pytest.raises(AssertionError):
        _check_shares([1, 1], 100)


def test_gathering_asks_every_service():
    scatter_gather = ScatterGather(('s1', 's2'), 5, 0.5)
    route = make_route(scatter_gather=scatter_gather, weighted_services=())
    assert make_table(1, route).choose_services(route) == ('s1', 's2')
