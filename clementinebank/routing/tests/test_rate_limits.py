"""Guards leafs that name a rate limit against the choices of a router.

Requests beyond the limit must go to other replicas or wait, hedges and probes
must not use up what the leaf takes, and the end of a limit must not let all
requests return at once.
"""

import random

from clementinebank.ratelimit import NamedLimit, equal_share
from clementinebank.routing import CallOutcome, Router
from clementinebank.search.tests.simulation import make_service

NOW = 1000.0
LEAFS = ('g0-a', 'g0-b', 'g0-c')


def make_router(limited=('g0-a',), per_s=5.0, instance_count=1):
    router = Router(make_service(), random.Random(3))
    router.limits.share_of = equal_share(instance_count)
    for leaf_id in limited:
        router.on_named_limit(leaf_id, NamedLimit(per_s), NOW, 0.01)
    return router


def send_all(router, count, seconds):
    """Send requests at even times and return the counts by leaf."""
    chosen = []
    for number in range(count):
        now = NOW + seconds * number / count
        leaf_id = router.choose('g0', now)
        if leaf_id is not None:
            router.on_sent(leaf_id, now)
            router.on_end(leaf_id, now, 0.005, CallOutcome.GOOD)
        chosen.append(leaf_id)
    return {leaf_id: chosen.count(leaf_id) for leaf_id in (*LEAFS, None)}


def test_requests_beyond_the_limit_go_to_other_replicas():
    counts = send_all(make_router(), 1000, 10)
    assert 0 < counts['g0-a'] <= 5 * 10 + 5
    assert counts[None] == 0


def test_request_waits_if_all_replicas_are_limited():
    router = make_router(LEAFS)
    counts = send_all(router, 1000, 10)
    assert counts[None] > 800
    for leaf_id in LEAFS:
        assert counts[leaf_id] <= 5 * 10 + 5


def test_request_goes_to_an_ejected_leaf_if_the_others_are_limited():
    router = make_router(('g0-a', 'g0-b'), per_s=0.5)
    for leaf_id in ('g0-a', 'g0-b'):
        while router.limits.may_send(leaf_id, NOW):
            router.limits.on_sent(leaf_id, NOW, is_extra=False)
    for _ in range(3):
        router.on_sent('g0-c', NOW)
        router.on_end('g0-c', NOW, 0.001, CallOutcome.FAILED)
    assert router.leafs_by_id['g0-c'].is_ejected
    assert router.choose('g0', NOW) == 'g0-c'


def test_hedge_avoids_a_limited_leaf():
    router = make_router(('g0-a', 'g0-b'))
    later = NOW + 0.9
    assert router.limits.may_send('g0-a', later)
    for _ in range(50):
        assert router.choose('g0', later, is_extra=True) == 'g0-c'
    router = make_router(LEAFS)
    assert router.choose('g0', later, is_extra=True) is None


def test_limited_leaf_gets_no_probe():
    router = make_router()
    for _ in range(3):
        router.on_sent('g0-a', NOW)
        router.on_end('g0-a', NOW, 0.001, CallOutcome.FAILED)
    assert router.leafs_by_id['g0-a'].is_ejected
    assert router.probe_target('g0', NOW + 10) is None


def test_end_of_the_limit_starts_slowly():
    router = make_router(per_s=0.1)
    end = NOW + 20
    router.on_named_limit('g0-a', NamedLimit(None), end, 0.01)

    def share(now):
        chosen = [router.choose('g0', now) for _ in range(400)]
        return chosen.count('g0-a') / 400

    assert share(end + 0.1) < 0.1 < share(end + 5) < share(end + 12)


def test_wait_for_a_token_follows_the_income():
    router = make_router(LEAFS, per_s=2.0)
    assert router.token_wait_s('g0', NOW + 0.1) == 0
    assert router.token_wait_s('g0', NOW + 2) == 1 / 6
    router.add_waiting('g0', 5)
    assert router.token_wait_s('g0', NOW + 2) == 1
    router.on_named_limit('g0-a', NamedLimit(None), NOW + 3, 0.01)
    assert router.token_wait_s('g0', NOW + 3) == 0


def test_demand_of_a_waiting_request_is_counted_once():
    router = make_router(LEAFS)
    for leaf_id in LEAFS:
        router.limits.use_coordinator(leaf_id)
    assert router.choose('g0', NOW) is None
    router.add_waiting('g0', 1)
    for number in range(50):
        assert router.choose('g0', NOW + number / 500, is_repeated=True) is None
    wanted = router.limits.wanted_by_leaf(NOW + 0.1)
    assert sum(wanted.values()) == 1
    router.add_waiting('g0', -1)
    assert set(router.limits.wanted_by_leaf(NOW + 0.1).values()) == {0}
