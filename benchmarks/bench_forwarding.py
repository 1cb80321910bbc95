"""Processor time of one call to a leaf through the forwarding engine.

The leafs run in the same process. They are called first by the HTTP client in a
bare loop, then by the engine with requests that gather all shards. Both figures
include the work of the leaf, so their difference is what the engine adds.

Run it with ``python -m benchmarks.bench_forwarding``.
"""

import argparse
import contextlib
import socket
import time

import attrs
import curio

from clementinebank.clock import now, run_service
from clementinebank.errors import Execution
from clementinebank.forwarding import (
    ExtraLoadLimits,
    ForwardingEngine,
    ForwardRequest,
    LeafResponse,
    LinkDelays,
)
from clementinebank.http import (
    HttpConnection,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.routes import (
    Route,
    RouteKind,
    RouteTable,
    RoutingConfiguration,
    ScatterGather,
)
from clementinebank.upstream import repeated_reason
from clementinebank.validation import Address

HOST = '127.0.0.1'
US_PER_S = 1_000_000
RECORDS = b'0123456789abcdef' * 25
ID_HEADER = 'request-id'
DECIDING_HEADERS = frozenset((ID_HEADER,))
DEADLINE_S = 5.0


@attrs.frozen
class BenchProtocol:
    """Protocol of leafs that return the id of a request in a header."""

    allows_close_delimited: bool = False
    allows_late_responses: bool = False

    def echoed_id(self, response):
        return response.headers.get(ID_HEADER)

    def cancel_request(self, call_id):
        return None

    def requires_close(self, response):
        return False

    def invalid_reason(self, response):
        return repeated_reason(response, DECIDING_HEADERS)

    def is_conclusive(self, response):
        return response.status < 500


@attrs.frozen
class BenchCodec:
    """Codec whose requests have a request id and no body."""

    protocol: BenchProtocol = BenchProtocol()

    def encode(self, request, leaf_id, remaining_ms):
        return HttpRequest('GET', '/', {ID_HEADER: request.request_id})

    def decode(self, response):
        return LeafResponse(response, Execution.RAN, 'signed', is_success=True)


async def respond_as_leaf(request):
    """Return the response of a leaf: the request id and 400 bytes."""
    return HttpResponse(200, {ID_HEADER: request.headers[ID_HEADER]}, RECORDS)


def find_free_ports(count):
    """Return different ports that are free now."""
    with contextlib.ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((HOST, 0))
        return [probe.getsockname()[1] for probe in probes]


async def start_leafs(count):
    """Start leafs, one service each, and return their records."""
    records = []
    for number, port in enumerate(find_free_ports(count)):
        server = HttpServer(HOST, port, respond_as_leaf, HttpLimits())
        await curio.spawn(server.serve, daemon=True)
        records.append(
            LeafRecord(
                f'leaf-{number}',
                1,
                1,
                f'service-{number}',
                Address(HOST, port),
                'dc',
                3,
            )
        )
    await curio.sleep(0.1)
    return records


async def bare_loop_us(records, calls):
    """Return the processor time in microseconds of one HTTP client call."""
    connections = []
    for record in records:
        connection = HttpConnection(record.address.host, record.address.port)
        await connection.connect()
        connections.append(connection)
    started = time.process_time()
    for number in range(calls):
        connection = connections[number % len(connections)]
        await connection.request(HttpRequest('GET', '/', {ID_HEADER: 'q'}))
    elapsed_s = time.process_time() - started
    for connection in connections:
        await connection.close()
    return elapsed_s / calls * US_PER_S


async def engine_us(records, queries):
    """Return the processor time in microseconds of one shard call.

    The queries of the warm-up are not counted.
    """
    services = tuple(record.service for record in records)
    route = Route(
        'r',
        'h',
        '/',
        RouteKind.SAFE,
        DEADLINE_S,
        DEADLINE_S,
        scatter_gather=ScatterGather(services, 20, 1.0),
    )
    table = RouteTable()
    limits = dict.fromkeys(services, 31)
    table.activate(RoutingConfiguration(1, (route,), limits))
    directory = LeafDirectory(3.0)
    for record in records:
        directory.register(record)
    engine = ForwardingEngine(
        BenchCodec(),
        table,
        directory,
        LinkDelays('dc', {}),
        ExtraLoadLimits(ratio=0, burst=0),
    )
    await engine.update()
    for number in range(queries // 10):
        await _forward(engine, route, f'warm-{number}')
    started = time.process_time()
    for number in range(queries):
        await _forward(engine, route, f'q-{number}')
    elapsed_s = time.process_time() - started
    return elapsed_s / (queries * len(records)) * US_PER_S


async def _forward(engine, route, request_id):
    request = ForwardRequest(
        request_id, now() + DEADLINE_S, HttpRequest('GET', '/')
    )
    outcome = await engine.forward(request, route)
    if outcome.ok_value.missing:
        raise RuntimeError('the answer of the engine lacks a shard')


async def measure(shards, calls):
    """Return the times in microseconds of a bare call and a shard call."""
    records = await start_leafs(shards)
    bare = await bare_loop_us(records, calls)
    engine = await engine_us(records, calls // shards)
    return bare, engine


def main():
    """Print the figures for several numbers of shards."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--calls', type=int, default=6000)
    options = parser.parse_args()
    for shards in (10, 15, 36):
        bare, engine = run_service(measure, shards, options.calls)
        print(
            f'{shards} shards: bare call {bare:.0f} us, shard call '
            f'{engine:.0f} us, ratio {engine / bare:.2f}'
        )


if __name__ == '__main__':
    main()
