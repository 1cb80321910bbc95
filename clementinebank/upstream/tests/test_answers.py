"""Guards a call against answers of another send, and the pool against errors.

All sends of a request may carry one id, so that the late copy of a refusal
looks like the answer to the next send on the same connection. An unexpected
error in a call must end this call only: its place at the leaf was never given
back when it ended the task of the connection.
"""

from collections import Counter

import curio
import pytest
from result import Err

from clementinebank.clock import FakeClockKernel, now
from clementinebank.document import LeafEndpoint
from clementinebank.errors import Execution
from clementinebank.http import (
    HttpRequest,
    HttpResponse,
    UnsendableRequestError,
)
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.upstream import ExchangeRecord, LeafCall, LeafPool
from clementinebank.upstream import _connection as connection_module
from clementinebank.upstream._protocol import SearchLeafProtocol
from clementinebank.validation import Address

LEAF = LeafEndpoint('leaf', Address('127.0.0.1', 1), 'dc')
REFUSED = 503
RAN = 200


class OneIdProtocol(SearchLeafProtocol):
    """All sends of a request carry one id."""

    def requires_close(self, response):
        return False

    def is_conclusive(self, response):
        return response.status != REFUSED


class FakeConnection:
    """Connection whose leaf sends each refusal once more, late."""

    def __init__(self, leaf):
        self.leaf = leaf
        self.is_reusable = False
        self.local_port = 0

    async def connect(self):
        self.leaf.reach('connect')
        self.leaf.opened += 1
        self.local_port = self.leaf.opened
        self.pending = []
        self.late = []
        self.is_reusable = True

    async def send(self, message):
        self.leaf.reach('send')
        request_id = message.headers['request-id']
        status = self.leaf.statuses.pop(0) if self.leaf.statuses else RAN
        headers = {'request-id': request_id}
        answer = HttpResponse(status, headers, repeated=self.leaf.repeated)
        self.pending += [*self.late, answer]
        self.late = [answer] if status == REFUSED else []

    async def receive(self):
        self.leaf.reach('receive')
        return self.pending.pop(0)

    async def receive_after_late_response(self, message):
        return await self.receive()

    async def close(self):
        self.is_reusable = False


class FakeLeaf:
    """Leaf with the statuses of its next answers, and an error to raise.

    ``failing`` is the step at which ``error`` is raised once.
    """

    def __init__(self, statuses=(), failing='', error=None):
        self.statuses = list(statuses)
        self.failing = failing
        self.error = error
        self.opened = 0
        self.repeated = frozenset()

    def reach(self, step):
        if step == self.failing:
            self.failing = ''
            raise self.error


def run_calls(leaf, names, answer_counts=None, *, whole=False):
    """Run calls one after the other.

    Returns their outcomes, or the whole replies, and what the pool holds.
    """

    async def run():
        pool = LeafPool(
            LEAF,
            1,
            OneIdProtocol(allows_late_responses=True),
            answer_counts=Counter() if answer_counts is None else answer_counts,
        )
        pool._new_connection = lambda: FakeConnection(leaf)
        replies = curio.Queue()
        found = []
        for number, name in enumerate(names):
            request = HttpRequest('POST', '/', {'request-id': name})
            call = LeafCall(
                f'{name}.{number}',
                request,
                now() + 1,
                replies.put,
                echoed_id=name,
            )
            await pool.submit(call)
            reply = await replies.get()
            found.append(reply if whole else reply.outcome)
            # The task of the connection has ended the call by then.
            await curio.sleep(0)
        return found, (pool.connection_count, dict(pool._calls_by_id))

    with FakeClockKernel() as kernel:
        return kernel.run(run)


@pytest.fixture(autouse=True)
def pool_without_slots(monkeypatch):
    """Use a pool class whose instances allow a method to be replaced."""
    plain = type('LeafPool', (LeafPool,), {'__hash__': object.__hash__})
    monkeypatch.setitem(globals(), 'LeafPool', plain)


def check_copy_of_a_refusal_is_not_taken():
    leaf = FakeLeaf([REFUSED])
    outcomes, _ = run_calls(leaf, ('one', 'one'))
    statuses = [outcome.ok_value.status for outcome in outcomes]
    assert statuses == [REFUSED, RAN]


# Review case 1: a late refusal was taken for the answer to a later send.
def test_copy_of_a_refusal_is_not_taken():
    check_copy_of_a_refusal_is_not_taken()


def test_connection_that_carries_a_request_twice_is_caught(monkeypatch):
    monkeypatch.setattr(
        connection_module.LeafConnection,
        'can_carry',
        lambda self, request_id: self.is_reusable,
    )
    with pytest.raises(AssertionError):
        check_copy_of_a_refusal_is_not_taken()


def test_request_that_a_connection_answered_is_caught_when_sent_again(
    monkeypatch,
):
    """The invariant notices a pool that doesn't ask the connection."""
    monkeypatch.setattr(
        connection_module.LeafConnection,
        'can_carry',
        lambda self, request_id: self.is_reusable,
    )
    name = 'connection-carries-request-once'
    before = VIOLATIONS_BY_NAME[name]
    run_calls(FakeLeaf([REFUSED]), ('one', 'one'))
    assert VIOLATIONS_BY_NAME[name] == before + 1


def test_reply_names_its_connection_and_what_was_told_apart():
    """Without this, the answer that was taken for a call can't be found."""
    counts = Counter()
    leaf = FakeLeaf([REFUSED, REFUSED])
    replies = run_calls(leaf, ('one', 'two', 'one'), counts, whole=True)[0]
    assert [reply.exchange for reply in replies] == [
        ExchangeRecord(port=1, request_number=1),
        ExchangeRecord(port=1, request_number=2, late_count=1),
        ExchangeRecord(port=2, request_number=1),
    ]
    assert counts == {'late_answer_skipped': 1, 'connection_avoided': 1}


def test_reply_of_a_call_that_was_not_sent_names_no_connection():
    leaf = FakeLeaf(failing='connect', error=OSError())
    replies, _ = run_calls(leaf, ('one',), whole=True)
    assert replies[0].exchange is None


def test_other_requests_use_the_connection_of_a_refusal():
    leaf = FakeLeaf([REFUSED, REFUSED])
    outcomes, _ = run_calls(leaf, ('one', 'two', 'three', 'four'))
    statuses = [outcome.ok_value.status for outcome in outcomes]
    assert statuses == [REFUSED, REFUSED, RAN, RAN]
    assert leaf.opened == 1


def test_copy_of_a_refusal_may_come_after_other_answers():
    leaf = FakeLeaf([REFUSED, REFUSED])
    run_calls(leaf, ('one', 'two', 'one'))
    assert leaf.opened == 2


def test_id_that_a_client_repeats_gets_another_connection():
    leaf = FakeLeaf()
    run_calls(leaf, ('one', 'one'))
    assert leaf.opened == 2


def test_memory_for_ids_is_bounded(monkeypatch):
    monkeypatch.setattr(connection_module, 'MAX_OPEN_REQUESTS', 3)
    leaf = FakeLeaf([REFUSED] * 6)
    run_calls(leaf, [f'request-{number}' for number in range(6)])
    assert leaf.opened == 2


def test_answer_with_two_ids_is_invalid():
    leaf = FakeLeaf()
    leaf.repeated = frozenset(('request-id',))
    outcomes, _ = run_calls(leaf, ('one', 'two'))
    failure = outcomes[0].err_value
    assert failure.code == 'leaf_broken'
    assert failure.execution is Execution.UNKNOWN
    assert leaf.opened == 2


@pytest.mark.parametrize(
    ('step', 'error', 'code', 'execution'),
    [
        ('connect', RuntimeError(), 'internal_error', Execution.NOT_RUN),
        ('send', RuntimeError(), 'internal_error', Execution.UNKNOWN),
        ('receive', RuntimeError(), 'internal_error', Execution.UNKNOWN),
        ('connect', OSError(), 'leaf_broken', Execution.NOT_RUN),
        ('send', OSError(), 'leaf_broken', Execution.UNKNOWN),
        (
            'send',
            UnsendableRequestError('x'),
            'unsendable',
            Execution.NOT_RUN,
        ),
        # REFUSED: a request that was sent is encoded again after a late answer;
        # a failure of that must not count as "not run".
        (
            'receive',
            UnsendableRequestError('x'),
            'leaf_broken',
            Execution.UNKNOWN,
        ),
        (
            'receive',
            curio.CancelledError(),
            'task_cancelled',
            Execution.UNKNOWN,
        ),
        (
            'connect',
            curio.CancelledError(),
            'task_cancelled',
            Execution.NOT_RUN,
        ),
    ],
)
def test_error_ends_one_call_only(step, error, code, execution):
    leaf = FakeLeaf(failing=step, error=error)
    outcomes, counts = run_calls(leaf, ('one', 'two'))
    assert isinstance(outcomes[0], Err)
    assert outcomes[0].err_value.code == code
    assert outcomes[0].err_value.execution is execution
    assert outcomes[1].ok_value.status == RAN
    assert counts == (1, {})


def test_error_of_the_receiver_of_a_reply_is_contained():
    async def run():
        pool = LeafPool(LEAF, 1, OneIdProtocol(allows_late_responses=True))
        pool._new_connection = lambda: FakeConnection(FakeLeaf())
        replies = curio.Queue()

        async def fail(reply):
            raise RuntimeError

        for name, on_reply in (('one', fail), ('two', replies.put)):
            request = HttpRequest('POST', '/', {'request-id': name})
            await pool.submit(LeafCall(name, request, now() + 1, on_reply))
        return (await replies.get()).outcome

    with FakeClockKernel() as kernel:
        assert kernel.run(run).ok_value.status == RAN


def test_calls_with_one_id_end_both():
    """A client may send the same request id twice at the same time."""

    async def run():
        pool = LeafPool(LEAF, 2, OneIdProtocol(allows_late_responses=True))
        pool._new_connection = lambda: FakeConnection(FakeLeaf())
        replies = curio.Queue()
        request = HttpRequest('POST', '/', {'request-id': 'one'})
        for _ in range(2):
            await pool.submit(LeafCall('one', request, now() + 1, replies.put))
        outcomes = [(await replies.get()).outcome for _ in range(2)]
        await curio.sleep(0)
        return outcomes, pool.connection_count

    with FakeClockKernel() as kernel:
        outcomes, connection_count = kernel.run(run)
    assert all(outcome.is_ok() for outcome in outcomes)
    assert connection_count == 2
