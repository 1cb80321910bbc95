"""Guards the leaf pool against bad replies and calls that end early.

A leaf may answer with the id of another request, break the connection, send
too much or nothing, or drain. A call may be cancelled while it is running, or
submitted after the pool was retired.
"""

import curio
import pytest
from result import Err

from clementinebank.clock import FakeClockKernel, now
from clementinebank.document import LeafEndpoint
from clementinebank.errors import Execution
from clementinebank.http import (
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
)
from clementinebank.upstream import LeafCall, LeafPool
from clementinebank.upstream import _pool as pool_module
from clementinebank.validation import Address

LEAF = LeafEndpoint('leaf', Address('127.0.0.1', 1), 'dc')


class FakeConnection:
    """Connection that answers with ``replies(message)``.

    A reply that is a float is a delay in seconds before an ordinary reply; an
    exception is raised. ``opened`` counts the connects of all connections.
    """

    opened = 0
    local_port = 1

    def __init__(self, replies, sent):
        self.replies = replies
        self.sent = sent
        self.is_reusable = False

    async def connect(self):
        FakeConnection.opened += 1
        self.is_reusable = True

    async def send(self, message):
        self.sent.append(message)

    async def receive(self):
        message = self.sent[-1]
        reply = self.replies(message)
        if isinstance(reply, float):
            await curio.sleep(reply)
            reply = echo(message)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def close(self):
        self.is_reusable = False


def echo(message):
    return HttpResponse(200, {'request-id': message.headers['request-id']})


def run_calls(replies, names=('one',), after=None):
    """Run calls one after the other.

    ``after`` is awaited after each call was submitted. Returns the outcomes of
    the calls and the messages that were sent.
    """
    sent = []
    FakeConnection.opened = 0

    async def run():
        pool = LeafPool(LEAF, 1)
        pool._new_connection = lambda: FakeConnection(replies, sent)
        outcomes = curio.Queue()
        found = []
        for name in names:
            request = HttpRequest('POST', '/v1/search', {'request-id': name})
            call = LeafCall(name, request, now() + 0.1, outcomes.put)
            await pool.submit(call)
            if after is not None:
                await after(pool, name)
            found.append((await outcomes.get()).outcome)
        return found

    with FakeClockKernel() as kernel:
        return kernel.run(run), sent


@pytest.fixture(autouse=True)
def pool_without_slots(monkeypatch):
    """Use a pool class whose instances allow a method to be replaced.

    The attrs class has ``__slots__``, which forbids it.
    """
    plain = type('LeafPool', (LeafPool,), {'__hash__': object.__hash__})
    monkeypatch.setitem(globals(), 'LeafPool', plain)


def _echo_another_id(message):
    return HttpResponse(200, {'request-id': 'another'})


def check_crossed_reply_fails_and_closes():
    replies = iter([_echo_another_id, echo])
    outcomes, _ = run_calls(
        lambda message: next(replies)(message), ('one', 'two')
    )
    assert isinstance(outcomes[0], Err)
    assert outcomes[0].err_value.code == 'leaf_mismatch'
    assert outcomes[0].err_value.execution is Execution.UNKNOWN
    assert outcomes[1].is_ok()
    assert FakeConnection.opened == 2


def test_crossed_reply_fails_and_closes():
    check_crossed_reply_fails_and_closes()


def test_pool_that_ignores_the_id_is_caught(monkeypatch):
    async def exchange(self, connection, call):
        await connection.connect()
        await connection.send(call.request)
        return pool_module.Ok(await connection.receive())

    monkeypatch.setattr(LeafPool, '_exchange', exchange)
    with pytest.raises(AssertionError):
        check_crossed_reply_fails_and_closes()


@pytest.mark.parametrize(
    'reason', ['the response body is too large', 'the connection was closed']
)
def test_broken_reply_is_the_failure_of_the_leaf(reason):
    outcomes, _ = run_calls(lambda message: HttpProtocolError(reason))
    failure = outcomes[0].err_value
    assert failure.code == 'leaf_broken'
    assert failure.execution is Execution.UNKNOWN
    assert 'leaf' in failure.peer


def test_missing_reply_ends_in_a_timeout():
    outcomes, _ = run_calls(lambda message: 60.0)
    assert outcomes[0].err_value.code == 'leaf_timeout'


def test_draining_leaf_loses_its_connection():
    def draining(message):
        return HttpResponse(503, echo(message).headers)

    run_calls(draining, ('one', 'two'))
    assert FakeConnection.opened == 2


def test_unsent_call_of_a_retired_pool_is_not_run():
    async def run():
        pool = LeafPool(LEAF, 1)
        await pool.retire()
        outcomes = curio.Queue()
        request = HttpRequest('POST', '/v1/search', {'request-id': 'one'})
        await pool.submit(LeafCall('one', request, now() + 1, outcomes.put))
        return (await outcomes.get()).outcome

    with FakeClockKernel() as kernel:
        failure = kernel.run(run).err_value
    assert failure.code == 'pool_retired'
    assert failure.execution is Execution.NOT_RUN


def test_cancelled_call_keeps_its_connection_for_the_late_reply():
    async def cancel(pool, name):
        await curio.sleep(0.01)
        await pool.cancel(name)

    outcomes, sent = run_calls(
        lambda message: 0.05 if message.method == 'POST' else echo(message),
        after=cancel,
    )
    assert outcomes[0].is_ok()
    assert FakeConnection.opened == 1
