"""Guards the distribution of a change against an outage of its store.

If the key-value service fails right after it has stored a change, the other
instances cannot read the change there and must receive it from their peers.
An instance that reaches neither the service nor a peer must refuse callers,
since its document may be outdated.
"""

import uuid
from pathlib import Path

import pytest
import yaml

from tests.harness import Fleet, send_request, wait_until

DOCUMENT = Path(__file__).parent.parent / 'examples' / 'kumagawa-small.yaml'
INSTANCE_COUNT = 5
SERVICE = 'pickup-desk'


@pytest.fixture
def wide_fleet(tmp_path):
    """Start five instances in two data centres, with all leafs in one."""
    document = yaml.safe_load(DOCUMENT.read_text())
    for group in document[f'service.{SERVICE}']['groups'].values():
        for leaf in group['leafs'].values():
            leaf['data_centre'] = 'kokura-yard'
    document['fleet']['data_centres'].pop('taniyama-yard')
    claims = document['service.claim-counter']
    for leaf in claims.get('leafs', {}).values():
        leaf['data_centre'] = 'kokura-yard'
    started = Fleet(tmp_path, document, instance_count=INSTANCE_COUNT)
    try:
        started.start()
        yield started
    finally:
        started.stop()


def _status(fleet, number):
    return send_request(
        fleet.instances[number].operators, 'GET', '/v1/status'
    ).decoded_body


def _all_at(fleet, revision, currency):
    found = [_status(fleet, number) for number in range(INSTANCE_COUNT)]
    return all(
        each['revision'] == revision and each['currency']['state'] == currency
        for each in found
    )


def test_change_reaches_all_instances_while_the_service_is_down(wide_fleet):
    fleet = wide_fleet
    assert wait_until(lambda: _all_at(fleet, 1, 'confirmed'))
    section = {**fleet.document[f'service.{SERVICE}'], 'deadline_ms': 500}
    reply = send_request(
        fleet.instances[2].operators,
        'POST',
        '/v1/document/changes',
        {
            'change_id': str(uuid.uuid4()),
            'base_revision': 1,
            'editor': 'test',
            'sections': {f'service.{SERVICE}': yaml.safe_dump(section)},
        },
    )
    assert reply.status == 200
    fleet.set_faults(fleet.key_value_port, down=True)
    assert wait_until(lambda: _all_at(fleet, 2, 'presumed'))
    digests = {_status(fleet, n)['digest'] for n in range(INSTANCE_COUNT)}
    assert len(digests) == 1
    reply = fleet.search(4, SERVICE, **{'Deadline-Ms': '5000'})
    assert reply.decoded_body['configuration'] == {
        'revision': 2,
        'currency': 'presumed',
    }
    fleet.set_faults(fleet.key_value_port, down=False)
    assert wait_until(lambda: _all_at(fleet, 2, 'confirmed'))


def test_instance_without_store_and_peers_refuses_callers(wide_fleet):
    fleet = wide_fleet
    assert wait_until(lambda: _all_at(fleet, 1, 'confirmed'))
    fleet.set_faults(fleet.key_value_port, down=True)
    for number in range(1, INSTANCE_COUNT):
        fleet.processes[f'entry-{number}'].kill()

    def refuses():
        reply = fleet.search(0, SERVICE)
        return reply.status == 503 and reply.decoded_body['error']

    error = wait_until(refuses)
    assert error['code'] == 'isolated'
    assert error['execution'] == 'not_run'
    ready = send_request(fleet.instances[0].operators, 'GET', '/readyz')
    assert ready.status == 503
