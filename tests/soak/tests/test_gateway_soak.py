"""Guards against a gateway soak that no longer runs, or whose checks are blind.

The soak itself takes too long for every change of the code. A short run with
few processes shows that it still starts, judges enough and passes.
"""

import attrs
import pytest

from clementinebank.http import HttpResponse
from tests.gateway_clients import Exchange
from tests.soak.gateway_checks import (
    Arrival,
    Disturbance,
    GatewayHistory,
    Writing,
    find_problems,
)
from tests.soak.gateway_run import (
    DEPLOYMENTS,
    GatewayPlan,
    is_judged,
    run_gateways,
    summarise_gateways,
)

PLAN = GatewayPlan(
    seed=3, seconds=22, deployment='small', kinds=('drill', 'kill', 'reload')
)


def test_short_run_passes_every_check(tmp_path):
    history, injected = run_gateways(PLAN, tmp_path)
    summary = summarise_gateways(PLAN, history, injected, tmp_path)
    assert is_judged(summary), summary
    assert not any(summary['problems'].values()), summary


@pytest.fixture(name='history')
def _history():
    """Return a history with two versions and a drill at 50 to 51 s."""
    first = Writing(1, 0, {'/a/': 's1', '/u/': 's1'}, [[0, float('inf')]])
    second = Writing(2, 10, {'/b/': 's1', '/a/': 's2'}, [[10, float('inf')]])
    drill = Disturbance('store', 'drill', 50, 51)
    history = GatewayHistory(
        DEPLOYMENTS['small'], [first, second], disturbances=[drill]
    )
    history.starts_by_id['g-0'] = [0]
    return history


def add(history, path, leaf_id, sent_at, status=200):
    """Add a request; ``None`` instead of a leaf stands for a refusal."""
    request_id = f'g-0-q{len(history.exchanges)}'
    headers = {
        'x-server-stamp': f'signed-by-{leaf_id}',
        'x-request-id': request_id,
    }
    response = HttpResponse(status, headers, str(leaf_id).encode())
    history.exchanges.append(
        Exchange('g-0', request_id, path, sent_at, sent_at + 0.1, response)
    )
    if leaf_id is not None:
        history.arrivals.append(Arrival(leaf_id, request_id, sent_at))


def problem_counts(history):
    """Return how many problems each check finds, without those of none."""
    found = find_problems(history)
    return {name: len(each) for name, each in found.items() if each}


def test_proper_requests_are_no_problem(history):
    add(history, '/a/x', 's1-1', 12)
    add(history, '/b/x', None, 12.5, 404)
    add(history, '/a/x', 's2-1', 13.5)
    add(history, '/u/x', None, 14, 404)
    assert not problem_counts(history)


@pytest.mark.parametrize(
    ('path', 'leaf_id', 'status'),
    [('/a/x', 's1-1', 200), ('/u/x', 's1-1', 200), ('/b/x', None, 404)],
)
def test_late_version_is_found(history, path, leaf_id, status):
    """Neither the drill nor a disturbance of the process excuses it for long.

    A version that the store has lost binds nobody until it is written again.
    """
    add(history, path, leaf_id, 13.2, status)
    add(history, path, leaf_id, 54.9, status)
    add(history, path, leaf_id, 55.2, status)
    assert problem_counts(history) == {'late_version': 2}
    history.versions[1].lose_since(5, 50)
    assert problem_counts(history) == {'late_version': 1}
    history.versions[1].acknowledge(52.1)
    assert problem_counts(history) == {'late_version': 2}


def test_regress_is_found_in_one_incarnation(history):
    add(history, '/a/x', 's2-1', 10.5)
    add(history, '/a/x', 's1-1', 11)
    assert problem_counts(history) == {'regress': 1}
    history.starts_by_id['g-0'].append(10.8)
    assert not problem_counts(history)


def test_late_arrival_at_a_removed_leaf_is_found(history):
    history.removals.append(Writing('s2-1', 20, spans=[[20, float('inf')]]))
    add(history, '/a/x', 's2-1', 23.2)
    add(history, '/a/x', 's2-1', 23.3)
    assert problem_counts(history) == {'late_at_leaf': 1}


def test_missed_leaf_is_found(history):
    history.registrations.append(Writing('d1-1', 20, spans=[[20, 50]]))
    add(history, '/d1/x', None, 22.9, 503)
    assert not problem_counts(history)
    add(history, '/d1/x', None, 23.1, 503)
    add(history, '/d1/x', None, 55.1, 503)
    assert problem_counts(history) == {'missed_leaf': 1}
    history.registrations[0].acknowledge(50.9)
    assert problem_counts(history) == {'missed_leaf': 2}


def test_wrong_answers_are_found(history):
    add(history, '/b/x', 's2-1', 14)
    add(history, '/a/x', None, 14, 404)
    add(history, '/a/x', None, 14, 401)
    assert problem_counts(history)['wrong_service'] == 3


def test_ended_process_and_unserved_requests_are_found(history):
    history.ended_ids.append('g-0')
    add(history, '/f/x', None, 14, 503)
    add(history, '/f/x', None, 52, 503)
    assert problem_counts(history) == {'ended': 1, 'unserved': 1}


def test_unsafe_request_that_ran_twice_or_after_a_promise_is_found(history):
    add(history, '/u/x', 's1-1', 5)
    history.arrivals.append(history.arrivals[0])
    add(history, '/u/x', 's1-1', 6, 503)
    assert problem_counts(history) == {'run_twice': 2}


def test_success_without_its_leaf_is_found(history):
    add(history, '/a/x', 's2-1', 14)
    history.arrivals[0] = attrs.evolve(history.arrivals[0], leaf_id='s2-2')
    assert problem_counts(history) == {'unsigned': 1}
