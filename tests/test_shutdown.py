"""Guards against requests that are cut by a graceful shutdown.

A signal under load must end the process with status 0, and every request must
get a response. Instances with a broken shutdown show that the tests detect
cut requests. A successor that starts at the same addresses while its
predecessor still drains must wait and take over.
"""

import signal

import pytest

from tests.callers import Callers
from tests.harness import send_request, wait_until

LEAF_DELAY_MS = 60
STOP_LIMIT_S = 15
THINK_S = 0.005
# Longer than the drain delay of the fleet (300 ms), so that connections are
# idle when the delay ends.
LONG_THINK_S = 0.33


def _is_complete(fleet, number):
    reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '5000'})
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


def _wait_until_complete(fleet):
    for number in range(fleet.instance_count):
        assert wait_until(lambda number=number: _is_complete(fleet, number))


def _terminate_under_load(fleet, number=signal.SIGTERM, think_s=THINK_S):
    """Signal the first instance under load and wait for its exit.

    Returns
    -------
    results : SearchResults
        Results of the callers.
    status : int
        Exit status of the instance.
    """
    _wait_until_complete(fleet)
    for leaf_id, port in fleet.leaf_ports.items():
        if leaf_id.startswith('pickup-desk'):
            fleet.set_faults(port, delay_ms=LEAF_DELAY_MS)
    ports = [instance.callers for instance in fleet.instances]
    with Callers(ports, count=12, think_s=think_s) as callers:
        callers.wait_for(20)
        fleet.send_signal('entry-0', number)
        status = fleet.processes['entry-0'].wait(STOP_LIMIT_S)
        callers.wait_for(20)
    return callers.results, status


def _is_graceful(results, status):
    return (
        status == 0
        and not results.unanswered
        and not results.mismatched
        and all(execution == 'not_run' for _, execution in results.refused)
    )


@pytest.mark.parametrize('think_s', [THINK_S, LONG_THINK_S])
@pytest.mark.parametrize('number', [signal.SIGTERM, signal.SIGINT])
def test_signal_under_load_cuts_no_request(fleet, number, think_s):
    results, status = _terminate_under_load(fleet, number, think_s)
    assert _is_graceful(results, status), (results, status)


@pytest.mark.parametrize('variant', ['exits_at_once', 'closes_idle_silently'])
def test_check_catches_broken_shutdown(fleet, monkeypatch, variant):
    _wait_until_complete(fleet)
    fleet.send_signal('entry-0', signal.SIGKILL)
    fleet.processes['entry-0'].wait(STOP_LIMIT_S)
    monkeypatch.setenv('BROKEN_VARIANT', variant)
    fleet.start_instance(0, 'tests.broken_instance')
    results, status = _terminate_under_load(fleet)
    assert not _is_graceful(results, status), (results, status)


def test_leaving_instance_is_not_ready_and_announces_close(fleet):
    fleet.send_signal('entry-0', signal.SIGKILL)
    fleet.processes['entry-0'].wait(STOP_LIMIT_S)
    fleet.drain_delay_ms = 3000
    fleet.start_instance(0)
    _wait_until_complete(fleet)
    operators = fleet.instances[0].operators
    assert send_request(operators, 'GET', '/readyz').status == 200
    assert 'connection' not in fleet.search(0, 'pickup-desk').headers
    fleet.send_signal('entry-0', signal.SIGTERM)
    assert wait_until(
        lambda: send_request(operators, 'GET', '/readyz').status == 503
    )
    reply = fleet.search(0, 'pickup-desk')
    assert reply.status == 200
    assert reply.headers['connection'] == 'close'
    assert fleet.processes['entry-0'].wait(STOP_LIMIT_S) == 0


def test_successor_takes_over_the_same_addresses(fleet):
    _wait_until_complete(fleet)
    fleet.send_signal('entry-0', signal.SIGTERM)
    fleet.start_instance(0, name='successor')
    assert fleet.processes['entry-0'].wait(STOP_LIMIT_S) == 0
    assert wait_until(lambda: _is_complete(fleet, 0))
    assert fleet.processes['successor'].poll() is None


def test_successor_waits_for_the_drain_of_its_predecessor(fleet):
    fleet.send_signal('entry-0', signal.SIGKILL)
    fleet.processes['entry-0'].wait(STOP_LIMIT_S)
    # Longer than a process takes to start, so that the successor finds the
    # addresses of all three listeners still in use.
    fleet.drain_delay_ms = 3000
    fleet.start_instance(0)
    _wait_until_complete(fleet)
    fleet.send_signal('entry-0', signal.SIGTERM)
    fleet.start_instance(0, name='successor')
    assert fleet.processes['entry-0'].wait(STOP_LIMIT_S) == 0
    assert wait_until(lambda: _is_complete(fleet, 0))
    assert fleet.processes['successor'].poll() is None
