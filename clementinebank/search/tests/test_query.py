"""Guards the decisions of a query, with simulated leafs and time.

Covers admission, answer policies, retries, hedges, switching to another
snapshot, traces and malformed replies. Tests named ``..._is_caught`` replace a
part of the query by a faulty one; a ``check_...`` function must then fail.
"""

import json
from unittest import mock

import pytest

from clementinebank.dispatch import Dispatcher, DispatchPolicy
from clementinebank.errors import Execution
from clementinebank.routing import LeafState
from clementinebank.search import ANSWER_POLICIES, Refuse, answer_policy
from clementinebank.search import _messages as messages_module
from clementinebank.search import _policies as policies_module
from clementinebank.search import _query as query_module
from clementinebank.search.tests.simulation import (
    DEADLINE_S,
    GROUPS,
    PARTITION_COUNT,
    START_S,
    make_simulation,
)


def answer_all(simulation):
    for attempt_id in sorted(simulation.outstanding):
        if attempt_id in simulation.outstanding:
            simulation.reply(attempt_id)


def events(simulation, name):
    return [each for each in simulation.query.trace if each.event == name]


def refusal_of(simulation):
    assert isinstance(simulation.endings[0], Refuse)
    return simulation.endings[0].failure


def check_short_deadline_is_refused_unsent():
    simulation = make_simulation()
    simulation.router.leafs_by_id['g0-a'].min_service_s = 0.004
    for leaf in simulation.router.leafs_by_id.values():
        leaf.delay_s = 0.02
    simulation.start(deadline_s=0.03)
    failure = refusal_of(simulation)
    assert failure.code == 'deadline_too_short'
    assert failure.execution is Execution.NOT_RUN
    assert not simulation.sent


def check_passed_deadline_is_refused_unsent():
    simulation = make_simulation().start(deadline_s=-0.01)
    assert refusal_of(simulation).code == 'deadline_passed'
    assert not simulation.sent


def check_service_without_leaf_is_refused_unsent():
    simulation = make_simulation()
    for leaf_id in simulation.service.leafs_by_id:
        simulation.report(leaf_id, 'draining')
    simulation.start()
    assert refusal_of(simulation).code == 'no_leaf'
    assert not simulation.sent


def check_overload_is_refused_unsent():
    simulation = make_simulation()
    for group_id in GROUPS:
        simulation.router.add_waiting(group_id, 1000)
    simulation.start()
    assert refusal_of(simulation).code == 'overloaded'
    assert not simulation.sent


ADMISSION_CHECKS = (
    check_short_deadline_is_refused_unsent,
    check_passed_deadline_is_refused_unsent,
    check_service_without_leaf_is_refused_unsent,
    check_overload_is_refused_unsent,
)


@pytest.mark.parametrize('check', ADMISSION_CHECKS)
def test_admission(check):
    check()


@pytest.mark.parametrize('check', ADMISSION_CHECKS)
def test_query_without_admission_is_caught(check):
    admit = mock.patch.object(query_module, 'check_admission', lambda *_: None)
    with admit, pytest.raises((AssertionError, IndexError)):
        check()


def test_answer_without_known_snapshot_is_not_complete():
    simulation = make_simulation(sequences=()).start()
    coverage = simulation.endings[0].answer.coverage
    assert not coverage.is_complete
    assert not coverage.as_json()['known']


def test_complete_answer_states_partitions_and_yards():
    simulation = make_simulation().start()
    answer_all(simulation)
    coverage = simulation.endings[0].answer.coverage.as_json()
    assert coverage['complete']
    assert coverage['partitions_answered'] == PARTITION_COUNT
    assert set(coverage['yards']) == {'north', 'south'}


def test_refusal_is_not_run_only_if_the_leafs_ran_nothing():
    for ran, expected in (
        (False, Execution.NOT_RUN),
        (True, Execution.UNKNOWN),
    ):
        simulation = make_simulation().start()
        for attempt_id in sorted(simulation.outstanding):
            simulation.fail(attempt_id, 'leaf_broken', ran=ran)
        simulation.advance(DEADLINE_S)
        assert refusal_of(simulation).execution is expected


def check_hedge_goes_to_another_leaf_and_cancels_the_first_call():
    simulation = make_simulation(tokens=20).start()
    first = simulation.sent[0]
    for send in simulation.sent[1:]:
        simulation.reply(send.attempt_id)
    simulation.advance(0.1 - 0.02)
    hedge = simulation.sent[len(GROUPS)]
    assert hedge.group_id == first.group_id
    assert hedge.leaf_id != first.leaf_id
    simulation.reply(hedge.attempt_id)
    assert first.attempt_id in simulation.cancelled
    assert simulation.endings[0].answer.coverage.is_complete


def test_hedge():
    check_hedge_goes_to_another_leaf_and_cancels_the_first_call()


def test_query_without_hedge_is_caught():
    no_hedge = mock.patch.object(Dispatcher, '_hedge', lambda *_: [])
    with no_hedge, pytest.raises((AssertionError, IndexError)):
        check_hedge_goes_to_another_leaf_and_cancels_the_first_call()


def test_empty_budget_allows_no_hedge_and_no_retry():
    simulation = make_simulation(answer_policy='coverage_first').start()
    simulation.fail(simulation.sent[0].attempt_id, 'leaf_broken', ran=True)
    simulation.advance(DEADLINE_S)
    assert len(simulation.sent) == len(GROUPS)


def check_shard_waits_briefly_for_a_shared_leaf():
    # Two of the three slots of each near leaf are in use. A query leaves the
    # last one to other instances for a short time before it takes it. Without
    # this wait the leaf would refuse the request; without a limit of the wait
    # a slow request that holds a slot would delay every later query.
    simulation = make_simulation(tokens=0)
    for leaf in simulation.router.leafs_by_id.values():
        is_near = leaf.leaf_id.endswith('a')
        leaf.delay_s = 0.0 if is_near else 0.02
        leaf.in_flight = 2 if is_near else 0
    simulation.start()
    assert not simulation.sent
    simulation.advance(0.012)
    assert len(simulation.sent) == len(GROUPS)


def test_shard_waits_briefly_for_a_shared_leaf():
    check_shard_waits_briefly_for_a_shared_leaf()


@pytest.mark.parametrize('wait_s', [0, 0.1])
def test_query_without_bounded_wait_is_caught(wait_s):
    waiting = mock.patch.object(
        query_module,
        'SEARCH_DISPATCH_POLICY',
        DispatchPolicy(max_local_wait_s=wait_s),
    )
    with waiting, pytest.raises(AssertionError):
        check_shard_waits_briefly_for_a_shared_leaf()


def check_near_leaf_that_refuses_is_asked_again():
    simulation = make_simulation(tokens=20)
    for leaf in simulation.router.leafs_by_id.values():
        leaf.delay_s = 0.0 if leaf.leaf_id.endswith('a') else 0.02
    simulation.start()
    first = simulation.sent[0]
    simulation.fail(first.attempt_id, 'shed')
    assert len(simulation.sent) == len(GROUPS)
    simulation.advance(0.005)
    assert simulation.sent[-1].leaf_id == first.leaf_id


def test_near_leaf_that_refuses_is_asked_again():
    check_near_leaf_that_refuses_is_asked_again()


def test_query_that_does_not_retry_the_near_leaf_is_caught():
    no_wait = mock.patch.object(LeafState, 'refusal_wait_s', lambda leaf: None)
    with no_wait, pytest.raises(AssertionError):
        check_near_leaf_that_refuses_is_asked_again()


def test_query_switches_snapshot_once_and_drops_earlier_records():
    simulation = make_simulation(tokens=20).start()
    simulation.reply(simulation.sent[0].attempt_id)
    for leaf_id in simulation.service.leafs_by_id:
        simulation.set_leaf_snapshots(leaf_id, (2, 3))
    simulation.fail(simulation.sent[1].attempt_id, 'snapshot_unavailable')
    assert [
        event.facts['refused'] for event in events(simulation, 'moved')
    ] == ['s-1']
    moved = [send for send in simulation.sent if send.snapshot == 's-3']
    assert len(moved) == len(GROUPS)
    for leaf_id in simulation.service.leafs_by_id:
        simulation.set_leaf_snapshots(leaf_id, (4,))
    simulation.fail(moved[0].attempt_id, 'snapshot_unavailable')
    assert len(events(simulation, 'moved')) == 1
    answer_all(simulation)
    simulation.advance(DEADLINE_S)
    answer = simulation.endings[0].answer
    assert answer.snapshot == 's-3'
    assert answer.records
    for record in answer.records:
        assert record.record_id.startswith('s-3/')


def test_shard_is_missing_if_no_tokens_allow_a_snapshot_switch():
    simulation = make_simulation().start()
    for leaf_id in simulation.service.leafs_by_id:
        simulation.set_leaf_snapshots(leaf_id, (2,))
    refused = simulation.sent[0]
    simulation.fail(refused.attempt_id, 'snapshot_unavailable')
    answer_all(simulation)
    simulation.advance(DEADLINE_S)
    shard = simulation.endings[0].answer.coverage.shards_by_group[
        refused.group_id
    ]
    assert shard.missing_reason == 'snapshot_unavailable'


def _ended_after(policy, **changes):
    """Return when a query ends whose first shard never replies, in seconds."""
    simulation = make_simulation(answer_policy=policy, **changes).start()
    for send in simulation.sent[1:]:
        simulation.reply(send.attempt_id)
    simulation.advance(1)
    return simulation.query.trace[-1].offset_ms / 1000


@pytest.mark.parametrize('name', sorted(ANSWER_POLICIES))
def test_every_policy_answers_before_the_deadline(name):
    assert 0 < _ended_after(name) < DEADLINE_S


def check_coverage_first_waits_longer_than_latency_first():
    assert _ended_after('coverage_first') >= DEADLINE_S - 0.0015
    assert _ended_after('latency_first') <= DEADLINE_S - 0.0045


def test_coverage_first_waits_longer_than_latency_first():
    check_coverage_first_waits_longer_than_latency_first()


def test_policy_without_reserve_is_caught():
    reserve = mock.patch.object(policies_module, 'LATENCY_FIRST_RESERVE_S', 0)
    with reserve, pytest.raises(AssertionError):
        check_coverage_first_waits_longer_than_latency_first()


def test_second_policy_of_the_same_name_is_an_error():
    with pytest.raises(ValueError, match='latency_first'):
        answer_policy('latency_first')(lambda remaining_s: None)


def test_trace_records_pinned_snapshot_sends_failure_and_answer():
    simulation = make_simulation(tokens=20).start()
    simulation.fail(simulation.sent[0].attempt_id, 'leaf_broken', ran=True)
    answer_all(simulation)
    assert events(simulation, 'pinned')[0].facts == {'snapshot': 's-1'}
    assert len(events(simulation, 'sent')) == len(GROUPS) + 1
    assert events(simulation, 'failed')[0].facts['reason'] == 'leaf_broken'
    assert events(simulation, 'answered')
    assert simulation.now == START_S


def check_body_of_another_request_is_rejected():
    decoded = messages_module.decode_shard_reply(
        json.dumps(
            {
                'request_id': 'other.0',
                'snapshot': 's-1',
                'partitions': [0],
                'records': [],
            }
        ).encode(),
        'own.0',
    )
    assert decoded.is_err()


def test_body_of_another_request_is_rejected():
    check_body_of_another_request_is_rejected()


@pytest.mark.parametrize(
    'body',
    [b'', b'{"records": 7', b'[]', b'{}', b'[' * 100_000, b'\xff\xfe'],
)
def test_malformed_body_is_an_error_and_never_raises(body):
    assert messages_module.decode_shard_reply(body, 'own.0').is_err()
