"""Guards against shedding the wrong connection, or one of a calm day.

Over the budget, the connection that holds most for the longest time without
progress goes first, and a new body is refused before it is read. A client at
the largest legal size and a slow pace meets no limit while there is room.
"""

import contextlib

import attrs
import curio
import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.http import (
    Holding,
    HttpLimits,
    HttpResponse,
    HttpServer,
    MemoryBudget,
    MemoryPart,
    ServerConnection,
    ServerResources,
    ServerState,
)
from clementinebank.http.tests.wire import (
    Wire,
    parse_replies,
    run_on_fake_clock,
)

LIMITS = HttpLimits(
    max_body_bytes=262_144,
    header_timeout_s=3,
    body_timeout_s=15,
    idle_timeout_s=15,
    send_timeout_s=15,
)
BUDGET_BYTES = 1_000_000
ANSWER_BYTES = 3_000_000
# Largest body of which two don't fit into the budget at the same time.
BODY_BYTES = 200_000


def _head(length, line='x: y'):
    lines = ('POST / HTTP/1.1', 'host: a', line, f'content-length: {length}')
    return '\r\n'.join((*lines, '', ''))


@attrs.define
class _Server:
    """Connections that share a state; the handler notes the body sizes."""

    answer: bytes = b''
    sizes: list = attrs.Factory(list)
    state: ServerState = None

    def __attrs_post_init__(self):
        """Create the state."""
        resources = ServerResources(MemoryBudget(BUDGET_BYTES))
        self.state = ServerState(self.handle, LIMITS, resources=resources)

    async def handle(self, request):
        self.sizes.append(len(request.body))
        return HttpResponse(200, {}, self.answer)

    async def connect(self):
        ours, theirs = curio.socket.socketpair()
        connection = ServerConnection(theirs, self.state)
        self.state.add(connection)
        connection.task = await curio.spawn(connection.run, daemon=True)
        return Wire(ours, connection, [])


async def _send_head_and_half(server):
    wire = await server.connect()
    await wire.send(_head(BODY_BYTES).encode() + bytes(BODY_BYTES // 2))
    await curio.sleep(0.1)
    return wire


async def _refuse_while_others_make_progress():
    server = _Server()
    await _send_head_and_half(server)
    second = await server.connect()
    await second.send(_head(BODY_BYTES).encode())
    (reply,) = parse_replies(await second.read_raw())
    return server, reply


def test_body_without_room_is_refused_before_it_is_read():
    server, reply = run_on_fake_clock(_refuse_while_others_make_progress)
    assert reply.status == 503
    assert reply.error['code'] == 'memory_full'
    assert reply.error['execution'] == 'not_run'
    assert float(reply.headers['retry-after']) > 0
    assert not server.sizes


async def _shed_for_another():
    server = _Server()
    stalled = await _send_head_and_half(server)
    await curio.sleep(1)
    other = await server.connect()
    await other.send(_head(BODY_BYTES).encode() + bytes(BODY_BYTES))
    (reply,) = await other.replies()
    return server, await stalled.read_raw(), reply


def test_stalled_body_is_shed_for_another():
    server, raw, reply = run_on_fake_clock(_shed_for_another)
    assert reply.status == 200
    assert raw == b''
    assert server.sizes == [BODY_BYTES]
    memory = server.state.resources.memory
    assert memory.sheds.count_by_reason == {'requests': 1}
    assert not any(memory.used_by_part.values())


async def _small_body_beside_a_large_one():
    server = _Server()
    await _send_head_and_half(server)
    small = await server.connect()
    await small.send(_head(5000).encode() + bytes(5000))
    return await small.replies()


def test_small_body_has_room_of_its_own():
    (reply,) = run_on_fake_clock(_small_body_beside_a_large_one)
    assert reply.status == 200


async def _send_slowly(pieces, interval_s):
    server = _Server()
    server.state.resources.memory.max_bytes = 2 * BUDGET_BYTES
    wire = await server.connect()
    size = LIMITS.max_body_bytes // pieces
    await wire.send(_head(size * pieces, 'connection: close').encode())
    for _ in range(pieces):
        await curio.sleep(interval_s)
        # A client that was refused finds the connection closed.
        with contextlib.suppress(OSError):
            await wire.send(bytes(size))
    return server, parse_replies(await wire.read_raw())


def test_largest_body_at_a_slow_pace_is_served():
    server, replies = run_on_fake_clock(_send_slowly, 14, 1)
    assert [reply.status for reply in replies] == [200]
    assert server.sizes == [LIMITS.max_body_bytes // 14 * 14]


def test_body_that_takes_too_long_is_refused():
    _, replies = run_on_fake_clock(_send_slowly, 14, 1.2)
    assert [reply.status for reply in replies] == [408]


async def _read_slowly(interval_s):
    server = _Server(answer=bytes(ANSWER_BYTES))
    server.state.resources.memory.max_bytes = 10 * ANSWER_BYTES
    wire = await server.connect()
    await wire.send(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    received = 0
    while received < ANSWER_BYTES:
        await curio.sleep(interval_s)
        chunk = await wire.sock.recv(262_144)
        if not chunk:
            break
        received += len(chunk)
    return received


@pytest.mark.parametrize(('interval_s', 'is_whole'), ((14, True), (16, False)))
def test_answer_is_whole_if_it_is_read_within_the_timeout(interval_s, is_whole):
    received = run_on_fake_clock(_read_slowly, interval_s)
    assert (received >= ANSWER_BYTES) == is_whole


async def _hold(steps):
    """Return which of two holdings is shed after some progress of each."""
    budget = MemoryBudget(BUDGET_BYTES)
    shed = []
    holdings = [
        Holding(budget, MemoryPart.REQUESTS, lambda: shed.append(0)),
        Holding(budget, MemoryPart.REQUESTS, lambda: shed.append(1)),
    ]
    for number, size in enumerate(steps):
        assert holdings[number].grow_to(size)
    await curio.sleep(1)
    holdings[0].note_progress(5000)
    await curio.sleep(1)
    new = Holding(budget, MemoryPart.REQUESTS)
    assert new.grow_to(200_000)
    return shed


@pytest.mark.parametrize(
    ('sizes', 'victim'), (((200_000, 200_000), 1), ((300_000, 100_000), 0))
)
def test_victim_holds_most_for_the_longest_time(sizes, victim):
    with FakeClockKernel() as kernel:
        assert kernel.run(_hold, sizes) == [victim]


def test_other_parts_keep_their_reserves():
    budget = MemoryBudget(BUDGET_BYTES)
    crowd = Holding(budget, MemoryPart.REQUESTS)
    assert crowd.grow_to(BUDGET_BYTES // 2)
    assert not crowd.grow_to(BUDGET_BYTES // 2 + 1)
    for part in set(MemoryPart) - {MemoryPart.REQUESTS}:
        reserved = int(budget.reserved_bytes(part))
        assert Holding(budget, part).grow_to(reserved)
        assert not Holding(budget, part).grow_to(1000)


async def _connect_beyond_the_limit():
    server = HttpServer(
        '127.0.0.1', 0, _Server().handle, HttpLimits(max_connections=2)
    )
    callers = []
    for _ in range(3):
        ours, theirs = curio.socket.socketpair()
        callers.append(ours)
        await server._start_connection(theirs)
        await curio.sleep(1)
    return await callers[0].recv(1), server.open_connections


def test_oldest_waiting_connection_is_closed_at_the_limit():
    received, open_connections = run_on_fake_clock(_connect_beyond_the_limit)
    assert received == b''
    assert open_connections == 2
