"""Guards repeats, refusals, merges and early answers of forwarded requests."""

import contextlib
from unittest import mock

import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from clementinebank.dispatch import Dispatcher, Refuse
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import (
    Forward,
    GatheredAnswer,
    merge_greatest,
)
from clementinebank.forwarding import _forward as forward_module
from clementinebank.forwarding.tests.worlds import (
    OBJECTIVE_S,
    SERVICES,
    TIMEOUT_S,
    answer,
    make_route,
    make_world,
    shed,
)
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.routes import RouteKind
from clementinebank.routing import CallOutcome, LeafState

RUN = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    suppress_health_check=list(HealthCheck),
)
UNSAFE = make_route(RouteKind.UNSAFE)
GATHERING = make_route(services=SERVICES)
SINGLE_ATTEMPTS = make_route(services=SERVICES, max_attempts=1)


def record(letter):
    return letter * 16


def test_unsafe_request_that_may_have_run_is_not_sent_again():
    world = make_world(UNSAFE).start()
    world.fail(world.first(), ran=True)
    assert len(world.sent) == 1
    assert world.endings[0].failure.status == 502


def test_unsafe_request_that_a_leaf_refused_is_sent_to_another():
    world = make_world(UNSAFE).start()
    world.answer(world.first(), shed())
    assert len({send.leaf_id for send in world.sent}) == 2
    world.answer(world.first(), answer(b'done'))
    assert world.endings[0].answer.response.body == b'done'


def test_unsafe_request_is_not_hedged():
    world = make_world(UNSAFE).start()
    world.advance(TIMEOUT_S / 2)
    assert len(world.sent) == 1


def test_refusal_by_every_leaf_is_stated_as_not_run():
    world = make_world(make_route()).start()
    while world.outstanding:
        world.answer(world.first(), shed())
        world.advance(0.1)
    failure = world.endings[0].failure
    assert failure.execution is Execution.NOT_RUN
    assert failure.status == 503


def test_own_failure_of_a_leaf_is_relayed_after_the_attempts():
    world = make_world(make_route()).start()
    while world.outstanding:
        world.answer(world.first(), answer(b'broken', status=500))
    assert len(world.sent) == 2
    assert world.endings[0].answer.response.body == b'broken'


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_status_that_promises_not_run_is_not_relayed_after_a_run(status):
    world = make_world(UNSAFE).start()
    world.answer(world.first(), answer(status=status))
    assert world.endings[0].failure.status == 502


def test_request_without_budget_for_a_retry_ends_at_once():
    world = make_world(make_route(), tokens=0).start()
    world.fail(world.first(), ran=True)
    assert world.endings[0].failure.status == 502


def test_request_that_no_leaf_can_take_is_refused_at_once():
    world = make_world(replicas=0).start()
    assert world.endings[0].failure.status == 503
    assert world.now == 1000


def test_timeout_of_the_route_ends_a_request():
    world = make_world(make_route(max_attempts=1)).start(deadline_s=60)
    world.advance(TIMEOUT_S + 0.01)
    assert world.endings[0].failure.status == 504


def test_gathering_merges_the_greatest_records():
    world = make_world(GATHERING).start()
    letters = iter([b'a', b'd', b'c', b'b'])
    while world.outstanding:
        body = record(next(letters)) + b'rest'
        world.answer(
            world.first(), answer(body, signature=str(len(world.sent)))
        )
    gathered = world.endings[0].answer
    assert gathered.body == record(b'd') + record(b'c') + record(b'b')
    assert gathered.missing == 0
    assert len(gathered.signatures) == 4


def test_gathering_answers_at_its_objective_with_enough_shards():
    world = make_world(GATHERING, tokens=0).start()
    for _ in range(3):
        world.answer(world.first(), answer(record(b'a')))
    world.advance(OBJECTIVE_S)
    assert world.endings[0].answer.missing == 1


def test_gathering_waits_beyond_its_objective_for_its_minimum():
    world = make_world(GATHERING, tokens=0).start()
    for _ in range(2):
        world.answer(world.first(), answer(record(b'a')))
    world.advance(OBJECTIVE_S)
    assert not world.endings
    world.answer(world.first(), answer(record(b'a')))
    assert world.endings[0].answer.missing == 1


def test_gathering_that_cannot_reach_its_minimum_ends_at_once():
    world = make_world(SINGLE_ATTEMPTS, replicas=1).start()
    for _ in range(2):
        world.fail(world.first())
    assert isinstance(world.endings[0], Refuse)
    assert not world.outstanding


def test_failure_of_a_leaf_is_no_part():
    world = make_world(SINGLE_ATTEMPTS, replicas=1).start()
    world.answer(world.first(), answer(record(b'z'), status=500))
    while world.outstanding:
        world.answer(world.first(), answer(record(b'a')))
    assert world.endings[0].answer.missing == 1
    assert record(b'z') not in world.endings[0].answer.body


def test_overtaken_call_goes_on_and_its_leaf_gets_no_work_meanwhile():
    """A pause of a leaf would otherwise delay every request to it."""
    world = make_world(make_route()).start()
    slow = world.sent[0]
    world.advance(0.15)
    assert len(world.sent) == 2
    world.answer(world.sent[1].attempt_id, answer())
    assert slow.attempt_id not in world.cancelled
    assert world.router.leafs_by_id[slow.leaf_id].is_stalled
    for _ in range(20):
        assert world.router.choose('s0', world.now) != slow.leaf_id
    world.router.end_stall(slow.leaf_id, slow.attempt_id)
    assert not world.router.leafs_by_id[slow.leaf_id].is_stalled


def test_departed_caller_leaves_no_call_behind():
    world = make_world(make_route()).start()
    world.advance(0.15)
    world.perform(world.forward.abandon(world.now))
    assert not world.outstanding


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(['good', 'shed', 'error', 'broken', 'unsent', 'wait']),
        st.integers(0, 9),
    ),
    max_size=40,
)


def _play(route, events, tokens=20):
    VIOLATIONS_BY_NAME.clear()
    world = make_world(route, tokens).start()
    for kind, number in events:
        if kind == 'wait':
            world.advance(0.02 * number)
        elif world.outstanding:
            names = sorted(world.outstanding)
            _end(world, names[number % len(names)], kind)
    world.advance(TIMEOUT_S)
    _check(world)


def _end(world, attempt_id, kind):
    if kind == 'good':
        world.answer(attempt_id, answer(record(b'a'), signature=attempt_id))
    elif kind == 'shed':
        world.answer(attempt_id, shed())
    elif kind == 'error':
        world.answer(attempt_id, answer(status=500))
    else:
        world.fail(attempt_id, ran=kind == 'broken')


def _check(world):
    assert len(world.endings) == 1, 'not one answer'
    assert not VIOLATIONS_BY_NAME, dict(VIOLATIONS_BY_NAME)
    sent = {each.attempt_id for each in world.sent}
    for service in SERVICES:
        runs = [
            each.leaf_id
            for each in world.sent
            if each.group_id == service and each.attempt_id not in world.not_run
        ]
        assert len(runs) <= world.route.max_attempts, 'too many attempts'
        if not world.route.is_repeatable:
            assert len(runs) <= 1, 'repeated'
    ending = world.endings[0]
    if isinstance(ending, Refuse):
        is_not_run = ending.failure.execution is Execution.NOT_RUN
        assert not is_not_run or sent <= world.not_run, 'not run is untrue'
        assert (ending.failure.status == 503) == is_not_run
    elif isinstance(ending.answer, GatheredAnswer):
        included = len(ending.answer.signatures)
        assert included + ending.answer.missing == len(SERVICES)
        assert included >= 0.75 * len(SERVICES), 'too few parts'


@RUN
@given(EVENTS, st.sampled_from([make_route(), UNSAFE, GATHERING]))
def test_every_order_of_events_keeps_the_rules(events, route):
    _play(route, events)


BROKEN_VARIANTS = {
    'unsafe request is repeated': (
        UNSAFE,
        [('broken', 0)],
        mock.patch.object(
            type(UNSAFE), 'is_repeatable', property(lambda route: True)
        ),
    ),
    'not run is always stated': (
        UNSAFE,
        [('broken', 0)],
        mock.patch.object(Dispatcher, 'execution', Execution.NOT_RUN),
    ),
    'attempts are not counted': (
        make_route(),
        [('error', 0)] * 4,
        mock.patch.object(Dispatcher, '_has_attempt_left', lambda *_: True),
    ),
    'the minimum is not kept': (
        GATHERING,
        [('good', 0)] + [('error', 0)] * 9,
        mock.patch.object(Forward, '_is_enough', lambda *_: True),
    ),
}


@pytest.mark.parametrize('name', sorted(BROKEN_VARIANTS))
def test_broken_variant_is_caught(name):
    route, events, patch = BROKEN_VARIANTS[name]
    _play(route, events)
    with contextlib.ExitStack() as stack:
        stack.enter_context(patch)
        if name == 'unsafe request is repeated':
            # The observer keeps the true kind of the route.
            stack.enter_context(mock.patch.object(forward_module, 'check'))
            with pytest.raises(AssertionError):
                world = make_world(route).start()
                world.fail(world.first(), ran=True)
                assert len(world.sent) == 1
            return
        with pytest.raises(AssertionError):
            _play(route, events)


@RUN
@given(st.lists(st.binary(max_size=80), max_size=6), st.integers(1, 8))
def test_merge_equals_a_sort_of_all_records(bodies, limit):
    records = [
        body[start : start + 16]
        for body in bodies
        for start in range(0, len(body), 16)
        if len(body) - start >= 16
    ]
    expected = sorted(records, reverse=True)[:limit]
    assert merge_greatest(bodies, limit) == b''.join(expected)


def test_shard_without_room_is_looked_for_until_the_objective():
    """A gathering lost shards whose leafs were busy for a moment."""
    world = make_world(GATHERING)
    leafs = [f's0-{number}@1' for number in range(3)]
    for leaf_id in leafs:
        world.router.leafs_by_id[leaf_id].max_in_flight = 0
    world.start()
    world.advance(OBJECTIVE_S / 2)
    assert not world.forward._shards_by_service['s0'].is_settled
    world.router.leafs_by_id[leafs[0]].max_in_flight = 1
    world.advance(0.01)
    assert world.sent[-1].group_id == 's0'


def test_single_request_without_room_is_refused_early():
    world = make_world(make_route())
    for leaf in world.router.leafs_by_id.values():
        leaf.max_in_flight = 0
    world.start()
    world.advance(OBJECTIVE_S / 4)
    assert world.endings[0].failure.status == 503


def _share_of_refusing_leaf(leaf_id):
    """Return the share of requests that a leaf gets that refuses half."""
    world = make_world(make_route(), replicas=2)
    for number in range(40):
        outcome = CallOutcome.REFUSED if number % 2 else CallOutcome.GOOD
        world.router.on_sent(leaf_id, world.now)
        world.router.on_end(leaf_id, world.now, 0.01, outcome, 'r')
        world.now += 0.05
    world.now += 0.01
    chosen = [world.router.choose('s0', world.now) for _ in range(100)]
    return chosen.count(leaf_id) / len(chosen)


def test_leaf_that_refuses_often_is_avoided():
    """Each refusal costs a retry, of which there are few."""
    assert _share_of_refusing_leaf('s0-0@1') < 0.1


def test_router_that_forgets_refusals_is_caught():
    forgetful = mock.patch.object(LeafState, 'miss_penalty_s', lambda *_: 0)
    with forgetful, pytest.raises(AssertionError):
        assert _share_of_refusing_leaf('s0-0@1') < 0.1


@pytest.mark.parametrize('objective_s', [0.12, 0.2, 0.3])
def test_partial_answer_leaves_time_for_the_way_to_the_caller(objective_s):
    """Partial answers left at the objective and arrived after it."""
    route = make_route(services=SERVICES, max_attempts=1)
    world = make_world(attrs.evolve(route, objective_s=objective_s)).start()
    for _ in range(3):
        world.answer(world.first(), answer(record(b'a')))
    world.advance(objective_s - 0.026)
    assert world.endings


def test_call_that_did_not_leave_costs_no_budget():
    """Refused connections of a crashed leaf used up the retries of others."""
    world = make_world(make_route(), tokens=0).start()
    first = world.first()
    world.outstanding.pop(first)
    failure = Failure('leaf_broken', 'refused', Step.DISPATCH)
    world.perform(world.forward.on_failure(first, failure, world.now))
    assert len(world.sent) == 2
    world.answer(world.first(), answer())
    assert world.endings[0].answer.response.status == 200


def test_leaf_is_tested_by_one_request_right_after_a_pause():
    """A longer doubt after each pause sent a tenth of the calls far away."""
    world = make_world(make_route())
    router = world.router
    paused = router.leafs_by_id['s0-0@1']
    router.on_sent('s0-0@1', world.now)
    world.now += 0.25
    router.on_end('s0-0@1', world.now, 0.25, CallOutcome.GOOD, 'r')
    assert paused.is_ejected
    assert paused.may_try(world.now)
    router.on_sent('s0-0@1', world.now)
    assert not paused.may_try(world.now), 'one request at a time'
    router.on_end('s0-0@1', world.now + 0.25, 0.25, CallOutcome.GOOD, 'r')
    assert not paused.may_try(world.now + 0.5), 'still slow'
    router.on_sent('s0-0@1', world.now + 1)
    router.on_end('s0-0@1', world.now + 1, 0.01, CallOutcome.GOOD, 'r')
    assert not paused.is_ejected


def test_hedge_of_an_unknown_kind_still_meets_the_objective():
    """The first requests of a quick kind were hedged too late to help."""
    route = attrs.evolve(make_route(), objective_s=0.13)
    world = make_world(route).start()
    world.advance(0.13 / 2)
    assert len(world.sent) == 2
