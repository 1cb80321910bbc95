"""Guards against a killed or paused instance that disturbs the others.

While one instance is killed or stopped, callers of another one must get an
answer to every search. The disturbed instance must answer again afterwards.
"""

import signal
import time

from tests.callers import Callers
from tests.harness import send_request, wait_until

PAUSES_METRIC = 'clementinebank_process_pauses_total'


def _is_complete(fleet, number):
    reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '5000'})
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


def _wait_until_complete(fleet):
    for number in range(fleet.instance_count):
        assert wait_until(lambda number=number: _is_complete(fleet, number))


def _signal_under_load(fleet, number):
    """Signal the first instance under load on the second.

    Returns
    -------
    SearchResults
        Results of the callers of the second instance.
    """
    _wait_until_complete(fleet)
    with Callers([fleet.instances[1].callers], count=4) as callers:
        callers.wait_for(20)
        fleet.send_signal('entry-0', number)
        callers.wait_for(200)
    return callers.results


def test_kill_of_one_instance(fleet):
    results = _signal_under_load(fleet, signal.SIGKILL)
    assert not results.unanswered
    assert not results.mismatched
    assert not results.refused
    fleet.start_instance(0)
    assert wait_until(lambda: _is_complete(fleet, 0))


def _pauses(fleet):
    text = send_request(
        fleet.instances[0].operators, 'GET', '/metrics'
    ).decoded_body
    (line,) = [
        each for each in text.split('\n') if each.startswith(PAUSES_METRIC)
    ]
    return int(line.split()[1])


def test_pause_of_one_instance(fleet):
    _wait_until_complete(fleet)
    assert _pauses(fleet) == 0
    results = _signal_under_load(fleet, signal.SIGSTOP)
    assert not results.unanswered
    assert not results.mismatched
    assert not results.refused
    time.sleep(2.5)
    fleet.send_signal('entry-0', signal.SIGCONT)
    assert wait_until(lambda: _is_complete(fleet, 0))
    assert _pauses(fleet) == 1
