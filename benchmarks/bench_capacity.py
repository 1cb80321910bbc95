"""Measure how memory, document size and probe time grow with the fleet.

The figures are those of docs/CAPACITY.md. Run with
``python -m benchmarks.bench_capacity``. Prints one JSON object per line: a
quantity, the unit of its slope, the two sizes at which it was measured (numbers
of members, leafs or traces) and the slope between them; for the claim record,
only its size. Memory is measured with tracemalloc. The processor time of the
status probes is that of this process, which probes leaf stand-ins in other
processes.
"""

import argparse
import json
import time
import tracemalloc
from pathlib import Path

import curio
import yaml

from benchmarks.bench_throughput import (
    _wait_until_listening,
    build_sections,
    leaf_processes,
)
from clementinebank.booking import ClaimRecord
from clementinebank.clock import run_service
from clementinebank.document import parse_document
from clementinebank.membership import Member, MemberReport, MembershipView
from clementinebank.routing import Router
from clementinebank.search import SearchEngine, SnapshotCatalogue
from clementinebank.server._traces import RequestTrace, TraceLog
from clementinebank.upstream import LeafPool, ServedSnapshot
from clementinebank.validation import Address
from tests.harness import find_free_ports, wait_until

DATA_CENTRES = 10
PROBE_SECONDS = 10
EXAMPLES = Path(__file__).parent.parent / 'examples'
DIGEST_CHARACTERS = 64


def allocated_bytes(build):
    """Return how many bytes of memory the result of a function occupies."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert built is not None
    return after - before


def print_slope(quantity, unit, small, large, measure):
    """Print by how much a quantity grows per member, leaf or trace.

    Parameters
    ----------
    quantity : str
        Name of the quantity.
    unit : str
        Unit of the slope.
    small : int
        Smaller number of members, leafs or traces.
    large : int
        Larger number of them.
    measure : callable
        Returns the value of the quantity for such a number.
    """
    small_value, large_value = measure(small), measure(large)
    line = {
        'quantity': quantity,
        'unit': unit,
        'sizes': [small, large],
        'slope': float(f'{(large_value - small_value) / (large - small):.3g}'),
    }
    print(json.dumps(line), flush=True)


def build_view(count):
    """Return a membership view with ``count`` members, itself included."""
    members = [
        Member(
            f'entry-{number:05d}',
            1_800_000_000_000 + number,
            Address('127.0.0.1', 1024 + number % 60_000),
            f'data-centre-{number % DATA_CENTRES}',
        )
        for number in range(count)
    ]
    view = MembershipView(members[0])
    for member in members[1:]:
        view.merge((MemberReport(member, 0),), 1000)
    return view


def build_routing(count):
    """Return the router and the leaf pools of a service with ``count`` leafs.

    The pools have no connections.
    """
    document = build_document(count)
    service = document.services_by_name['catalogue']
    pools = [LeafPool(leaf, 3) for leaf in service.leafs_by_id.values()]
    return Router(service), pools


def build_document(count):
    """Return a parsed document of one search service with ``count`` leafs."""
    sections = build_sections([1024 + each for each in range(count)])
    texts = {name: yaml.safe_dump(part) for name, part in sections.items()}
    return parse_document(texts, 1).unwrap()


def build_snapshot_catalogue(count):
    """Return a snapshot catalogue and its partition maps.

    It has one snapshot, of which each of ``count`` leafs, in a group of its
    own, serves two partitions.
    """
    catalogue = SnapshotCatalogue()
    for number in range(count):
        partitions = (2 * number, 2 * number + 1)
        served = ServedSnapshot('s-1', 1, 2 * count, partitions)
        catalogue.set_leaf_snapshots(
            f'leaf-{number}', f'group-{number}', (served,)
        )
    return catalogue, catalogue.partition_maps()


def build_traces(count):
    """Return a trace log with ``count`` request traces without events."""
    log = TraceLog(count)
    for number in range(count):
        log.add(
            RequestTrace(
                f'request-{number}', 'pickup-desk', 1.0, 5.0, 'answered', 200
            )
        )
    return log


def document_bytes(count):
    """Return the bytes of the YAML text of a document with ``count`` leafs."""
    sections = build_sections([10_000 + each for each in range(count)])
    return len(yaml.safe_dump(sections, sort_keys=False))


def claim_bytes():
    """Return the encoded size in bytes of a claim record without an outcome."""
    record = ClaimRecord(
        key='019af0a0-0000-7000-8000-000000000000',
        service='claim-counter',
        digest='0' * DIGEST_CHARACTERS,
        attempt_id='0' * 32,
        instance_id='entry-1',
        claimed_at=1_800_000_000.0,
    )
    return len(record.encode())


def probe_cpu_share(count):
    """Return the share of one core that probing ``count`` leafs takes."""
    ports = find_free_ports(count)
    sections = build_sections(ports)
    texts = {name: yaml.safe_dump(part) for name, part in sections.items()}
    document = parse_document(texts, 1).unwrap()
    with leaf_processes(sections):
        if not wait_until(lambda: _wait_until_listening(ports)):
            raise RuntimeError('some leafs did not start to listen')
        return run_service(_measure_probe_cpu_share, document)


async def _measure_probe_cpu_share(document):
    service = document.services_by_name['catalogue']
    engine = SearchEngine(service, document, 'north-a')
    await engine.start()
    await curio.sleep(2)
    started = time.process_time()
    await curio.sleep(PROBE_SECONDS)
    return (time.process_time() - started) / PROBE_SECONDS


def main():
    """Print all slopes and the size of a claim record."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    # Load and cache what is allocated only once, before memory is measured.
    build_view(10)
    build_routing(10)

    def bytes_of(build):
        return lambda size: allocated_bytes(lambda: build(size))

    print_slope('view', 'bytes per member', 200, 3700, bytes_of(build_view))
    print_slope(
        'leaf state', 'bytes per leaf', 100, 2000, bytes_of(build_routing)
    )
    print_slope(
        'document', 'bytes per leaf', 100, 2000, bytes_of(build_document)
    )
    print_slope(
        'catalogue',
        'bytes per leaf',
        100,
        2000,
        bytes_of(build_snapshot_catalogue),
    )
    print_slope('traces', 'bytes per trace', 100, 1000, bytes_of(build_traces))
    print_slope('document text', 'bytes per leaf', 100, 2000, document_bytes)
    print(json.dumps({'quantity': 'claim record', 'bytes': claim_bytes()}))
    print_slope(
        'status probe', 'core seconds per leaf', 20, 120, probe_cpu_share
    )


if __name__ == '__main__':
    main()
