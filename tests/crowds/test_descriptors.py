"""Guards against connections that use up the descriptors of an instance."""

import pytest

from tests.crowds.crowd import Client, Crowd
from tests.crowds.system import MAX_DESCRIPTORS
from tests.harness import wait_until

CROWD = 1200
# Descriptors that must stay free for leafs, the store and files.
FREE_DESCRIPTORS = 100
# Time within which the system connects a crowd beyond the backlog again.
CONNECT_S = 1.5
HEAD_WITHOUT_END = b'GET /a/x HTTP/1.1\r\nHost: shop.example\r\nX-A: '


@pytest.mark.parametrize(
    'payload', (b'', HEAD_WITHOUT_END, b'G'), ids=('idle', 'head', 'letter')
)
@pytest.mark.parametrize('listener', ('callers', 'peers'))
def test_connections_without_a_request(system, payload, listener):
    clients = [Client(payload) for _ in range(CROWD)]
    with Crowd(getattr(system, listener), clients) as crowd:
        crowd.push()
        bound = MAX_DESCRIPTORS - FREE_DESCRIPTORS
        assert not wait_until(lambda: system.descriptors > bound, CONNECT_S)
        assert system.answers_ordinary_request()
        assert system.descriptors <= bound
        system.check(f'{listener}, {len(payload)} bytes')
    system.check('connections, afterwards')
