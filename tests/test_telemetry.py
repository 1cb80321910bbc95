"""Guards against operator commands that leave out an instance or a request.

The commands combine what several instances logged and counted. They must ask
every instance and name those that they could not reach or that do not cover
the time, since a partial result would look like a complete one.
"""

import json

import pytest

from clementinebank.cli import main
from clementinebank.metrics import METRICS_BY_NAME, Metrics, names
from tests.harness import send_request, wait_until

PARTS = ('kv', 'leafs')


def _is_complete(fleet, number):
    reply = fleet.search(number, 'pickup-desk', **{'Deadline-Ms': '5000'})
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


@pytest.fixture
def addresses(fleet):
    for number in range(fleet.instance_count):
        assert wait_until(lambda number=number: _is_complete(fleet, number))
    return [f'127.0.0.1:{each.operators}' for each in fleet.instances]


def _run_tool(capsys, *arguments):
    status = main([str(each) for each in arguments])
    return status, capsys.readouterr().out


def test_explain_asks_every_instance(fleet, addresses, capsys):
    fleet.search(1, 'pickup-desk', **{'Request-Id': 'known-1'})
    status, out = _run_tool(
        capsys, 'explain', 'known-1', '--format', 'json', '--operators',
        *addresses,
    )  # fmt: skip
    (trace,) = json.loads(out)['traces']
    assert status == 0
    assert trace['instance_id'] == 'entry-1'
    assert trace['service'] == 'pickup-desk'
    assert trace['snapshot'] == 's-1'
    status, out = _run_tool(
        capsys, 'explain', 'never-sent', '--operators', *addresses
    )
    assert status == 1
    assert 'no instance' in out


def test_report_names_what_it_cannot_cover(fleet, addresses, capsys, tmp_path):
    fleet.search(0, 'pickup-desk', query='wool')
    page = tmp_path / 'burn.html'
    status, out = _run_tool(
        capsys, 'report', 'burn', '--format', 'json', '--html', page,
        '--operators', *addresses, '127.0.0.1:1',
    )  # fmt: skip
    report = json.loads(out)
    assert status == 5
    assert report['instances'] == ['entry-0', 'entry-1']
    assert len(report['uncovered_windows']['6 h']) == 3
    windows = report['services']['pickup-desk']['objectives']['latency']
    assert windows['windows']['5 min']['total'] >= 3
    assert '</svg>' in page.read_text()
    status, out = _run_tool(capsys, 'report', 'burn', '--operators', *addresses)
    assert status == 0
    assert 'window 6 h: not covered by entry-0, entry-1' in out


def test_metrics_of_instances_can_be_merged(fleet, addresses):
    merged = Metrics()
    counts = []
    for each in fleet.instances:
        fleet.search(0, 'absent')
        text = send_request(each.operators, 'GET', '/metrics').decoded_body
        assert names.KEY_VALUE_CALLS in text
        metric_names = {
            line.split()[2] for line in text.split('\n') if '# T' in line
        }
        assert metric_names <= set(METRICS_BY_NAME)
        reply = send_request(each.operators, 'GET', '/v1/metrics/distributions')
        merged.merge_distributions(reply.decoded_body['distributions'])
        counts.append(reply.decoded_body['distributions'])
    latency = merged.distributions[names.LATENCY, (('service', 'pickup-desk'),)]
    assert latency.count >= 2
    assert 'service="absent"' not in text
