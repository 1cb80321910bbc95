"""Guards against an answer with parts of the answer to another request.

Connections to leafs are shared by many requests. A reply that is late or
carries another id could therefore be taken for the reply to the request that
was sent last.
"""

import signal

import pytest

from tests.callers import Callers
from tests.harness import wait_until

STOP_LIMIT_S = 15
DISTURBED_LEAFS = ('pickup-desk-00-a', 'pickup-desk-01-b')


def _is_complete(fleet, number=0):
    reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '5000'})
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


def _search_with_faults(fleet, faults, deadline_ms):
    assert wait_until(lambda: _is_complete(fleet))
    for leaf_id in DISTURBED_LEAFS:
        fleet.set_faults(fleet.leaf_ports[leaf_id], **faults)
    port = fleet.instances[0].callers
    with Callers(
        [port], count=12, think_s=0, deadline_ms=deadline_ms
    ) as callers:
        callers.wait_for(300, limit_s=60)
    return callers.results


@pytest.mark.parametrize(
    ('faults', 'deadline_ms'),
    [
        ({'reply': 'crossed'}, 3000),
        ({'reply': 'previous'}, 3000),
        ({'reply': 'previous_body'}, 3000),
        ({'delay_ms': 150}, 100),
    ],
    ids=['crossed', 'previous', 'previous_body', 'late'],
)
def test_answers_belong_to_their_requests(fleet, faults, deadline_ms):
    results = _search_with_faults(fleet, faults, deadline_ms)
    assert not results.mismatched
    assert not results.unanswered
    for leaf_id in DISTURBED_LEAFS:
        fleet.set_faults(fleet.leaf_ports[leaf_id], reply='good', delay_ms=1)
    assert wait_until(lambda: _is_complete(fleet))


def test_check_catches_unverified_reply_ids(fleet, monkeypatch):
    assert wait_until(lambda: _is_complete(fleet))
    fleet.send_signal('entry-0', signal.SIGKILL)
    fleet.processes['entry-0'].wait(STOP_LIMIT_S)
    monkeypatch.setenv('BROKEN_VARIANT', 'trusts_reply_ids')
    fleet.start_instance(0, 'tests.broken_instance')
    results = _search_with_faults(fleet, {'reply': 'previous'}, 3000)
    assert results.mismatched
