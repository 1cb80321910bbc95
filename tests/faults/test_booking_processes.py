"""Bookings on real processes that are killed, stopped or cut off.

They guard against a second execution of a booking and a false ``not_run``.
Both may come about when an instance or a leaf fails after the claim is written
or the request sent, and the caller repeats the booking at another instance.
The last test resolves a claim with the operator's commands.
"""

import signal
import threading
import time

import pytest

from clementinebank import cli
from clementinebank.booking import (
    ClaimRecord,
    created_at,
    decode_record,
    new_key,
    storage_key,
)
from tests.harness import send_request, wait_until

SERVICE = 'claim-counter'
BODY = {'rug': 'R-17'}
# The default deadline of ``book`` is 2 s.
LONGER_THAN_DEADLINE_S = 2.5
LEAFS = ('claim-counter-00', 'claim-counter-01')


@pytest.fixture
def booking_fleet(fleet):
    for number in range(fleet.instance_count):
        assert wait_until(lambda number=number: _knows_service(fleet, number))
    return fleet


def _knows_service(fleet, number):
    # The refusal of an invalid key shows that the instance knows the service,
    # and it starts no booking.
    return book(fleet, number, 'not-a-key').status == 400


def book(fleet, number, key, body=BODY, deadline_ms=2000):
    return send_request(
        fleet.instances[number].callers,
        'POST',
        f'/v1/services/{SERVICE}/requests',
        body,
        {'Idempotency-Key': key, 'Deadline-Ms': str(deadline_ms)},
    )


def count_executions(fleet, key):
    replies = [
        send_request(fleet.leaf_ports[leaf], 'GET', '/executions')
        for leaf in LEAFS
    ]
    return sum(reply.decoded_body.get(key, 0) for reply in replies)


def control_leafs(fleet, **faults):
    for leaf in LEAFS:
        fleet.set_faults(fleet.leaf_ports[leaf], **faults)


def stored_claim(fleet, key):
    encoded_key = storage_key(SERVICE, key).replace('/', '%2F')
    reply = send_request(fleet.key_value_port, 'GET', f'/v1/keys/{encoded_key}')
    return reply.decoded_body if reply.status == 200 else None


def book_in_background(fleet, number, key):
    """Send a booking from a thread.

    Returns
    -------
    tuple
        The thread, and a list that receives the reply or the ``OSError``.
    """
    replies = []

    def send():
        try:
            replies.append(book(fleet, number, key))
        except OSError as error:
            replies.append(error)

    thread = threading.Thread(target=send)
    thread.start()
    return thread, replies


def fresh_key():
    return new_key(time.time())


def test_repeat_at_another_instance_gets_the_outcome(booking_fleet):
    key = fresh_key()
    first = book(booking_fleet, 0, key)
    again = book(booking_fleet, 1, key)
    assert (first.status, again.status) == (200, 200)
    assert first.decoded_body['outcome'] == {'booked': BODY}
    assert (first.decoded_body['repeated'], again.decoded_body['repeated']) == (
        False,
        True,
    )
    assert again.decoded_body['outcome'] == first.decoded_body['outcome']
    reused = book(booking_fleet, 1, key, {'rug': 'R-18'})
    assert reused.status == 422
    assert reused.decoded_body['error']['code'] == 'key_reused'
    assert count_executions(booking_fleet, key) == 1


def test_cut_after_the_execution_is_unknown(booking_fleet):
    control_leafs(booking_fleet, execute_reply='cut')
    key = fresh_key()
    first = book(booking_fleet, 0, key)
    assert first.decoded_body['error']['execution'] == 'unknown'
    control_leafs(booking_fleet, execute_reply='good')
    again = book(booking_fleet, 1, key)
    assert again.status == 409
    assert again.decoded_body['error']['execution'] == 'unknown'
    assert count_executions(booking_fleet, key) == 1


def test_refusal_by_every_leaf_releases_the_key(booking_fleet):
    control_leafs(booking_fleet, refuse_executions=True)
    key = fresh_key()
    refused = book(booking_fleet, 0, key)
    assert refused.decoded_body['error']['execution'] == 'not_run'
    assert count_executions(booking_fleet, key) == 0
    control_leafs(booking_fleet, refuse_executions=False)
    assert book(booking_fleet, 1, key).status == 200
    assert count_executions(booking_fleet, key) == 1


def test_killed_holder_leaves_an_unresolved_claim(booking_fleet):
    control_leafs(booking_fleet, execute_reply_delay_ms=1500)
    key = fresh_key()
    thread, replies = book_in_background(booking_fleet, 0, key)
    assert wait_until(lambda: count_executions(booking_fleet, key))
    booking_fleet.send_signal('entry-0', signal.SIGKILL)
    thread.join()
    assert isinstance(replies[0], Exception)
    again = book(booking_fleet, 1, key)
    assert again.status == 409
    assert (
        again.decoded_body['error']['message']
        == 'outcome unknown, not repeated'
    )
    operators = booking_fleet.instances[1].operators
    listed = send_request(operators, 'GET', '/v1/bookings')
    assert [each['key'] for each in listed.decoded_body['bookings']] == [key]
    assert count_executions(booking_fleet, key) == 1


def test_paused_holder_sends_nothing_after_its_deadline(booking_fleet):
    key_value_port = booking_fleet.key_value_port
    # The answer to the write of the claim is lost, so that the instance reads
    # the claim back. The delay lets the stop take effect before that read.
    booking_fleet.set_faults(key_value_port, delay_ms=500, lose_write_answers=1)
    key = fresh_key()
    thread, replies = book_in_background(booking_fleet, 0, key)
    assert wait_until(lambda: _is_claim_written(key_value_port))
    booking_fleet.send_signal('entry-0', signal.SIGSTOP)
    booking_fleet.set_faults(key_value_port, delay_ms=0)
    again = book(booking_fleet, 1, key)
    assert (
        again.decoded_body['error']['message']
        == 'outcome unknown, not repeated'
    )
    thread.join(LONGER_THAN_DEADLINE_S)
    assert replies == []
    booking_fleet.send_signal('entry-0', signal.SIGCONT)
    thread.join()
    assert 'error' in replies[0].decoded_body
    assert wait_until(lambda: _is_released(booking_fleet, key))
    assert count_executions(booking_fleet, key) == 0
    assert book(booking_fleet, 1, key).status == 200
    assert count_executions(booking_fleet, key) == 1


def _is_claim_written(key_value_port):
    faults = send_request(key_value_port, 'GET', '/control').decoded_body
    return faults['lose_write_answers'] == 0


def _is_released(fleet, key):
    return stored_claim(fleet, key)['state'] == 'released'


def test_operator_lists_shows_and_settles(booking_fleet, capsys):
    key = new_key(time.time() - 1000)
    claim = ClaimRecord(
        key, SERVICE, '0' * 64, 'attempt', 'entry-9', created_at(key)
    )
    encoded_key = storage_key(SERVICE, key).replace('/', '%2F')
    assert decode_record(claim.encode()).is_ok()
    send_request(
        booking_fleet.key_value_port,
        'PUT',
        f'/v1/keys/{encoded_key}?version=0',
        claim.as_json(),
    )
    operators = f'127.0.0.1:{booking_fleet.instances[1].operators}'

    def run(*arguments):
        status = cli.main([*arguments, '--operators', operators])
        return status, capsys.readouterr().out

    status, text = run('bookings', 'list')
    assert status == 0
    assert key in text
    assert '1 unresolved' in text
    settle = ('bookings', 'settle', SERVICE, key, '--as', 'ran')
    reason = ('--why', 'seen in the ledger', '--who', 'ana')
    assert run(*settle, *reason)[0] == 0
    assert run(*settle, *reason)[0] == 3
    status, text = run('bookings', 'show', SERVICE, key)
    assert 'ana: settled as ran seen in the ledger' in text
    status, text = run('bookings', 'list', '--format', 'json')
    assert '"bookings": []' in text
    again = book(booking_fleet, 0, key)
    assert again.status == 422
