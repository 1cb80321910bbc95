"""Tests of the messages between relays and followers.

Malformed messages and registrations must be refused without effect, and
encoding must not change a message. A follower that lacks a confirmation must
get its reply at once, or it would leave a healthy relay.
"""

import attrs
import curio
import pytest
from result import Ok

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay import (
    WATCH_PATH,
    ChangeBatch,
    Entry,
    EntryLog,
    RelayClient,
    RelayService,
    StoredState,
    StorePosition,
)
from clementinebank.relay import _directory as directory_module
from clementinebank.relay._codec import (
    WatchReply,
    WatchRequest,
    decode_reply,
    decode_request,
    encode_reply,
    encode_request,
)
from clementinebank.relay._directory import (
    RelayDirectory,
    RelayRecord,
    decode_record,
    encode_record,
)
from clementinebank.rpc import RpcProtocolError, RpcServer
from clementinebank.validation import Address

ADDRESS = Address('127.0.0.1', 7)
REQUEST = WatchRequest('i-1', ADDRESS, StorePosition(9), 1.5, 'key', 0.25)
ENTRIES = (Entry('a', b'\x00raw', 3), Entry('b', None, 4), Entry('c', b'', 5))


def test_messages_survive_encoding():
    assert decode_request(encode_request(REQUEST)) == REQUEST
    reply = WatchReply(ENTRIES, StorePosition(5), 1.25, has_more=True)
    assert decode_reply(encode_reply(reply)) == reply
    lost = WatchReply(position=StorePosition(5), is_history_lost=True)
    assert decode_reply(encode_reply(lost)) == lost


def test_age_of_a_removal_survives_encoding_and_never_shrinks():
    removal = Entry('b', None, 4, removed_age_s=0.7001)
    reply = WatchReply(
        (removal, Entry('c', None, 5)), StorePosition(5), held_s=1.2
    )
    decoded = decode_reply(encode_reply(reply))
    assert 0.7001 <= decoded.entries[0].removed_age_s < 0.71
    assert decoded.entries[1].removed_age_s is None
    assert decoded.held_s == 1.2


def test_age_never_shrinks_and_unknown_age_is_huge():
    reply = decode_reply(encode_reply(WatchReply(age_s=1.0001)))
    assert reply.age_s >= 1.0001
    assert (
        decode_reply(encode_reply(WatchReply(age_s=float('inf')))).age_s > 1e6
    )


@pytest.mark.parametrize('payload', [b'', b'\xff\xff', b'no protobuf'])
def test_malformed_message_is_refused(payload):
    for decode in (decode_request, decode_reply):
        with pytest.raises(RpcProtocolError):
            decode(payload)


def test_request_without_a_name_or_an_address_is_refused():
    without_name = attrs.evolve(REQUEST, instance_id='')
    without_address = attrs.evolve(REQUEST, address=Address('', 0))
    for request in (without_name, without_address):
        with pytest.raises(RpcProtocolError):
            decode_request(encode_request(request))


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'[]',
        b'{"instance_id": 1}',
        b'{"instance_id": "i", "address": "x"}',
    ],
)
def test_registration_that_cannot_be_read_is_not_applied(value):
    assert decode_record(Entry('relays/dc', value, 1)).is_err()
    directory = RelayDirectory()
    directory.apply(Entry('relays/dc', value, 1), 0)
    assert not directory.records_by_data_centre


def test_entry_without_a_registration_is_replaced_at_its_revision():
    directory = RelayDirectory()
    assert directory.revision_of('dc') == 0
    valid = encode_record(RelayRecord('i', ADDRESS, 'dc', 1))
    directory.apply(Entry('relays/dc', valid, 3), 0)
    assert directory.revision_of('dc') == 3
    directory.apply(Entry('relays/dc', b'', 5), 0)
    assert directory.revision_of('dc') == 5
    assert directory.records_by_data_centre['dc'].revision == 3
    directory.apply(Entry('relays/dc', valid, 7), 0)
    assert directory.revision_of('dc') == 7
    directory.load([Entry('relays/dc', b'', 8)], 0)
    assert directory.revision_of('dc') == 8
    directory.apply(Entry('relays/dc', None, 9), 0)
    assert directory.revision_of('dc') == 0


def test_error_of_a_decoder_is_a_problem_of_its_entry(monkeypatch):
    def fail(entry):
        raise ArithmeticError(entry.key)

    monkeypatch.setattr(directory_module, 'decode_record', fail)
    directory = RelayDirectory()
    directory.load([Entry('relays/dc', b'{}', 1)], 0)
    assert not directory.records_by_data_centre
    assert directory.revision_of('dc') == 1


class EmptyPages:
    """Channel to a relay whose pages are empty and never the last one."""

    def __init__(self, address):
        self.address = address

    async def call_before(self, deadline, path, payload, decode):
        return decode(
            encode_reply(WatchReply(position=StorePosition(5), has_more=True))
        )


def test_empty_page_before_the_last_one_is_malformed():
    client = RelayClient('i-2', ADDRESS, EntryLog(), EmptyPages)
    with FakeClockKernel() as kernel:
        state = kernel.run(client.read_all, ADDRESS)
    assert state.err_value.code == 'malformed'


async def connect_client(server):
    """Return a client, the address of the server and the server's task.

    The task serves one connection.
    """
    listener = curio.tcp_server_socket('127.0.0.1', 0)
    address = Address(*listener.getsockname()[:2])

    async def serve_one():
        async with listener:
            sock, peer = await listener.accept()
        await server.serve_connection(sock, peer)

    task = await curio.spawn(serve_one)
    return RelayClient('i-2', ADDRESS, EntryLog()), address, task


def test_state_passes_between_processes_in_pages():
    """Client and server over a socket; the entries fill several messages."""

    async def run():
        log = EntryLog()
        entries = tuple(
            Entry(f'k{number}', bytes(600_000), 1) for number in range(4)
        )
        await log.load(StoredState(entries, StorePosition(12), now()))
        server = RpcServer(
            '127.0.0.1', 0, {WATCH_PATH: RelayService(log).handle_watch}
        )
        client, address, task = await connect_client(server)
        found = await client.read_all(address)
        assert found == Ok(
            StoredState(
                entries, StorePosition(12), found.ok_value.confirmed_at, 12
            )
        )
        changes = await client.wait_for_changes(address, StorePosition(12), 0)
        assert changes.ok_value.entries == ()
        lost = await client.wait_for_changes(address, StorePosition(11), 0)
        assert lost.err_value.code == 'history_lost'
        await client.close()
        await task.join()

    curio.run(run)


def test_method_that_is_unknown_is_refused():
    async def run():
        server = RpcServer('127.0.0.1', 0, {})
        client, address, task = await connect_client(server)
        found = await client.read_all(address)
        assert found.err_value.code == 'peer_protocol'
        assert '12' in found.err_value.message
        await client.close()
        await task.join()

    curio.run(run)


@pytest.mark.parametrize(('age_s', 'waits'), [(0.02, True), (1.0, False)])
def test_follower_that_missed_a_confirmation_gets_a_reply_at_once(age_s, waits):
    """A relay answers at once if it has a confirmation the follower lacks.

    A confirmation can come while the next request of a follower is on its way.
    If the relay waited, the state of the follower would become stale during
    the watch, and the follower would leave the relay.
    """

    async def run():
        log = EntryLog()
        await log.load(StoredState((), StorePosition(12), now()))
        request = WatchRequest(
            'i-2', ADDRESS, StorePosition(12), 2.0, age_s=age_s
        )
        started = now()
        await RelayService(log).handle_watch(encode_request(request))
        return now() - started

    with FakeClockKernel() as kernel:
        assert (kernel.run(run) >= 2.0) == waits


def test_changes_that_exceed_a_message_are_read_in_pages():
    """The same refused message would be sent again and again otherwise."""

    async def run():
        log = EntryLog()
        await log.load(StoredState((), StorePosition(12), now()))
        changes = tuple(
            Entry(f'k{number}', bytes(600_000), 13 + number)
            for number in range(4)
        )
        await log.append(ChangeBatch(changes, StorePosition(16), now()))
        server = RpcServer(
            '127.0.0.1', 0, {WATCH_PATH: RelayService(log).handle_watch}
        )
        client, address, task = await connect_client(server)
        lost = await client.wait_for_changes(address, StorePosition(12), 0)
        assert lost.err_value.code == 'history_lost'
        found = await client.read_all(address)
        assert found.ok_value.entries == changes
        some = await client.wait_for_changes(address, StorePosition(15), 0)
        assert some.ok_value.entries == changes[-1:]
        await client.close()
        await task.join()

    curio.run(run)
