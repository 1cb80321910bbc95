"""Guards the choice of leafs whose machines change their speed all the time.

A fresh statement must move requests away from a slow machine; one that is older
than the changes must not, and a wrong one must not remove a leaf for good.
"""

import random

import pytest

from clementinebank.forwarding.tests.simulation import make_simulation
from clementinebank.routing import CallOutcome, LeafState, Router
from clementinebank.routing import _leaf_costs as costs_module

NOW = 1000.0
SERVICE_S = 0.01
# Time after which the speed of every machine changes, in seconds.
CHANGE_S = 0.2
REQUESTS = 4000


def mean_service_s(interval_s, seed=1):
    """Return the mean service time of requests at an interval.

    Each of three machines takes 0.6 or 3 times as long as usual and states
    that with each answer.
    """
    rng = random.Random(seed)
    router = make_simulation(seed=seed).router
    total_s = 0
    for number in range(REQUESTS):
        now = NOW + number * interval_s
        leaf_id = router.choose('s0', now)
        period = f'{leaf_id}-{int(now / CHANGE_S)}-{seed}'
        slowness = random.Random(period).choice((0.6, 3.0))
        service_s = slowness * SERVICE_S * rng.uniform(0.8, 1.2)
        router.on_sent(leaf_id, now)
        router.on_end(leaf_id, now + service_s, SERVICE_S, CallOutcome.GOOD)
        router.leafs_by_id[leaf_id].on_slowness(now + service_s, slowness)
        total_s += service_s
    return total_s / REQUESTS


def check_fresh_statements_are_used():
    # Without them the mean is that of both speeds, 1.8 times the usual.
    assert mean_service_s(0.01) < 1.6 * SERVICE_S


def check_old_statements_are_not_used():
    # Statements that are older than the changes say nothing.
    router = make_simulation().router
    leaf_ids = list(router.service.groups_by_id['s0'].leafs_by_id)
    router.leafs_by_id[leaf_ids[0]].on_slowness(NOW, 4.0)
    chosen = [router.choose('s0', NOW) for _ in range(300)]
    assert leaf_ids[0] not in chosen
    later = set()
    for _ in leaf_ids:
        leaf_id = router.choose('s0', NOW + 2)
        later.add(leaf_id)
        router.on_sent(leaf_id, NOW + 2)
    assert leaf_ids[0] in later
    cost_s = router.leafs_by_id[leaf_ids[0]].slowness_cost_s(NOW + 2)
    assert cost_s < 0.001 * SERVICE_S


def check_wrong_statement_is_bounded():
    leaf = LeafState('a', service_s=SERVICE_S)
    leaf.on_slowness(NOW, 1e9)
    assert leaf.slowness_cost_s(NOW) <= 3 * SERVICE_S
    leaf.on_slowness(NOW, 0)
    assert leaf.cost_s + leaf.slowness_cost_s(NOW) >= SERVICE_S / 2


def check_leaf_that_states_nothing_costs_as_before():
    leaf = LeafState('a', service_s=SERVICE_S)
    assert leaf.slowness_cost_s(NOW) == 0
    leaf.on_slowness(NOW, 1.0)
    assert leaf.slowness_cost_s(NOW) == 0


CHECKS = [each for name, each in globals().items() if name.startswith('check_')]


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
def test_shared_machines(check):
    check()


BROKEN = {
    check_fresh_statements_are_used: (
        Router,
        '_expected_cost_s',
        lambda router, leaf, now: leaf.cost_s + leaf.unserved_penalty_s(now),
    ),
    check_old_statements_are_not_used: (
        costs_module,
        'SLOWNESS_HALF_LIFE_S',
        1e9,
    ),
    check_wrong_statement_is_bounded: (costs_module, 'MAX_SLOWNESS', 1e9),
}


@pytest.mark.parametrize(
    ('check', 'broken'), BROKEN.items(), ids=lambda each: str(each)[:60]
)
def test_broken_variant_is_caught(check, broken, monkeypatch):
    monkeypatch.setattr(*broken)
    with pytest.raises(AssertionError):
        check()
