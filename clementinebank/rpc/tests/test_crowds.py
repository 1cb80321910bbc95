"""Guards the listener for instances against connections without calls.

At its limit, the connection that has waited longest must be closed for the
new one, and calls must still be answered.
"""

import socket

import curio
import pytest

from clementinebank.clock import now, run_service
from clementinebank.http import MemoryBudget, ServerResources
from clementinebank.rpc import RpcChannel, RpcProtocolError, RpcServer
from clementinebank.validation import Address

PATH = '/test/Method'
LIMIT_S = 5
# A message takes twice its size; the part of peers is a fifth of the budget.
BUDGET_BYTES = 1_000_000


async def _echo(payload):
    return payload


async def _start(**options):
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        address = Address('127.0.0.1', probe.getsockname()[1])
    server = RpcServer(address.host, address.port, {PATH: _echo}, **options)
    await curio.spawn(server.serve, daemon=True)
    channel = RpcChannel(address)
    while True:
        try:
            await _call(channel, b'ready')
        except OSError:
            await curio.sleep(0.01)
        else:
            return server, address, channel


async def _call(channel, payload):
    return await channel.call_before(now() + LIMIT_S, PATH, payload, bytes)


async def _connect_beyond_the_limit():
    server, address, channel = await _start(max_connections=2)
    idle = []
    for _ in range(3):
        sock = curio.socket.socket()
        await sock.connect((address.host, address.port))
        idle.append(sock)
        # The preface of the server shows that the connection is counted.
        await curio.timeout_after(LIMIT_S, sock.recv, 1)
    await channel.close()
    reply = await _call(channel, b'x')
    sheds = server.resources.memory.sheds.count_by_reason
    return reply, sheds['connections']


def test_oldest_waiting_connection_is_closed_at_the_limit():
    reply, shed_count = run_service(_connect_beyond_the_limit)
    assert reply == b'x'
    assert shed_count == 3


async def _send_beyond_the_budget():
    resources = ServerResources(MemoryBudget(BUDGET_BYTES))
    _, _, channel = await _start(resources=resources)
    with pytest.raises((RpcProtocolError, OSError)):
        await _call(channel, bytes(BUDGET_BYTES))
    reply = await _call(channel, bytes(1000))
    return reply, resources.memory.used_by_part


def test_message_beyond_the_budget_is_refused_and_its_memory_given_back():
    reply, used = run_service(_send_beyond_the_budget)
    assert reply == bytes(1000)
    assert not any(used.values())
