"""Guards against clients that don't take their long answers, or slowly."""

import pytest

from tests.crowds.crowd import Client, Crowd
from tests.crowds.payloads import head
from tests.crowds.system import LONG_ANSWER_BYTES, LONG_PATH

CROWD = 150
RECEIVE_BUFFER_BYTES = 4096
ROUNDS = 40


@pytest.mark.parametrize('is_reading', (False, True))
def test_long_answers(system, is_reading):
    payload = head(f'{LONG_PATH}x', method='GET')
    clients = [Client(payload, reads=False) for _ in range(CROWD)]
    with Crowd(system.callers, clients, RECEIVE_BUFFER_BYTES) as crowd:
        crowd.push()
        system.wait_until_still(lambda: system.long_answers)
        for _ in range(ROUNDS if is_reading else 0):
            assert system.answers_ordinary_request()
            crowd.read_little()
        assert system.answers_ordinary_request()
        system.check(f'long answers, reading {is_reading}')
    system.check('long answers, afterwards')


def test_one_client_gets_its_long_answer(system):
    client = Client(head(f'{LONG_PATH}x', method='GET'))
    with Crowd(system.callers, [client], RECEIVE_BUFFER_BYTES) as crowd:
        crowd.push()
        crowd.watch(lambda: client.received_count > LONG_ANSWER_BYTES)
    assert client.received.startswith(b'HTTP/1.1 200')
    assert client.received_count > LONG_ANSWER_BYTES
