"""Guards against crowds whose bodies fill the memory of an instance.

Each body is of legal size; all at once are more than the memory that the
settings give. Most of them stop just short of their end and stay open.
"""

import pytest

from tests.crowds.crowd import Client, Crowd
from tests.crowds.payloads import (
    LARGE_CHUNK_BYTES,
    chunked_body,
    http2_message,
    sized_body,
)
from tests.crowds.system import HELD_PATH, MAX_BODY_BYTES

CROWD = 300
PIECE_BYTES = 2048
# Clients that send their body to its end, in a crowd that stops short.
WHOLE_IN_CROWD = 20
# Names of accounts whose clients form a crowd.
ACCOUNTS = ('account-1', 'account-2', 'account-3')
HTTP2_CROWD = 60
HTTP2_MESSAGE_BYTES = 1_400_000


def _check_crowd(system, name, clients, port=None, **options):
    with Crowd(port or system.callers, clients, **options) as crowd:
        crowd.push()
        assert system.answers_ordinary_request()
        assert system.answers_ordinary_request(body='a short body')
        system.leaf_is_free.set()
        crowd.push()
        system.check(name)
    system.check(f'{name}, afterwards')


def _clients(payload, whole=None):
    """Return a crowd; a few of its clients send another payload."""
    last = [Client(whole) for _ in range(WHOLE_IN_CROWD if whole else 0)]
    return [Client(payload) for _ in range(CROWD - len(last))] + last


def test_whole_bodies_at_once(system):
    _check_crowd(system, 'whole', _clients(sized_body(HELD_PATH)))


def test_whole_bodies_piece_by_piece(system):
    _check_crowd(
        system,
        'piece by piece',
        _clients(sized_body(HELD_PATH)),
        write_bytes=PIECE_BYTES,
    )


def test_bodies_that_stop_short(system):
    _check_crowd(
        system,
        'short',
        _clients(sized_body('/a/x', 1), sized_body('/a/x')),
    )


def test_bodies_piece_by_piece_that_stop_short(system):
    _check_crowd(
        system,
        'short, piece by piece',
        _clients(sized_body('/a/x', 1), sized_body('/a/x')),
        write_bytes=PIECE_BYTES,
    )


def test_large_chunks(system):
    _check_crowd(
        system,
        'large chunks',
        _clients(chunked_body(HELD_PATH, LARGE_CHUNK_BYTES, MAX_BODY_BYTES)),
    )


def test_large_chunks_that_stop_short(system):
    payload, whole = (
        chunked_body('/a/x', LARGE_CHUNK_BYTES, MAX_BODY_BYTES, is_whole)
        for is_whole in (False, True)
    )
    _check_crowd(system, 'large chunks, short', _clients(payload, whole))


def test_crowd_of_a_few_accounts(system):
    clients = [
        Client(
            sized_body('/a/x', 1, lines=(f'X-Account: {ACCOUNTS[number % 3]}',))
        )
        for number in range(CROWD)
    ]
    _check_crowd(system, 'few accounts', clients)


@pytest.mark.parametrize('frame_bytes', (16_384, 1))
def test_http2_messages_that_stop_short(system, frame_bytes):
    size = HTTP2_MESSAGE_BYTES if frame_bytes > 1 else 40_000
    payload = http2_message(size, frame_bytes)
    clients = [Client(payload) for _ in range(HTTP2_CROWD)]
    _check_crowd(system, f'HTTP/2 by {frame_bytes}', clients, system.peers)
