"""Compare bookings that write a claim with bookings that write none.

The claim, a record in the key-value service, makes a booking run at most once.
Prints one JSON object per line, of two cases:

- ``latency``: alternates bookings through ``BookingEngine`` (``product``) with
  direct calls of its leaf pool (``bare``), over real sockets to stand-ins in
  other processes, for several reply delays of the key-value service. The ratio
  is that of the median latencies. The key-value service counts the writes and
  reads.
- ``unknown``: simulates bookings on a fake clock and injects one fault at a
  random step of each. The caller repeats a booking whose first answer had no
  outcome at another instance. Prints, with a claim (``product``) and without
  (``unclaimed``), the share of bookings whose first answer was missing or left
  unknown whether the booking ran, and of those that ran more than once.
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


def build_sections(leaf_port):
    """Return document sections with one booking service that has one leaf."""
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
                    'address': f'127.0.0.1:{leaf_port}',
                    'data_centre': 'north-a',
                }
            },
        },
    }


@contextlib.contextmanager
def stand_ins(sections, key_value_port):
    """Run the stand-ins of the key-value service and the leaf in the block."""
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


async def call_leaf(engine):
    """Execute one booking directly over the engine's leaf pool, unclaimed."""
    replies = curio.Queue()
    call_id = uuid.uuid4().hex
    headers = {'request-id': call_id, 'idempotency-key': new_key(wall_time())}
    request = json_request('POST', '/v1/execute', {'rug': 'R-17'}, headers)
    deadline = now() + DEADLINE_S
    pool = engine.pools_by_leaf['leaf']
    await pool.submit(LeafCall(call_id, request, deadline, replies.put))
    reply = await replies.get()
    assert reply.outcome.unwrap().status == 200


async def book_with_claim(engine):
    """Execute one booking through the engine, which writes a claim."""
    request = BookingRequest(
        uuid.uuid4().hex,
        new_key(wall_time()),
        SERVICE,
        BODY,
        now() + DEADLINE_S,
    )
    answer = await engine.book(request)
    assert answer.is_recorded


async def measure_latency(document, key_value_port, bookings):
    """Print the latency with and without a claim for each key-value delay."""
    key_value = HttpKeyValueService(Address('127.0.0.1', key_value_port))
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
        send_request(key_value_port, 'POST', '/control', {'delay_ms': delay_ms})
        before = send_request(key_value_port, 'GET', '/calls').decoded_body
        latencies_by_function = {call_leaf: [], book_with_claim: []}
        for _ in range(bookings):
            for function, latencies_s in latencies_by_function.items():
                started = now()
                await function(engine)
                latencies_s.append(now() - started)
        after = send_request(key_value_port, 'GET', '/calls').decoded_body
        bare, product = (
            statistics.median(each) for each in latencies_by_function.values()
        )
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
    # Reading the counts is itself a GET, which the service counts.
    own_calls = 1 if method == 'GET' else 0
    count = after.get(method, 0) - before.get(method, 0) - own_calls
    return round(count / bookings, 3)


def measure_fault_effects(injector, bookings, variant):
    """Simulate bookings with one fault each and return the shares affected.

    Parameters
    ----------
    injector : coroutine function
        Injects the fault; called at most once per booking, before a random
        step.
    bookings : int
        Number of bookings.
    variant : dict
        Arguments of ``run_simulation`` that replace parts of the booking code;
        empty to measure the product.

    Returns
    -------
    dict
        ``unknown``: share of bookings whose first answer was missing or left
        unknown whether the booking ran. ``twice``: share of bookings that the
        leaf ran more than once, repeats by the caller included.
    """
    rng = random.Random(SEED)
    counts = {'unknown': 0, 'twice': 0}

    async def scenario(simulation):
        for _ in range(bookings):
            # Emptied when the attempt reaches the step, so that the fault is
            # injected once, or else after the first answer.
            pending_steps = [rng.choice(STEP_ORDER)]

            async def on_step(instance, run, step, pending_steps=pending_steps):
                if pending_steps and pending_steps[0] is step:
                    pending_steps.clear()
                    await injector(simulation, instance, run)

            simulation.on_step = on_step
            request = new_request()
            answer = await simulation.book('a', request)
            pending_steps.clear()
            # Faults that no call met must not affect the repeated booking.
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
    """Print the latencies, then the effects of each fault."""
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
        run_service(measure_latency, document, ports[1], options.bookings)
    injectors = load_paths()['booking'].injectors
    for fault in FAULTS:
        arguments = (injectors[fault], options.bookings)
        product = measure_fault_effects(*arguments, {})
        unclaimed = measure_fault_effects(*arguments, VARIANTS['unclaimed'])
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
