"""Guards leafs that want nothing for a time against further requests.

Under load a leaf that turned a request away must get none until the time that
it has named is over, and no wave afterwards; a request that no leaf wants must
be refused at once with the time after which one does.
"""

from collections import deque

import pytest

from clementinebank.dispatch import Dispatcher, Finish, Refuse
from clementinebank.forwarding.tests.simulation import (
    OBJECTIVE_S,
    SERVICES,
    START_S,
    make_leaf_response,
    make_refusal,
    make_route,
    make_simulation,
)
from clementinebank.routing import CallOutcome, LeafState, Router

RETRY_AFTER_S = 3.0
# Requests that may reach the leaf before it wants some again.
ALLOWED = 2
LOAD_PER_S = 100
SERVICE_S = 0.02
# Long enough for the pause after a single refusal to be over.
REFUSED_AT = START_S - 0.1


def turn_away(router, leaf_id, now=REFUSED_AT, retry_after_s=RETRY_AFTER_S):
    router.on_turned_away(leaf_id, retry_after_s, now)
    router.on_sent(leaf_id, now)
    router.on_end(leaf_id, now, 0.01, CallOutcome.REFUSED)


def turn_all_away(router, group_id='s0', **options):
    for leaf_id in router.service.groups_by_id[group_id].leafs_by_id:
        turn_away(router, leaf_id, **options)


def sends_under_load(router, until_s):
    """Return the times of the sends to each leaf from the refusal on."""
    sent_at_by_leaf = {leaf_id: [] for leaf_id in router.leafs_by_id}
    running = deque()
    for number in range(int(until_s * LOAD_PER_S)):
        now = START_S + number / LOAD_PER_S
        while running and running[0][0] <= now - SERVICE_S:
            _, ended = running.popleft()
            router.on_end(ended, now, SERVICE_S, CallOutcome.GOOD)
        leaf_id = router.choose('s0', now)
        if leaf_id is not None:
            sent_at_by_leaf[leaf_id].append(now)
            router.on_sent(leaf_id, now)
            running.append((now, leaf_id))
    return sent_at_by_leaf


def check_leaf_gets_nothing_until_the_end_of_its_time():
    router = make_simulation(replicas=1).router
    turn_away(router, 's0-0@1')
    # A later answer with a shorter time doesn't open the leaf again.
    turn_away(router, 's0-0@1', START_S + 0.1, 0.2)
    sent = sends_under_load(router, 10 * RETRY_AFTER_S)
    early = [at for at in sent['s0-0@1'] if at < REFUSED_AT + RETRY_AFTER_S]
    assert len(early) <= ALLOWED
    assert sent['s0-0@1']


def check_end_of_the_time_brings_no_wave():
    router = make_simulation().router
    turn_all_away(router)
    now = START_S + 1.2 * RETRY_AFTER_S
    # Without a leaf that was always open, each begins with one request.
    chosen = []
    for _ in range(60):
        leaf_id = router.choose('s0', now)
        if leaf_id is not None:
            chosen.append(leaf_id)
            router.on_sent(leaf_id, now)
    assert 0 < len(chosen) <= 3 * 2


def check_instances_return_at_different_times():
    ends = set()
    for seed in range(10):
        router = make_simulation(seed=seed).router
        turn_away(router, 's0-0@1')
        ends.add(router.leafs_by_id['s0-0@1'].turned_away_until)
    assert len(ends) == 10
    assert min(ends) >= REFUSED_AT + RETRY_AFTER_S


def check_request_that_no_leaf_wants_is_refused_at_once():
    simulation = make_simulation()
    turn_all_away(simulation.router)
    simulation.start()
    assert len(simulation.endings) == 1
    ending = simulation.endings[0]
    assert isinstance(ending, Refuse)
    assert ending.failure.status == 503
    assert 0 < ending.failure.retry_after_s <= RETRY_AFTER_S
    assert not simulation.sent


def check_shard_that_wants_nothing_is_left_out():
    simulation = make_simulation(make_route(services=SERVICES))
    turn_all_away(simulation.router)
    simulation.start()
    for attempt_id in list(simulation.outstanding):
        simulation.answer(attempt_id, make_leaf_response(b'x' * 16))
    assert len(simulation.endings) == 1
    ending = simulation.endings[0]
    assert isinstance(ending, Finish)
    assert ending.answer.missing == 1
    assert 's0' not in {each.group_id for each in simulation.sent}


def check_too_few_shards_send_nothing():
    simulation = make_simulation(make_route(services=SERVICES))
    for service in SERVICES[:2]:
        turn_all_away(simulation.router, service)
    simulation.start()
    assert len(simulation.endings) == 1
    ending = simulation.endings[0]
    assert isinstance(ending, Refuse)
    assert ending.failure.retry_after_s > 0
    assert not simulation.sent


def check_short_time_is_waited_for():
    simulation = make_simulation()
    wait_s = 0.05 * OBJECTIVE_S
    turn_all_away(simulation.router, now=START_S, retry_after_s=wait_s)
    simulation.start()
    assert not simulation.endings
    simulation.advance(2 * wait_s)
    assert len(simulation.sent) == 1


def check_refused_request_tries_another_leaf_only():
    for seed in range(20):
        route = make_route(services=SERVICES)
        simulation = make_simulation(route, replicas=2, seed=seed).start()
        first = simulation.sent[0]
        simulation.router.on_turned_away(
            first.leaf_id, RETRY_AFTER_S, simulation.now
        )
        while not simulation.endings:
            for attempt_id in list(simulation.outstanding):
                simulation.answer(attempt_id, make_refusal())
            simulation.advance(0.01)
        later = {each.leaf_id for each in simulation.sent[1:]}
        assert later
        assert first.leaf_id not in later
        router = simulation.router
        assert router.choose('s0', simulation.now, later) is None


CHECKS = [each for name, each in globals().items() if name.startswith('check_')]


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
def test_refusing_leafs(check):
    check()


def _forget_earlier_time(leaf, now, duration_s):
    leaf.turned_away_until = now + duration_s


def _always_open(leaf, now):
    return False


def _without_slow_start(leaf, now, duration_s):
    leaf.turned_away_until = max(leaf.turned_away_until, now + duration_s)
    leaf.limit = 8


BROKEN = {
    check_leaf_gets_nothing_until_the_end_of_its_time: (
        LeafState,
        'turn_away',
        _forget_earlier_time,
    ),
    check_end_of_the_time_brings_no_wave: (
        LeafState,
        'turn_away',
        _without_slow_start,
    ),
    check_instances_return_at_different_times: (
        'clementinebank.routing._calls.TURNED_AWAY_SPREAD',
        0,
    ),
    check_request_that_no_leaf_wants_is_refused_at_once: (
        Dispatcher,
        '_is_turned_away',
        lambda *_: False,
    ),
    check_shard_that_wants_nothing_is_left_out: (
        LeafState,
        'is_turned_away',
        _always_open,
    ),
    check_too_few_shards_send_nothing: (
        Router,
        'has_closed_leafs',
        property(lambda router: False),
    ),
    check_short_time_is_waited_for: (
        'clementinebank.forwarding._forward.MAX_UNACCEPTED_SHARE',
        0,
    ),
    check_refused_request_tries_another_leaf_only: (
        LeafState,
        'is_turned_away',
        _always_open,
    ),
}


@pytest.mark.parametrize(
    ('check', 'broken'), BROKEN.items(), ids=lambda each: str(each)[:60]
)
def test_broken_variant_is_caught(check, broken, monkeypatch):
    monkeypatch.setattr(*broken)
    with pytest.raises(AssertionError):
        check()
