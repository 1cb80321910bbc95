"""Guards long-lived tasks against an unexpected error at any of their waits.

One request that ended the task of a connection held a leaf's place for good:
soon no request of anybody was served. Each check below runs a task, makes one
of its waits fail, and then requires that nothing is held and that the next
request is served. It is repeated for each wait of the task in turn.
"""

import contextlib
import random

import attrs
import curio
import pytest
from result import Ok

from clementinebank.aggregation import AggregationClient
from clementinebank.aggregation import _client as aggregation_module
from clementinebank.clock import FakeClockKernel, now
from clementinebank.errors import Execution
from clementinebank.forwarding import (
    ForwardingEngine,
    ForwardRequest,
    LeafResponse,
    LinkDelays,
)
from clementinebank.forwarding.tests.simulation import make_route
from clementinebank.gateway import ControlStateUpdater
from clementinebank.gateway.tests.injection import Injection, UnexpectedError
from clementinebank.gateway.tests.test_follower import (
    FakeFeed,
    change_batch,
    configuration_change,
    decode_entry,
    stored_state,
)
from clementinebank.http import HttpRequest, HttpResponse, ServerConnection
from clementinebank.http import _client as client_module
from clementinebank.http.tests.wire import SEARCH, open_wire, parse_replies
from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.process import supervise
from clementinebank.ratelimit import LimitClient, NamedLimit
from clementinebank.ratelimit.tests.simulation import Fleet
from clementinebank.relay import (
    EntryLog,
    RelayDirectory,
    RelayService,
    StorePosition,
)
from clementinebank.relay._codec import WatchRequest, encode_request
from clementinebank.routes import RouteTable, RoutingConfiguration
from clementinebank.rpc import CallDeadlines, RpcServer
from clementinebank.rpc import _channel as channel_module
from clementinebank.rpc._connection import RpcConnection
from clementinebank.upstream import LeafPool, SearchLeafProtocol
from clementinebank.validation import Address

MAX_WAITS = 60
CHECKS = {}


def _check(name):
    def add(corofunc):
        CHECKS[name] = corofunc
        return corofunc

    return add


class _Protocol(SearchLeafProtocol):
    def cancel_request(self, call_id):
        return None


@attrs.define
class _Codec:
    protocol: _Protocol = _Protocol()

    def encode(self, request, leaf_id, remaining_ms):
        return HttpRequest('GET', '/', {'request-id': request.request_id})

    def decode(self, response):
        return LeafResponse(response, Execution.RAN, 's', is_success=True)


async def _respond_as_leaf(request):
    await curio.sleep(0.01)
    return HttpResponse(200, {'request-id': request.headers['request-id']})


async def _open_to_leaf(host, port):
    await curio.sleep(0.001)
    return (await open_wire(_respond_as_leaf)).sock


async def _forward_four(codec):
    """Forward four requests, of which the last one must be served."""
    route = make_route()
    table = RouteTable()
    table.activate(RoutingConfiguration(1, (route,), {'s0': 1}))
    directory = LeafDirectory(3.0)
    directory.register(
        LeafRecord('leaf', 1, 1, 's0', Address('127.0.0.1', 1), 'dc', 1)
    )
    engine = ForwardingEngine(
        codec, table, directory, LinkDelays('dc', {}), rng=random.Random(1)
    )
    await engine.update()
    for name in ('one', 'two', 'three', 'four'):
        request = ForwardRequest(name, now() + 2, HttpRequest('GET', '/'))
        outcome = None
        with contextlib.suppress(UnexpectedError):
            outcome = await engine.forward(request, route)
    assert outcome is not None and outcome.is_ok(), outcome
    leaf = next(iter(engine.router.leafs_by_id.values()))
    assert not leaf.in_flight
    assert not engine.buffers.used_bytes


@_check('connection to a leaf')
async def check_leaf_connection(injection, monkeypatch):
    monkeypatch.setattr(client_module, 'open_socket', _open_to_leaf)
    monkeypatch.setattr(
        LeafPool, '_run_connection', injection.wrap(LeafPool._run_connection)
    )
    await _forward_four(_Codec())


@_check('connection of a caller')
async def check_server_connection(injection, monkeypatch):
    monkeypatch.setattr(
        ServerConnection, 'run', injection.wrap(ServerConnection.run)
    )
    wire = await open_wire(_respond_as_caller)
    await wire.send(SEARCH + SEARCH)
    await curio.sleep(0.1)
    await wire.sock.close()
    # The connection lingers for a second at most.
    await curio.sleep(2)
    state = wire.connection.state
    assert not state.in_flight
    assert not state.connections
    other = await open_wire(_respond_as_caller)
    await other.send(SEARCH)
    await other.sock.shutdown(1)
    assert parse_replies(await other.read_raw())[0].status == 200


async def _respond_as_caller(request):
    await curio.sleep(0.01)
    return HttpResponse(200)


async def _echo(payload):
    await curio.sleep(0.01)
    return payload


@attrs.define(eq=False)
class _RpcPair:
    """Server whose clients are connected by socket pairs."""

    server: RpcServer = attrs.Factory(
        lambda: RpcServer('', 0, {'/m': _echo}, accepting_paths=('/m',))
    )
    tasks: list = attrs.Factory(list)

    async def open_socket(self, host, port):
        ours, theirs = curio.socket.socketpair()
        self.tasks.append(
            await curio.spawn(
                self.server.serve_connection, theirs, 'peer', daemon=True
            )
        )
        return ours


def _patch_rpc(monkeypatch, pair):
    monkeypatch.setattr(channel_module, 'open_socket', pair.open_socket)
    monkeypatch.setattr(aggregation_module, 'GATHER_PATH', '/m')
    monkeypatch.setattr(
        aggregation_module, 'encode_request', lambda request: b'x'
    )
    monkeypatch.setattr(aggregation_module, 'decode_outcome', _decode_ok)


def _decode_ok(payload):
    return Ok(payload)


async def _gather(client):
    deadlines = CallDeadlines(now() + 1, now() + 2)
    return await client.gather(Address('h', 1), None, deadlines)


@_check('connection of another instance')
async def check_rpc_server(injection, monkeypatch):
    pair = _RpcPair()
    _patch_rpc(monkeypatch, pair)
    monkeypatch.setattr(
        RpcServer,
        'serve_connection',
        injection.wrap(RpcServer.serve_connection),
    )
    client = AggregationClient()
    for _ in range(3):
        await _gather(client)
    injection.at = 0
    await curio.sleep(0.1)
    assert (await _gather(client)).is_ok()
    assert not pair.server._tasks_by_connection


@_check('call to an aggregator')
async def check_aggregator_call(injection, monkeypatch):
    pair = _RpcPair()
    _patch_rpc(monkeypatch, pair)
    opened = []

    async def open_counted(self):
        opened.append(self)
        await start(self)

    start = RpcConnection.start
    monkeypatch.setattr(RpcConnection, 'start', open_counted)
    client = AggregationClient()
    gather = injection.wrap(lambda: _gather(client))
    for _ in range(2):
        try:
            await gather()
        except type(injection.error):
            continue
    assert (await _gather(client)).is_ok()
    channels = client._idle_by_address[Address('h', 1)]
    assert [each.lock.locked() for each in channels] == [False]
    ours = [each for each in opened if each.is_client]
    kept = [each for each in ours if each.sock.fileno() >= 0]
    assert kept == [channels[0].connection]


@_check('watch of a follower')
async def check_relay_watch(injection, monkeypatch):
    log = EntryLog()
    service = RelayService(log)
    payload = encode_request(
        WatchRequest(
            instance_id='a',
            address=Address('127.0.0.1', 1),
            data_centre='dc',
            position=StorePosition(),
            wait_s=0.5,
            age_s=1.0,
        )
    )
    watch = injection.wrap(lambda: service.handle_watch(payload))
    for _ in range(2):
        try:
            await watch()
        except type(injection.error):
            continue
    assert await service.handle_watch(payload)


@_check('supervised task')
async def check_supervised_task(injection, monkeypatch):
    rounds = []
    failures = []

    async def work():
        while len(rounds) < 5:
            await curio.sleep(0.1)
            rounds.append(now())

    task = await curio.spawn(supervise, injection.wrap(work), failures.append)
    await task.join()
    assert len(rounds) == 5
    assert len(failures) == injection.is_done


async def _do_nothing():
    return None


@_check('reader of the control state')
async def check_updater(injection, monkeypatch):
    newest = stored_state(configuration_change(8), revision=6)
    feed = FakeFeed(
        [stored_state(configuration_change(7)), newest, newest],
        [change_batch(configuration_change(8))],
    )
    updater = ControlStateUpdater(
        feed,
        decode_entry,
        RouteTable(),
        LeafDirectory(3.0),
        RelayDirectory(),
        EntryLog(),
        _do_nothing,
    )
    run = injection.wrap(updater.run)
    await curio.spawn(supervise, run, lambda name: None, daemon=True)
    await curio.sleep(3)
    assert updater.route_table.version == 8
    assert now() - updater.confirmed_at < 6


@_check('request to a coordinator')
async def check_limit_client(injection, monkeypatch):
    monkeypatch.setattr(LimitClient, '_ask', injection.wrap(LimitClient._ask))
    fleet = Fleet(size=2, demands_per_s=(), per_s=5.0)
    await fleet.start()
    table = fleet.instances[1].table
    table.on_named('leaf', NamedLimit(5.0), now(), now())
    table.use_coordinator('leaf')
    # An error pauses the coordinator for a second.
    for _ in range(30):
        table.on_missed('leaf', now(), is_waiting=False)
        await curio.sleep(0.1)
    assert 'leaf' in fleet.instances[0].service.coordinator.buckets_by_leaf


@attrs.define
class _FailingCodec(_Codec):
    """Codec that fails for the first requests, at the method ``failing``."""

    failing: str = ''
    failures: int = 3

    def encode(self, request, leaf_id, remaining_ms):
        self._fail_at('encode')
        return _Codec.encode(self, request, leaf_id, remaining_ms)

    def decode(self, response):
        self._fail_at('decode')
        return _Codec.decode(self, response)

    def _fail_at(self, method):
        if method == self.failing and self.failures:
            self.failures -= 1
            raise UnexpectedError


@attrs.define
class _UnsendableCodec(_Codec):
    """Codec that gives all requests but one a header that isn't allowed."""

    encoded: list = attrs.Factory(list)

    def encode(self, request, leaf_id, remaining_ms):
        message = _Codec.encode(self, request, leaf_id, remaining_ms)
        self.encoded.append(request.request_id)
        if request.request_id != 'four':
            message.headers['x'] = 'ł'
        return message


def test_request_that_http_forbids_fails_at_once(monkeypatch):
    monkeypatch.setattr(client_module, 'open_socket', _open_to_leaf)

    async def run():
        codec = _UnsendableCodec()
        started_at = now()
        await _forward_four(codec)
        return codec.encoded, now() - started_at

    with FakeClockKernel() as kernel:
        encoded, elapsed_s = kernel.run(run)
    assert encoded == ['one', 'two', 'three', 'four']
    assert elapsed_s < 0.2


@pytest.mark.parametrize('failing', ['encode', 'decode'])
def test_error_of_a_codec_gives_the_place_back(failing, monkeypatch):
    monkeypatch.setattr(client_module, 'open_socket', _open_to_leaf)
    with FakeClockKernel() as kernel:
        kernel.run(_forward_four, _FailingCodec(failing=failing))


def run_check(name, error, monkeypatch_factory):
    """Run a check for each wait in turn; return the number of waits."""
    for at in range(1, MAX_WAITS):
        injection = Injection(at, error)
        with monkeypatch_factory() as monkeypatch, FakeClockKernel() as kernel:
            kernel.run(CHECKS[name], injection, monkeypatch)
        if not injection.is_done:
            return at - 1
    raise AssertionError('the task has too many waits')


@pytest.mark.parametrize('name', CHECKS)
@pytest.mark.parametrize('error', [UnexpectedError(), OSError()])
def test_error_at_any_wait_is_contained(name, error):
    assert run_check(name, error, pytest.MonkeyPatch.context)


def test_cancelled_connection_to_a_leaf_gives_its_place_back():
    name = 'connection to a leaf'
    assert run_check(name, curio.CancelledError(), pytest.MonkeyPatch.context)
