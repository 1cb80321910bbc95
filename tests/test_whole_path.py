"""Guards against faults of the whole path from a caller to the leafs and back.

The tests run real processes: every instance must give a complete answer, a
group without a serving leaf must be listed as missing, and a refused request
must name the invalid field.
"""

from tests.harness import wait_until


def _is_complete(fleet, number):
    reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '5000'})
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


def test_search_through_both_instances(fleet):
    for number in range(fleet.instance_count):
        assert wait_until(lambda number=number: _is_complete(fleet, number))
        reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '5000'})
        assert len(reply.decoded_body['records']) == 4 * 2 * 5
        assert reply.decoded_body['snapshot'] == 's-1'
        assert reply.decoded_body['configuration']['revision'] == 1


def test_group_that_is_draining_is_reported_missing(fleet):
    assert wait_until(lambda: _is_complete(fleet, 0))
    for replica in 'abc':
        port = fleet.leaf_ports[f'pickup-desk-01-{replica}']
        fleet.set_faults(port, state='draining')

    def is_missing():
        reply = fleet.search(0, 'pickup-desk', **{'Deadline-Ms': '5000'})
        missing = reply.decoded_body['coverage']['missing']
        return [shard['group'] for shard in missing] == ['group-01']

    assert wait_until(is_missing)
    reply = fleet.search(0, 'pickup-desk', **{'Deadline-Ms': '5000'})
    assert not reply.decoded_body['coverage']['complete']
    assert reply.decoded_body['coverage']['yards']['uto-yard']['answered'] == 0


def test_bad_requests_name_their_field(fleet):
    assert wait_until(lambda: _is_complete(fleet, 0))
    unknown = fleet.search(0, 'absent')
    assert unknown.status == 404
    assert unknown.decoded_body['error']['field'] == 'service'
    late = fleet.search(0, 'pickup-desk', **{'Deadline-Ms': 'soon'})
    assert late.status == 400
    assert late.decoded_body['error']['field'] == 'Deadline-Ms'
    assert late.decoded_body['error']['execution'] == 'not_run'
