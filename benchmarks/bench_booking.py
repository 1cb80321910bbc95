"""Cost of bookings that run at most once, compared with calls without a claim.

Prints one JSON object per line:

- ``latency``: alternates bookings through ``BookingEngine`` with bare calls of
  its leaf pool, over real sockets to stand-ins in other processes, at several
  delays of the key-value service. The ratio is that of the medians. Writes and
  reads are those that the key-value service counted.
- ``unknown``: injects one fault at a random step of each booking, on the fake
  clock. The caller repeats a booking without an outcome at another instance.
  Prints the share of bookings whose first answer was missing or left the
  execution unknown, and of bookings that ran twice, with and without a claim.
"""

import argparse
import contextlib
import json
import random
import statistics
import subprocess
import sys
import tempfile
import uuid
from pathlib import Path

import curio
import yaml

from clementinebank.booking import (
    STEP_ORDER,
    BookingBudget,
    BookingEngine,
    BookingRequest,
    new_key,
)
from clementinebank.booking.tests.fakes import new_request
from clementinebank.booking.tests.simulation import run_simulation
from clementinebank.booking.tests.variants import VARIANTS
from clementinebank.clock import now, run_service, wall_time
from clementinebank.coordination import HttpKeyValueService
from clementinebank.document import parse_document
from clementinebank.errors import Execution
from clementinebank.http import json_request
from clementinebank.upstream import LeafCall
from clementinebank.validation import Address
from tests.faults.matrix import FAULTS, load_paths
from tests.harness import find_free_ports, send_request, wait_until

SERVICE = 'claim-counter'
BODY = b'{"rug": "R-17"}'
DELAYS_MS = (0, 2, 5)
DEADLINE_S = 10
SEED = 20261204


def build_sections(port):
    """Return the sections of a document with one booking service and leaf."""
    return {
        'fleet': {
            'owner': 'bench',
            'caller_delay_ms': 0,
            'data_centres': {'north-a': {'region': 'north'}},
        },
        f'service.{SERVICE}': {
            'owner': 'bench',
            'kind': 'booking',
            'slots': 6,
            'connections': 100,
            'leafs': {
                'leaf': {
                    'address': f'127.0.0.1:{port}',
                    'data_centre': 'north-a',
                }
            },
        },
    }


@contextlib.contextmanager
def stand_ins(sections, key_value_port):
    """Run the stand-ins of the key-value service and of the leaf."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory) / 'document.yaml'
        path.write_text(yaml.safe_dump(sections, sort_keys=False))
        address = f'127.0.0.1:{key_value_port}'
        commands = [
            ['standins.kv', '--listen', address],
            ['standins.leaf', '--document', path, '--service', SERVICE],
        ]
        processes = [
            subprocess.Popen([sys.executable, '-m', *map(str, command)])
            for command in commands
        ]
        try:
            yield
        finally:
            for process in processes:
                process.terminate()
                process.wait()


async def book_bare(engine):
    """Call the leaf over the engine's pool, without a claim."""
    replies = curio.Queue()
    call_id = uuid.uuid4().hex
    headers = {'request-id': call_id, 'idempotency-key': new_key(wall_time())}
    request = json_request('POST', '/v1/execute', {'rug': 'R-17'}, headers)
    deadline = now() + DEADLINE_S
    pool = engine.pools_by_leaf['leaf']
    await pool.submit(LeafCall(call_id, request, deadline, replies.put))
    reply = await replies.get()
    assert reply.outcome.unwrap().status == 200


async def book_product(engine):
    """Book through the engine, with a claim."""
    request = BookingRequest(
        uuid.uuid4().hex,
        new_key(wall_time()),
        SERVICE,
        BODY,
        now() + DEADLINE_S,
    )
    answer = await engine.book(request)
    assert answer.is_recorded


async def measure(document, port, bookings):
    """Measure both paths at each delay of the key-value service."""
    key_value = HttpKeyValueService(Address('127.0.0.1', port))
    engine = BookingEngine(
        document.services_by_name[SERVICE],
        document,
        'bench',
        'north-a',
        key_value,
        BookingBudget(1e6),
    )
    await engine.update(engine.service, document)
    for delay_ms in DELAYS_MS:
        send_request(port, 'POST', '/control', {'delay_ms': delay_ms})
        before = send_request(port, 'GET', '/calls').decoded_body
        times = {book_bare: [], book_product: []}
        for _ in range(bookings):
            for path, seconds in times.items():
                started = now()
                await path(engine)
                seconds.append(now() - started)
        after = send_request(port, 'GET', '/calls').decoded_body
        bare, product = (statistics.median(each) for each in times.values())
        report(
            'latency',
            key_value_delay_ms=delay_ms,
            bookings=bookings,
            bare_ms=round(bare * 1000, 2),
            product_ms=round(product * 1000, 2),
            ratio=round(product / bare, 2),
            writes_per_booking=_calls_per_booking(
                'PUT', before, after, bookings
            ),
            reads_per_booking=_calls_per_booking(
                'GET', before, after, bookings
            ),
        )


def _calls_per_booking(method, before, after, bookings):
    # The counts are read with a GET, which the service counts as well.
    own_calls = 1 if method == 'GET' else 0
    count = after.get(method, 0) - before.get(method, 0) - own_calls
    return round(count / bookings, 3)


def measure_unknown(injector, bookings, variant):
    """Return the shares of first answers without an outcome and of double runs.

    Parameters
    ----------
    injector : coroutine function
        Fault, injected at a random step of each booking.
    bookings : int
        Number of bookings.
    variant : dict
        Replaced parts of the booking path, or none to measure the product.
    """
    rng = random.Random(SEED)
    counts = {'unknown': 0, 'twice': 0}

    async def scenario(simulation):
        for _ in range(bookings):
            pending_steps = [rng.choice(STEP_ORDER)]

            async def on_step(instance, run, step, pending_steps=pending_steps):
                if pending_steps and pending_steps[0] is step:
                    pending_steps.clear()
                    await injector(simulation, instance, run)

            simulation.on_step = on_step
            request = new_request()
            answer = await simulation.book('a', request)
            pending_steps.clear()
            simulation.key_value.write_faults.clear()
            simulation.leaf.reply_faults.clear()
            await curio.sleep(60)
            if answer is None or not answer.outcome:
                await simulation.book('b', new_request(request.key))
            runs = [
                run for run in simulation.leaf.runs if run.key == request.key
            ]
            is_unknown = answer is None or answer.execution is Execution.UNKNOWN
            counts['unknown'] += is_unknown
            counts['twice'] += len(runs) > 1

    run_simulation(scenario, **variant)
    return {name: round(count / bookings, 3) for name, count in counts.items()}


def report(case, **figures):
    """Print one result as a JSON object."""
    print(json.dumps({'case': case, **figures}), flush=True)


def main():
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--bookings', type=int, default=300)
    options = parser.parse_args()
    ports = find_free_ports(2)
    sections = build_sections(ports[0])
    texts = {name: yaml.safe_dump(each) for name, each in sections.items()}
    document = parse_document(texts, 1).unwrap()
    with stand_ins(sections, ports[1]):
        assert wait_until(lambda: send_request(ports[1], 'GET', '/calls'))
        assert wait_until(lambda: send_request(ports[0], 'GET', '/executions'))
        run_service(measure, document, ports[1], options.bookings)
    injectors = load_paths()['booking'].injectors
    for fault in FAULTS:
        arguments = (injectors[fault], options.bookings)
        product = measure_unknown(*arguments, {})
        unclaimed = measure_unknown(*arguments, VARIANTS['unclaimed'])
        report(
            'unknown',
            fault=fault,
            bookings=options.bookings,
            product_unknown=product['unknown'],
            product_ran_twice=product['twice'],
            unclaimed_unknown=unclaimed['unknown'],
            unclaimed_ran_twice=unclaimed['twice'],
        )


if __name__ == '__main__':
    main()
