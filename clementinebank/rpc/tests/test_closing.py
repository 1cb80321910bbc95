"""Guards calls of a channel that its owner closes meanwhile.

Fault of review/6: the owner closed the connection under the task that waited
for the reply on it. Only the task of a call may close its connection.
"""

import curio

from clementinebank.clock import now, run_service
from clementinebank.relay import RelayClient, StorePosition
from clementinebank.relay import _client as relay_module
from clementinebank.relay._codec import WatchReply, encode_reply
from clementinebank.relay._log import EntryLog
from clementinebank.rpc import RpcChannel, RpcServer
from clementinebank.validation import Address

PATH = '/test/Method'
WORK_S = 0.2
LIMIT_S = 2.0
OWN_ADDRESS = Address('127.0.0.1', 1)


async def answer(payload):
    await curio.sleep(WORK_S)
    return payload


async def answer_watch(payload):
    await curio.sleep(WORK_S)
    return encode_reply(WatchReply(position=StorePosition(5)))


async def start_server():
    """Return a server, and the address where it listens."""
    server = RpcServer(
        '127.0.0.1', 0, {PATH: answer, relay_module.WATCH_PATH: answer_watch}
    )
    listener = curio.tcp_server_socket('127.0.0.1', 0)
    await curio.spawn(
        curio.network.run_server,
        listener,
        server.serve_connection,
        daemon=True,
    )
    return server, Address(*listener.getsockname()[:2])


async def call(channel, payload):
    return await channel.call_before(now() + LIMIT_S, PATH, payload, bytes)


def test_close_lets_the_calls_in_progress_end():
    async def run():
        _, address = await start_server()
        channel = RpcChannel(address)
        calls = [
            await curio.spawn(call, channel, payload)
            for payload in (b'running', b'waiting')
        ]
        await curio.sleep(WORK_S / 2)
        await channel.close()
        assert channel.connection is not None
        replies = [await each.join() for each in calls]
        assert replies == [b'running', b'waiting']
        # Nobody owns the channel any more, who could close it later.
        assert channel.connection is None

    run_service(run)


def test_close_of_an_unused_channel_closes_its_connection_at_once():
    async def run():
        _, address = await start_server()
        channel = RpcChannel(address)
        await call(channel, b'x')
        assert channel.connection is not None
        await channel.close()
        assert channel.connection is None

    run_service(run)


def test_relay_that_is_asked_is_not_closed_for_another_one(monkeypatch):
    """Guard a watch against the eviction of its channel by a later call."""
    monkeypatch.setattr(relay_module, 'MAX_CHANNELS', 1)

    async def run():
        addresses = [(await start_server())[1] for _ in range(2)]
        client = RelayClient('i-2', OWN_ADDRESS, EntryLog())
        watches = []
        for address in addresses:
            watches.append(
                await curio.spawn(
                    client.wait_for_changes, address, StorePosition(5), 1.0
                )
            )
            await curio.sleep(WORK_S / 4)
        outcomes = [await each.join() for each in watches]
        assert [each.is_ok() for each in outcomes] == [True, True]

    run_service(run)
