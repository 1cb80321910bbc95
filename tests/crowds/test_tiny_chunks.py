"""Guards against crowds of tiny chunks that keep others from an answer.

A chunk of one byte takes far more processor time than a byte of a large one.
"""

import pytest

from tests.crowds.crowd import Client, Crowd
from tests.crowds.payloads import TINY_CHUNKS_BYTES, chunked_body

CROWD = 300


@pytest.mark.parametrize('is_whole', (True, False))
def test_chunks_of_one_byte(system, is_whole):
    payload = chunked_body('/a/x', 1, TINY_CHUNKS_BYTES, is_whole)
    clients = [Client(payload) for _ in range(CROWD)]
    with Crowd(system.callers, clients) as crowd:
        crowd.push()
        assert system.answers_ordinary_request()
        assert system.answers_ordinary_request(body='a short body')
        system.check(f'chunks of one byte, whole {is_whole}')
    system.check('chunks of one byte, afterwards')


def test_one_client_with_chunks_of_one_byte_is_served(system):
    payload = chunked_body('/a/x', 1, TINY_CHUNKS_BYTES)
    with Crowd(system.callers, [Client(payload)]) as crowd:
        crowd.push()
        (client,) = crowd.clients
        crowd.watch(lambda: client.received_count)
        assert client.received.startswith(b'HTTP/1.1 200')
