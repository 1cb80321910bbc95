"""Measure the processor time per shard call over real sockets.

Calls leaf stand-ins in other processes in three ways and prints one JSON object
per line:

- ``bare``: the HTTP client alone, with one task per open connection that sends
  its calls one after another; the ratios are relative to it;
- ``task_per_call``: as ``bare``, but with a new task for each call;
- ``engine``: complete queries through ``SearchEngine``.

``cpu_us_per_call`` is the processor time of this process alone, so it
does not depend on how many cores the leaf processes get.
"""

import argparse
import contextlib
import json
import random
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import curio
import yaml

from clementinebank.clock import now, run_service
from clementinebank.document import parse_document
from clementinebank.http import HttpConnection, json_request
from clementinebank.search import SearchEngine, SearchRequest

LEAF_PROCESSES = 5
DEADLINE_S = 60
WARM_UP_QUERIES = 3
# Below the ephemeral ports of Linux: an outgoing connection could take an
# ephemeral port after it was found free and before its leaf listens on it.
LEAF_PORTS = range(10_000, 30_000)
START_ATTEMPTS = 3
# Time limit for all leafs to listen. On a fully loaded machine, five
# interpreters started within it.
START_LIMIT_S = 120
POLL_INTERVAL_S = 0.1


def build_sections(ports):
    """Return document sections of a search service with one leaf per port.

    Each leaf has a group, and so a shard, of its own.
    """
    groups = {
        f'group-{number:03d}': {
            'yard': 'yard',
            'leafs': {
                f'leaf-{number:03d}': {
                    'address': f'127.0.0.1:{port}',
                    'data_centre': 'north-a',
                },
            },
        }
        for number, port in enumerate(ports)
    }
    return {
        'fleet': {
            'owner': 'bench',
            'caller_delay_ms': 0,
            'data_centres': {'north-a': {'region': 'north'}},
        },
        'service.catalogue': {
            'owner': 'bench',
            'kind': 'search',
            # Each query waits for all shards, because the processor time is
            # divided by queries times shards.
            'answer_policy': 'coverage_first',
            'deadline_ms': DEADLINE_S * 1000,
            'slots': 64,
            'connections': 64,
            'groups': groups,
        },
    }


@contextlib.contextmanager
def leaf_processes(sections):
    """Run the leafs of a document in ``LEAF_PROCESSES`` processes."""
    leaf_ids = [
        leaf_id
        for group in sections['service.catalogue']['groups'].values()
        for leaf_id in group['leafs']
    ]
    with tempfile.NamedTemporaryFile('w', suffix='.yaml') as file:
        yaml.safe_dump(sections, file, sort_keys=False)
        file.flush()
        processes = []
        for number in range(LEAF_PROCESSES):
            chosen = leaf_ids[number::LEAF_PROCESSES]
            if not chosen:
                continue
            arguments = ['--document', file.name, '--service', 'catalogue']
            for leaf_id in chosen:
                arguments += ['--leaf', leaf_id]
            processes.append(
                subprocess.Popen(
                    [sys.executable, '-m', 'standins.leaf', *arguments],
                    cwd=Path(__file__).parent.parent,
                )
            )
        try:
            yield processes
        finally:
            for process in processes:
                process.kill()
                process.wait()


def _search_request(call_id, partitions=(0,)):
    return json_request(
        'POST',
        '/v1/search',
        {'query': 'none', 'limit': 10, 'partitions': list(partitions)},
        {'request-id': call_id, 'deadline-ms': '100', 'snapshot': 's-1'},
    )


async def _connect_all(ports):
    connections = [HttpConnection('127.0.0.1', port) for port in ports]
    for connection in connections:
        await connection.connect()
    return connections


async def _bare_loop(connection, count):
    for number in range(count):
        await connection.request(_search_request(str(number)))


async def _run_bare(ports, queries):
    """Return the processor time of the calls in seconds."""
    connections = await _connect_all(ports)
    started = time.process_time()
    async with curio.TaskGroup() as group:
        for connection in connections:
            await group.spawn(_bare_loop, connection, queries)
    return time.process_time() - started


async def _run_task_per_call(ports, queries):
    """Return the processor time of the calls in seconds."""
    connections = await _connect_all(ports)
    started = time.process_time()
    for number in range(queries):
        async with curio.TaskGroup() as group:
            for connection in connections:
                await group.spawn(
                    connection.request, _search_request(str(number))
                )
    return time.process_time() - started


async def _search(engine, number):
    request = SearchRequest(f'r{number}', 'none', 10, now() + DEADLINE_S)
    answer = await engine.search(request)
    answer = answer.unwrap() if hasattr(answer, 'unwrap') else answer
    if not answer.coverage.is_complete:
        missing = len(answer.coverage.as_json()['missing'])
        raise RuntimeError(f'the answer to a query lacks {missing} shards')


async def _run_engine(document, queries, concurrency):
    """Return the processor time of the queries in seconds."""
    service = document.services_by_name['catalogue']
    engine = SearchEngine(service, document, 'north-a')
    await engine.start()
    while engine.catalogue.choose_map() is None or (
        not engine.catalogue.choose_map().is_complete
    ):
        await curio.sleep(0.1)
    for number in range(WARM_UP_QUERIES):
        await _search(engine, number)
    started = time.process_time()

    async def worker(first):
        for number in range(first, queries, concurrency):
            await _search(engine, WARM_UP_QUERIES + number)

    async with curio.TaskGroup() as group:
        for first in range(concurrency):
            await group.spawn(worker, first)
    cpu_s = time.process_time() - started
    await engine.stop()
    return cpu_s


def _result_row(variant, shards, queries, cpu_s, bare_s):
    calls = queries * shards
    return {
        'variant': variant,
        'shards': shards,
        'queries': queries,
        'cpu_us_per_call': round(cpu_s / calls * 1e6, 1),
        'cpu_ms_per_query': round(cpu_s / queries * 1e3, 2),
        'calls_per_core_second': round(calls / cpu_s),
        'ratio_to_bare': round(cpu_s / bare_s, 2),
    }


def measure(shards, calls):
    """Yield the result row of each variant, of about ``calls`` calls each."""
    queries = max(4, calls // shards)
    with started_leafs(shards) as (ports, document):
        bare_s = run_service(_run_bare, ports, queries)
        yield _result_row('bare', shards, queries, bare_s, bare_s)
        cpu_s = run_service(_run_task_per_call, ports, queries)
        yield _result_row('task_per_call', shards, queries, cpu_s, bare_s)
        cpu_s = run_service(_run_engine, document, queries, 4)
        yield _result_row('engine', shards, queries, cpu_s, bare_s)


@contextlib.contextmanager
def started_leafs(shards):
    """Start one leaf per shard; yield their ports and document once all listen.

    If a leaf fails to start, all are started again on other ports, in at most
    ``START_ATTEMPTS`` attempts.
    """
    for attempt in range(START_ATTEMPTS):
        ports = _find_free_ports(shards)
        sections = build_sections(ports)
        with leaf_processes(sections) as processes:
            if not _wait_until_listening(ports, processes):
                print(
                    f'attempt {attempt + 1} to start the leafs failed',
                    file=sys.stderr,
                )
                continue
            texts = {
                name: yaml.safe_dump(part) for name, part in sections.items()
            }
            yield ports, parse_document(texts, 1).unwrap()
            return
    raise RuntimeError(f'the leafs did not start in {START_ATTEMPTS} attempts')


def _find_free_ports(count):
    ports = []
    with contextlib.ExitStack() as stack:
        for port in random.sample(LEAF_PORTS, len(LEAF_PORTS)):
            sock = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):
                sock.bind(('127.0.0.1', port))
                ports.append(port)
            if len(ports) == count:
                return ports
    raise RuntimeError(f'fewer than {count} TCP ports for leafs are free')


def _wait_until_listening(ports, processes):
    """Wait until all ports accept connections; return whether they do.

    False if a leaf process ends or ``START_LIMIT_S`` passes first.
    """
    end = time.monotonic() + START_LIMIT_S
    remaining_ports = list(ports)
    while remaining_ports and time.monotonic() < end:
        if any(process.poll() is not None for process in processes):
            return False
        remaining_ports = [
            port for port in remaining_ports if not _is_listening(port)
        ]
        if remaining_ports:
            time.sleep(POLL_INTERVAL_S)
    return not remaining_ports


def _is_listening(port):
    try:
        with socket.create_connection(('127.0.0.1', port), POLL_INTERVAL_S):
            return True
    except OSError:
        return False


def main():
    """Print one JSON object for each variant and number of shards."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--shards', type=int, nargs='+', default=[10, 45, 190])
    parser.add_argument('--calls', type=int, default=6000)
    options = parser.parse_args()
    for shards in options.shards:
        for row in measure(shards, options.calls):
            print(json.dumps(row), flush=True)


if __name__ == '__main__':
    main()
