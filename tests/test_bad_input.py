"""Guards against callers whose requests make an instance unavailable.

Malformed input must be refused with an error, connections and requests beyond
their limits must be refused as not run, and a log that cannot be written must
fail no request. In each case the instance must continue to answer others.
"""

import json
import signal
import socket

import pytest

from tests.harness import send_request, wait_until

STOP_LIMIT_S = 15
READ_TIMEOUT_S = 20
SEARCH = (
    b'POST /v1/services/pickup-desk/search HTTP/1.1\r\nhost: a\r\n'
    b'deadline-ms: 3000\r\ncontent-length: 14\r\n\r\n{"query": "*"}'
)
BAD_INPUTS = (
    b'\x00\xff\xfe garbage\r\n\r\n',
    b'GET / HTTP/1.1\r\nhost: a\r\nx: ' + b'y' * 50_000,
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
    b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab',
)


def _connect(fleet):
    return socket.create_connection(
        ('127.0.0.1', fleet.instances[0].callers), READ_TIMEOUT_S
    )


def _exchange(fleet, payload):
    with _connect(fleet) as sock:
        sock.sendall(payload)
        sock.shutdown(socket.SHUT_WR)
        received = b''
        while chunk := sock.recv(65_536):
            received += chunk
    head, _, body = received.partition(b'\r\n\r\n')
    return int(head.split()[1]), json.loads(body)['error']


def _is_complete(fleet):
    reply = fleet.search(0, 'pickup-desk', **{'Deadline-Ms': '5000'})
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


@pytest.fixture
def small_fleet(fleet):
    """Restart the first instance with low limits and return the fleet."""
    fleet.send_signal('entry-0', signal.SIGKILL)
    fleet.processes['entry-0'].wait(STOP_LIMIT_S)
    fleet.extra_settings = {
        'max_caller_connections': 8,
        'max_requests_in_flight': 4,
    }
    fleet.start_instance(0)
    assert wait_until(lambda: _is_complete(fleet))
    return fleet


def test_bad_input_is_refused_and_the_instance_goes_on(fleet):
    assert wait_until(lambda: _is_complete(fleet))
    for payload in BAD_INPUTS:
        status, error = _exchange(fleet, payload)
        assert 400 <= status < 500
        assert error['execution'] == 'not_run'
        assert error['step'] == 'accept'
    for _ in range(20):
        with _connect(fleet) as sock:
            sock.sendall(SEARCH)
    assert _is_complete(fleet)
    text = send_request(
        fleet.instances[0].operators, 'GET', '/metrics'
    ).decoded_body
    assert 'code="malformed_request"' in text
    assert 'code="internal_error"' not in text


def test_full_disk_fails_no_request(fleet):
    fleet.send_signal('entry-0', signal.SIGKILL)
    fleet.processes['entry-0'].wait(STOP_LIMIT_S)
    fleet.extra_settings = {'log_path': '/dev/full'}
    fleet.start_instance(0)
    assert wait_until(lambda: _is_complete(fleet))
    prefix = 'clementinebank_log_lines_lost_total{reason="error"} '
    assert _metric(fleet, prefix) > 0
    fleet.send_signal('entry-0', signal.SIGTERM)
    assert fleet.processes['entry-0'].wait(STOP_LIMIT_S) == 0


def test_connections_beyond_the_limit_are_refused(small_fleet):
    held = [_connect(small_fleet) for _ in range(8)]
    try:
        status, error = _exchange(small_fleet, SEARCH)
    finally:
        for sock in held:
            sock.close()
    assert status == 503
    assert error['code'] == 'too_many_connections'
    assert error['execution'] == 'not_run'
    assert wait_until(lambda: _is_complete(small_fleet))


def test_requests_beyond_the_limit_are_refused(small_fleet):
    for leaf_id, port in small_fleet.leaf_ports.items():
        if leaf_id.startswith('pickup-desk'):
            small_fleet.set_faults(port, delay_ms=1500)
    held = [_connect(small_fleet) for _ in range(4)]
    try:
        for sock in held:
            sock.sendall(SEARCH)
        assert wait_until(lambda: _in_flight(small_fleet) == 4)
        status, error = _exchange(small_fleet, SEARCH)
    finally:
        for sock in held:
            sock.close()
    assert status == 503
    assert error['code'] == 'overloaded'
    assert error['execution'] == 'not_run'


def _in_flight(fleet):
    return _metric(
        fleet, 'clementinebank_requests_in_flight{listener="callers"} '
    )


def _metric(fleet, prefix):
    text = send_request(
        fleet.instances[0].operators, 'GET', '/metrics'
    ).decoded_body
    (line,) = [each for each in text.split('\n') if each.startswith(prefix)]
    return int(line.removeprefix(prefix))
