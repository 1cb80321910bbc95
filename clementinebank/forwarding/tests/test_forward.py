"""Guards forwarded requests against repeats and wrong or late answers.

An unsafe request runs twice if it is retried or hedged although a leaf has
possibly run it, or if its caller sends it again after being told wrongly that
it has not run. A merged answer is wrong if it contains the body of a failure
response, too few shards or not the greatest records, and late if it reaches
the caller after the latency objective of the route. Retries that are counted
wrongly use up the budget, and leafs that pause or refuse requests cost time
if the router goes on choosing them.
"""

import contextlib
from unittest import mock

import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from clementinebank.dispatch import Dispatcher, Refuse
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import (
    ForwardStateMachine,
    MergedAnswer,
    merge_greatest,
)
from clementinebank.forwarding import _forward as forward_module
from clementinebank.forwarding.tests.simulation import (
    OBJECTIVE_S,
    SERVICES,
    START_S,
    TIMEOUT_S,
    make_leaf_response,
    make_refusal,
    make_route,
    make_simulation,
)
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.ratelimit import NamedLimit, equal_share
from clementinebank.routes import RouteKind
from clementinebank.routing import CallOutcome, LeafState

PROPERTY_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    suppress_health_check=list(HealthCheck),
)
UNSAFE_ROUTE = make_route(RouteKind.UNSAFE)
SCATTER_GATHER_ROUTE = make_route(services=SERVICES)
SINGLE_ATTEMPT_ROUTE = make_route(services=SERVICES, max_attempts=1)


def record(letter):
    return letter * 16


def test_unsafe_request_that_may_have_run_is_not_sent_again():
    simulation = make_simulation(UNSAFE_ROUTE).start()
    simulation.fail(simulation.first_outstanding(), may_have_run=True)
    assert len(simulation.sent) == 1
    assert simulation.endings[0].failure.status == 502


def test_unsafe_request_that_a_leaf_refused_is_sent_to_another():
    simulation = make_simulation(UNSAFE_ROUTE).start()
    simulation.answer(simulation.first_outstanding(), make_refusal())
    assert len({send.leaf_id for send in simulation.sent}) == 2
    simulation.answer(
        simulation.first_outstanding(), make_leaf_response(b'done')
    )
    assert simulation.endings[0].answer.response.body == b'done'


def test_unsafe_request_is_not_hedged():
    simulation = make_simulation(UNSAFE_ROUTE).start()
    simulation.advance(TIMEOUT_S / 2)
    assert len(simulation.sent) == 1


def test_refusal_by_every_leaf_is_stated_as_not_run():
    simulation = make_simulation(make_route()).start()
    while simulation.outstanding:
        simulation.answer(simulation.first_outstanding(), make_refusal())
        simulation.advance(0.1)
    failure = simulation.endings[0].failure
    assert failure.execution is Execution.NOT_RUN
    assert failure.status == 503


def test_failure_response_is_relayed_after_the_last_attempt():
    simulation = make_simulation(make_route()).start()
    while simulation.outstanding:
        simulation.answer(
            simulation.first_outstanding(),
            make_leaf_response(b'broken', status=500),
        )
    assert len(simulation.sent) == 2
    assert simulation.endings[0].answer.response.body == b'broken'


@pytest.mark.parametrize('status', [408, 421, 429, 503])
def test_status_that_promises_not_run_is_not_relayed_after_a_run(status):
    simulation = make_simulation(UNSAFE_ROUTE).start()
    simulation.answer(
        simulation.first_outstanding(), make_leaf_response(status=status)
    )
    assert simulation.endings[0].failure.status == 502


def test_request_without_budget_for_a_retry_ends_at_once():
    simulation = make_simulation(make_route(), tokens=0).start()
    simulation.fail(simulation.first_outstanding(), may_have_run=True)
    assert simulation.endings[0].failure.status == 502


def test_request_to_a_service_without_leafs_is_refused_at_once():
    simulation = make_simulation(replicas=0).start()
    assert simulation.endings[0].failure.status == 503
    assert simulation.now == 1000


def test_timeout_of_the_route_ends_a_request():
    simulation = make_simulation(make_route(max_attempts=1)).start(
        deadline_s=60
    )
    simulation.advance(TIMEOUT_S + 0.01)
    assert simulation.endings[0].failure.status == 504


def test_scatter_gather_merges_the_greatest_records():
    simulation = make_simulation(SCATTER_GATHER_ROUTE).start()
    letters = iter([b'a', b'd', b'c', b'b'])
    while simulation.outstanding:
        body = record(next(letters)) + b'rest'
        simulation.answer(
            simulation.first_outstanding(),
            make_leaf_response(body, signature=str(len(simulation.sent))),
        )
    gathered = simulation.endings[0].answer
    assert gathered.body == record(b'd') + record(b'c') + record(b'b')
    assert gathered.missing == 0
    assert len(gathered.signatures) == 4


def test_scatter_gather_answers_by_its_objective_with_enough_shards():
    simulation = make_simulation(SCATTER_GATHER_ROUTE, tokens=0).start()
    for _ in range(3):
        simulation.answer(
            simulation.first_outstanding(), make_leaf_response(record(b'a'))
        )
    simulation.advance(OBJECTIVE_S)
    assert simulation.endings[0].answer.missing == 1


def test_scatter_gather_waits_beyond_its_objective_for_its_minimum():
    simulation = make_simulation(SCATTER_GATHER_ROUTE, tokens=0).start()
    for _ in range(2):
        simulation.answer(
            simulation.first_outstanding(), make_leaf_response(record(b'a'))
        )
    simulation.advance(OBJECTIVE_S)
    assert not simulation.endings
    simulation.answer(
        simulation.first_outstanding(), make_leaf_response(record(b'a'))
    )
    assert simulation.endings[0].answer.missing == 1


def test_scatter_gather_that_cannot_reach_its_minimum_ends_at_once():
    simulation = make_simulation(SINGLE_ATTEMPT_ROUTE, replicas=1).start()
    for _ in range(2):
        simulation.fail(simulation.first_outstanding())
    assert isinstance(simulation.endings[0], Refuse)
    assert not simulation.outstanding


def test_failure_response_is_not_merged():
    simulation = make_simulation(SINGLE_ATTEMPT_ROUTE, replicas=1).start()
    simulation.answer(
        simulation.first_outstanding(),
        make_leaf_response(record(b'z'), status=500),
    )
    while simulation.outstanding:
        simulation.answer(
            simulation.first_outstanding(), make_leaf_response(record(b'a'))
        )
    assert simulation.endings[0].answer.missing == 1
    assert record(b'z') not in simulation.endings[0].answer.body


def test_overtaken_call_goes_on_and_its_leaf_gets_no_work_meanwhile():
    """Requests must not be sent to a leaf while it pauses.

    A call is overtaken if it is slower than its hedge delay and its hedge is
    answered first. The leaf is assumed to pause until that call ends.
    """
    simulation = make_simulation(make_route()).start()
    slow = simulation.sent[0]
    simulation.advance(0.15)
    assert len(simulation.sent) == 2
    simulation.answer(simulation.sent[1].attempt_id, make_leaf_response())
    assert slow.attempt_id not in simulation.cancelled
    assert simulation.router.leafs_by_id[slow.leaf_id].has_overtaken_call
    for _ in range(20):
        assert simulation.router.choose('s0', simulation.now) != slow.leaf_id
    simulation.router.end_overtaken_call(slow.leaf_id, slow.attempt_id)
    assert not simulation.router.leafs_by_id[slow.leaf_id].has_overtaken_call


def test_abandoned_request_cancels_its_calls():
    simulation = make_simulation(make_route()).start()
    simulation.advance(0.15)
    simulation.perform(simulation.forward.abandon(simulation.now))
    assert not simulation.outstanding


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(['good', 'shed', 'error', 'broken', 'unsent', 'wait']),
        st.integers(0, 9),
    ),
    max_size=40,
)


def _run_events(route, events, tokens=20):
    VIOLATIONS_BY_NAME.clear()
    simulation = make_simulation(route, tokens).start()
    for kind, number in events:
        if kind == 'wait':
            simulation.advance(0.02 * number)
        elif simulation.outstanding:
            attempt_ids = sorted(simulation.outstanding)
            _end_call(simulation, attempt_ids[number % len(attempt_ids)], kind)
    simulation.advance(TIMEOUT_S)
    _check_ending(simulation)


def _end_call(simulation, attempt_id, kind):
    if kind == 'good':
        simulation.answer(
            attempt_id, make_leaf_response(record(b'a'), signature=attempt_id)
        )
    elif kind == 'shed':
        simulation.answer(attempt_id, make_refusal())
    elif kind == 'error':
        simulation.answer(attempt_id, make_leaf_response(status=500))
    else:
        simulation.fail(attempt_id, may_have_run=kind == 'broken')


def _check_ending(simulation):
    assert len(simulation.endings) == 1, 'not exactly one answer or refusal'
    assert not VIOLATIONS_BY_NAME, dict(VIOLATIONS_BY_NAME)
    sent = {each.attempt_id for each in simulation.sent}
    for service in SERVICES:
        runs = [
            each.leaf_id
            for each in simulation.sent
            if each.group_id == service
            and each.attempt_id not in simulation.not_run
        ]
        assert len(runs) <= simulation.route.max_attempts, 'too many attempts'
        if not simulation.route.is_repeatable:
            assert len(runs) <= 1, 'unsafe request sent again'
    ending = simulation.endings[0]
    if isinstance(ending, Refuse):
        is_not_run = ending.failure.execution is Execution.NOT_RUN
        assert not is_not_run or sent <= simulation.not_run, (
            'wrongly stated as not run'
        )
        assert (ending.failure.status == 503) == is_not_run
    elif isinstance(ending.answer, MergedAnswer):
        included = len(ending.answer.signatures)
        assert included + ending.answer.missing == len(SERVICES)
        assert included >= 0.75 * len(SERVICES), 'too few shards in the answer'


@PROPERTY_SETTINGS
@given(
    EVENTS, st.sampled_from([make_route(), UNSAFE_ROUTE, SCATTER_GATHER_ROUTE])
)
def test_every_order_of_events_gives_one_valid_ending(events, route):
    _run_events(route, events)


BROKEN_VARIANTS = {
    'unsafe request is repeated': (
        UNSAFE_ROUTE,
        [('broken', 0)],
        mock.patch.object(
            type(UNSAFE_ROUTE), 'is_repeatable', property(lambda route: True)
        ),
    ),
    'not run is always stated': (
        UNSAFE_ROUTE,
        [('broken', 0)],
        mock.patch.object(Dispatcher, 'execution', Execution.NOT_RUN),
    ),
    'attempts are not counted': (
        make_route(),
        [('error', 0)] * 4,
        mock.patch.object(Dispatcher, '_has_attempt_left', lambda *_: True),
    ),
    'the minimum is not kept': (
        SCATTER_GATHER_ROUTE,
        [('good', 0)] + [('error', 0)] * 9,
        mock.patch.object(ForwardStateMachine, '_is_enough', lambda *_: True),
    ),
}


@pytest.mark.parametrize('name', sorted(BROKEN_VARIANTS))
def test_broken_variant_is_caught(name):
    route, events, variant_patch = BROKEN_VARIANTS[name]
    _run_events(route, events)
    with contextlib.ExitStack() as stack:
        stack.enter_context(variant_patch)
        if name == 'unsafe request is repeated':
            # The patch also changes the route for the invariants and for
            # _check_ending, so the calls are counted here.
            stack.enter_context(mock.patch.object(forward_module, 'check'))
            with pytest.raises(AssertionError):
                simulation = make_simulation(route).start()
                simulation.fail(
                    simulation.first_outstanding(), may_have_run=True
                )
                assert len(simulation.sent) == 1
            return
        with pytest.raises(AssertionError):
            _run_events(route, events)


@PROPERTY_SETTINGS
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


def test_shard_without_a_free_leaf_waits_for_one():
    """A merged answer must not lack a shard whose leafs are briefly busy."""
    simulation = make_simulation(SCATTER_GATHER_ROUTE)
    leafs = [f's0-{number}@1' for number in range(3)]
    for leaf_id in leafs:
        simulation.router.leafs_by_id[leaf_id].max_in_flight = 0
    simulation.start()
    simulation.advance(OBJECTIVE_S / 2)
    assert not simulation.forward._shards_by_service['s0'].is_ended
    simulation.router.leafs_by_id[leafs[0]].max_in_flight = 1
    simulation.advance(0.01)
    assert simulation.sent[-1].group_id == 's0'


def test_request_to_one_service_without_a_free_leaf_is_refused_early():
    simulation = make_simulation(make_route())
    for leaf in simulation.router.leafs_by_id.values():
        leaf.max_in_flight = 0
    simulation.start()
    simulation.advance(OBJECTIVE_S / 4)
    assert simulation.endings[0].failure.status == 503


def _share_of_refusing_leaf(leaf_id):
    """Return the share of requests sent to a leaf that often refuses."""
    simulation = make_simulation(make_route(), replicas=2)
    for number in range(40):
        outcome = CallOutcome.REFUSED if number % 2 else CallOutcome.GOOD
        simulation.router.on_sent(leaf_id, simulation.now)
        simulation.router.on_end(leaf_id, simulation.now, 0.01, outcome, 'r')
        simulation.now += 0.05
    simulation.now += 0.01
    chosen = [
        simulation.router.choose('s0', simulation.now) for _ in range(100)
    ]
    return chosen.count(leaf_id) / len(chosen)


def test_leaf_that_refuses_often_is_avoided():
    """Each refusal costs a retry, and the budget allows few retries."""
    assert _share_of_refusing_leaf('s0-0@1') < 0.1


def test_router_that_ignores_refusals_is_caught():
    no_penalty = mock.patch.object(
        LeafState, 'unserved_penalty_s', lambda *_: 0
    )
    with no_penalty, pytest.raises(AssertionError):
        assert _share_of_refusing_leaf('s0-0@1') < 0.1


@pytest.mark.parametrize('objective_s', [0.12, 0.2, 0.3])
def test_partial_answer_is_sent_before_the_latency_objective(objective_s):
    """A partial answer must reach the caller by the route's latency objective.

    It would arrive too late if it were sent only at the objective.
    """
    route = make_route(services=SERVICES, max_attempts=1)
    simulation = make_simulation(
        attrs.evolve(route, objective_s=objective_s)
    ).start()
    for _ in range(3):
        simulation.answer(
            simulation.first_outstanding(), make_leaf_response(record(b'a'))
        )
    simulation.advance(objective_s - 0.026)
    assert simulation.endings


def test_retry_of_an_unsent_call_costs_no_budget():
    """Connects that a crashed leaf refuses must not use up the retry budget."""
    simulation = make_simulation(make_route(), tokens=0).start()
    first = simulation.first_outstanding()
    simulation.outstanding.pop(first)
    failure = Failure('leaf_broken', 'refused', Step.DISPATCH)
    simulation.perform(
        simulation.forward.on_failure(first, failure, simulation.now)
    )
    assert len(simulation.sent) == 2
    simulation.answer(simulation.first_outstanding(), make_leaf_response())
    assert simulation.endings[0].answer.response.status == 200


def test_leaf_is_tested_by_one_request_right_after_a_pause():
    """A leaf that was ejected for a pause must get one trial request at once.

    When each pause led to a longer ejection, a tenth of the calls went to far
    leafs instead.
    """
    simulation = make_simulation(make_route())
    router = simulation.router
    paused = router.leafs_by_id['s0-0@1']
    router.on_sent('s0-0@1', simulation.now)
    simulation.now += 0.25
    router.on_end('s0-0@1', simulation.now, 0.25, CallOutcome.GOOD, 'r')
    assert paused.is_ejected
    assert paused.may_send_trial(simulation.now)
    router.on_sent('s0-0@1', simulation.now)
    assert not paused.may_send_trial(simulation.now), 'one request at a time'
    router.on_end('s0-0@1', simulation.now + 0.25, 0.25, CallOutcome.GOOD, 'r')
    assert not paused.may_send_trial(simulation.now + 0.5), 'still slow'
    router.on_sent('s0-0@1', simulation.now + 1)
    router.on_end('s0-0@1', simulation.now + 1, 0.01, CallOutcome.GOOD, 'r')
    assert not paused.is_ejected


def test_first_request_of_a_route_is_hedged_before_its_objective():
    """The first requests of a fast route must not be hedged too late.

    While no latencies of a route are known, the hedge delay is derived from its
    latency objective.
    """
    route = attrs.evolve(make_route(), objective_s=0.13)
    simulation = make_simulation(route).start()
    simulation.advance(0.13 / 2)
    assert len(simulation.sent) == 2


def _limit_all_leafs(simulation, per_s):
    """Let every leaf of the first service name a rate limit and use it up."""
    router = simulation.router
    router.limits.share_of = equal_share(1)
    for leaf_id in router.service.groups_by_id['s0'].leafs_by_id:
        router.on_named_limit(leaf_id, NamedLimit(per_s), START_S - 2, 0.01)
    while router.has_token('s0', START_S):
        leaf_id = router.choose('s0', START_S)
        router.on_sent(leaf_id, START_S)
        router.on_end(leaf_id, START_S, 0.01, CallOutcome.GOOD)


def test_request_beyond_every_rate_limit_is_refused_at_once():
    simulation = make_simulation()
    _limit_all_leafs(simulation, 0.5)
    (refusal,) = simulation.start().endings
    assert simulation.now == START_S
    assert refusal.failure.status == 503
    assert refusal.failure.execution is Execution.NOT_RUN
    assert refusal.failure.message == 'rate_limited'
    assert 0.5 < refusal.failure.retry_after_s <= 2


@pytest.mark.parametrize('seed', range(30))
def test_request_waits_for_a_token_that_comes_in_time(seed):
    simulation = make_simulation(seed=seed)
    _limit_all_leafs(simulation, 30.0)
    simulation.start()
    assert not simulation.sent
    # Each leaf gives a token every 33 ms; the seed sets when the first comes.
    simulation.advance(0.039)
    assert len(simulation.sent) == 1


@pytest.mark.parametrize('seed', range(30))
def test_request_that_waits_for_a_token_is_sent_or_refused_in_time(seed):
    """A random phase of the tokens must not leave it without a fate."""
    simulation = make_simulation(seed=seed)
    _limit_all_leafs(simulation, 20.0)
    simulation.start()
    simulation.advance(
        forward_module.MAX_UNACCEPTED_SHARE * OBJECTIVE_S
        + forward_module.RESEND_INTERVAL_S
    )
    assert len(simulation.sent) + len(simulation.endings) == 1
    for refusal in simulation.endings:
        assert refusal.failure.execution is Execution.NOT_RUN
        assert refusal.failure.message == 'rate_limited'
