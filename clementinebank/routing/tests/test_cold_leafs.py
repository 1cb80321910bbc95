"""Guards cold leafs against more requests in one second than they tolerate.

The bound holds over all instances, also while the coordinator dies or an
instance is cut off; hedges and probes never go to a cold leaf, an answer that
says nothing about it doesn't end it, and one instance's late knowledge doesn't
end what another knows better.
"""

import curio
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.forwarding.tests.simulation import make_simulation
from clementinebank.ratelimit import LimitTable, NamedLimit
from clementinebank.ratelimit.tests.simulation import Fleet
from clementinebank.routing import COLD_KEY_PREFIX, Router
from clementinebank.routing import _rate_limits as limits_module
from clementinebank.routing._replicas import COLD_RATE_SHARE

NOW = 1000.0
LEAF = 's0-0@1'
KEY = COLD_KEY_PREFIX + LEAF
COLD_PER_S = 20.0
EXCESS = 1.5
SLACK = 5
WARMUP_S = 3.0


def make_router(seed=1):
    router = make_simulation(seed=seed).router
    router.cold_rates_by_group = {'s0': COLD_PER_S}
    router.limits.share_of = lambda key: 0.1
    return router


def run_cold_fleet(trouble=None, size=20):
    """Return the greatest count of arrivals in one second, and their sum."""

    async def run():
        per_s = COLD_RATE_SHARE * COLD_PER_S
        fleet = Fleet(size, (40.0,) * size, per_s)
        for instance in fleet.instances:
            instance.table.on_named(
                fleet.leaf_ids[0], NamedLimit(per_s), now(), now()
            )
        await fleet.start()
        if trouble is not None:
            await curio.spawn(trouble, fleet, daemon=True)
        await curio.sleep(10)
        arrivals = fleet.arrivals
        return max(
            sum(begin <= each < begin + 1 for each in arrivals)
            for begin in arrivals
        ), len(arrivals)

    with FakeClockKernel() as kernel:
        return kernel.run(run)


async def _kill_coordinator(fleet):
    await curio.sleep(3)
    fleet.instances[0].is_dead = True
    await curio.sleep(3)
    fleet.instances[0].restart()
    fleet.instances[0].table.on_named(
        fleet.leaf_ids[0], NamedLimit(fleet.per_s), now(), now()
    )


async def _cut_instance(fleet):
    await curio.sleep(3)
    fleet.instances[1].is_cut = True
    await curio.sleep(3)
    fleet.instances[1].is_cut = False


@pytest.mark.parametrize('trouble', [None, _kill_coordinator, _cut_instance])
def test_fleet_keeps_the_bound_in_every_second(trouble):
    greatest, total = run_cold_fleet(trouble)
    assert greatest <= COLD_PER_S * EXCESS + SLACK
    # The leaf warms up with requests, so it must get some.
    assert total > 3 * COLD_PER_S


def test_fleet_without_a_limiter_is_caught(monkeypatch):
    monkeypatch.setattr(LimitTable, 'may_send', lambda *_: True)
    greatest, _ = run_cold_fleet()
    assert greatest > COLD_PER_S * EXCESS + SLACK


def check_hedges_and_probes_never_go_to_a_cold_leaf():
    router = make_router()
    router.set_cold(LEAF, WARMUP_S, NOW)
    now_s = NOW + 1
    for _ in range(50):
        assert router.choose('s0', now_s, is_extra=True) != LEAF
    assert router.is_limited(LEAF, now_s)


def check_requests_spend_tokens_of_the_cold_leaf():
    router = make_router()
    router.set_cold(LEAF, WARMUP_S, NOW)
    sent = 0
    for number in range(100):
        at = NOW + number / 100
        if router.choose('s0', at, ('s0-1@1', 's0-2@1')) == LEAF:
            router.on_sent(LEAF, at)
            sent += 1
    # A tenth of the granted rate, which is the share of this instance.
    assert 0 < sent <= 0.1 * COLD_PER_S + 1


def check_answer_without_a_statement_ends_nothing():
    router = make_router()
    router.set_cold(LEAF, WARMUP_S, NOW)
    router.on_named_limit(LEAF, NamedLimit(None), NOW + 1, 0.01)
    assert router.limits.limit_of(KEY)


def check_leaf_starts_slowly_when_it_is_warm():
    router = make_router()
    router.set_cold(LEAF, WARMUP_S, NOW)
    at = NOW + WARMUP_S + 0.1
    chosen = [router.choose('s0', at) for _ in range(300)]
    assert not router.limits.limited_count
    assert 0 < chosen.count(LEAF) < 60


def check_leaf_may_turn_cold_again():
    router = make_router()
    router.set_cold(LEAF, WARMUP_S, NOW)
    router.set_cold(LEAF, 0, NOW + 1)
    assert not router.is_limited(LEAF, NOW + 1)
    router.set_cold(LEAF, WARMUP_S, NOW + 2)
    assert router.is_limited(LEAF, NOW + 2 + 0.9 * WARMUP_S)


def check_other_instances_hear_of_it():
    first, second = make_router(), make_router(seed=2)
    first.set_cold(LEAF, WARMUP_S, NOW)
    second.merge_limits(first.limits.recent_statements(NOW), NOW)
    assert second.is_limited(LEAF, NOW + 1)
    # It counts as warm some time after the last news at the latest.
    end = NOW + limits_module.HEARD_COLD_S + 0.1
    assert not second.is_limited(LEAF, end)


def check_late_end_of_another_instance_ends_nothing():
    first, second = make_router(), make_router(seed=2)
    first.set_cold(LEAF, WARMUP_S, NOW)
    second.set_cold(LEAF, WARMUP_S, NOW + 2)
    first.end_cold(LEAF, NOW + WARMUP_S)
    statements = first.limits.recent_statements(NOW + WARMUP_S)
    second.merge_limits(statements, NOW + WARMUP_S)
    assert second.is_limited(LEAF, NOW + WARMUP_S + 1)
    assert second.limits.limit_of(KEY)


def check_group_without_a_bound_has_no_limit():
    router = make_router()
    router.cold_rates_by_group = {'s1': COLD_PER_S}
    router.set_cold(LEAF, WARMUP_S, NOW)
    assert not router.is_limited(LEAF, NOW)
    assert not router.limits.limited_count


def check_leaf_that_is_gone_is_forgotten():
    router = make_router()
    router.set_cold(LEAF, WARMUP_S, NOW)
    service = router.service
    service.groups_by_id['s0'].leafs_by_id.pop(LEAF)
    router.update_service(service, NOW, {}, 8)
    assert not router.cold_until_by_leaf
    assert not router.limits.limits_by_leaf


CHECKS = [each for name, each in globals().items() if name.startswith('check_')]


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
def test_cold_leafs(check):
    check()


def _forget_coldness(router, leaf_id, now_s):
    return leaf_id


BROKEN = {
    check_hedges_and_probes_never_go_to_a_cold_leaf: (
        Router,
        'is_limited',
        lambda *_: False,
    ),
    check_requests_spend_tokens_of_the_cold_leaf: (
        Router,
        'limit_key',
        _forget_coldness,
    ),
    check_answer_without_a_statement_ends_nothing: (
        'clementinebank.routing._replicas.COLD_KEY_PREFIX',
        '',
    ),
    check_leaf_starts_slowly_when_it_is_warm: (
        Router,
        '_start_slowly',
        lambda *_: None,
    ),
    check_other_instances_hear_of_it: (
        Router,
        '_on_heard_cold',
        lambda *_: None,
    ),
    check_late_end_of_another_instance_ends_nothing: (
        Router,
        '_on_heard_warm',
        Router.end_cold,
    ),
    check_leaf_that_is_gone_is_forgotten: (
        Router,
        '_retain_limits',
        lambda *_: None,
    ),
}


@pytest.mark.parametrize(
    ('check', 'broken'), BROKEN.items(), ids=lambda each: str(each)[:60]
)
def test_broken_variant_is_caught(check, broken, monkeypatch):
    monkeypatch.setattr(*broken)
    with pytest.raises(AssertionError):
        check()
