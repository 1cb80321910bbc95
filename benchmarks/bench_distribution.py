"""Compare the distribution of documents through peers with plain polling.

Run with ``python -m benchmarks.bench_distribution``. Instances run on the
fake clock in one process; messages are encoded to count their bytes, and the
processor time of all instances is divided by their number and the simulated
time. With the policy ``product`` the instances exchange changes with each
other; with ``plain`` each instance reads the whole document from the key-value
service once a second. Prints JSON lines: one per case, the ratios of each pair,
then the slopes.
"""

import argparse
import json
import random
import sys
import time

import attrs
import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.distribution import DocumentState
from clementinebank.distribution.tests.network import (
    Network,
    first_head,
    with_service_change,
)
from clementinebank.document import DOCUMENT_KEY, decode_head
from clementinebank.membership import Member, MemberReport, MembershipView
from clementinebank.peer import decode_message, encode_message
from clementinebank.validation import Address

COUNTS = (7, 30, 100, 200)
SIZES_BYTES = (10_000, 100_000, 900_000)
SIZE_CASES_COUNT = 7
WARM_UP_S = 10
MEASURED_S = 20
CHANGE_INTERVAL_S = 5
POLL_INTERVAL_S = 1
# Limit of the wait for a change to be in force at all instances.
CHANGE_TIMEOUT_S = 60
TARGET_INSTANCES = 3700
SECTION_BYTES = 10_000


def document_of(size_bytes):
    """Return a document head of about the given size.

    Its sections of about 10 KB each consist mostly of one long comment.
    """
    head = first_head()
    count = max(1, size_bytes // SECTION_BYTES)
    for number in range(count):
        head = padded(head, f'padded-{number}', 100)
    return head


def padded(head, name, deadline_ms):
    """Return a head with a changed section, padded to about 10 KB."""
    head = with_service_change(head, name, deadline_ms)
    section = head.sections_by_name[f'service.{name}']
    padding = '# ' + 'x' * (SECTION_BYTES - len(section.text)) + '\n'
    sections = dict(head.sections_by_name)
    sections[f'service.{name}'] = attrs.evolve(
        section, text=section.text + padding
    )
    return attrs.evolve(head, sections_by_name=sections)


@attrs.define
class MessageMeter:
    """Counter of the bytes of encoded messages."""

    sent: int = 0

    def count_message(self, message):
        """Count an encoded message and return it decoded."""
        payload = encode_message(message)
        self.sent += len(payload)
        return decode_message(payload)


@attrs.define
class Usage:
    """Totals since the start of a run, as they stand at one point of it.

    Parameters
    ----------
    cpu_s : float
        Processor time of the process in seconds.
    read_at : float
        Simulated time of the reading in seconds.
    sent : int
        Bytes of the messages.
    calls : int
        Calls of the key-value service.
    """

    cpu_s: float
    read_at: float
    sent: int
    calls: int


def read_usage(meter, key_value):
    """Return the totals at this point of the run."""
    calls = sum(key_value.calls.values())
    return Usage(time.process_time(), now(), meter.sent, calls)


async def change_and_wait(key_value, is_reached, head, end):
    """Store changed documents until ``end``; return their times in seconds.

    The time of a change is how long it takes until ``is_reached`` is true for
    its revision, at most ``CHANGE_TIMEOUT_S``.
    """
    delays = []
    number = 0
    while now() < end:
        number += 1
        head = padded(head, 'padded-0', 100 + number)
        await key_value.store(head)
        start = now()
        while (
            not is_reached(head.revision) and now() - start < CHANGE_TIMEOUT_S
        ):
            await curio.sleep(0.02)
        delays.append(now() - start)
        await curio.sleep(max(0, start + CHANGE_INTERVAL_S - now()))
    return delays


def report(policy, count, size_bytes, delays, before, after):
    elapsed_s = after.read_at - before.read_at
    per_instance_s = count * elapsed_s
    return {
        'benchmark': 'distribution',
        'policy': policy,
        'instances': count,
        'document_bytes': size_bytes,
        'changes': len(delays),
        'in_force_s_max': round(max(delays), 3),
        'in_force_s_mean': round(sum(delays) / len(delays), 3),
        'bytes_per_instance_s': round(
            (after.sent - before.sent) / per_instance_s
        ),
        'cpu_share_per_instance': round(
            (after.cpu_s - before.cpu_s) / per_instance_s, 5
        ),
        'service_calls_per_s': round(
            (after.calls - before.calls) / elapsed_s, 2
        ),
    }


async def run_product(count, size_bytes):
    """Measure the distribution through peers.

    Each message, in either direction of an exchange, is counted once, at its
    sender.
    """
    meter = MessageMeter()
    network = Network(count=count, on_message=meter.count_message)
    head = document_of(size_bytes)
    await network.start(head)
    await curio.sleep(WARM_UP_S)
    before = read_usage(meter, network.key_value)
    delays = await change_and_wait(
        network.key_value,
        lambda revision: all(n.revision >= revision for n in network.nodes),
        head,
        now() + MEASURED_S,
    )
    after = read_usage(meter, network.key_value)
    await network.stop()
    return report('product', count, size_bytes, delays, before, after)


async def run_polling(count, size_bytes):
    """Measure instances that read the whole document once a second."""
    meter = MessageMeter()
    network = Network(count=count)
    network.rng = random.Random(network.seed)
    head = document_of(size_bytes)
    await network.key_value.store(head)
    states = [DocumentState() for _ in range(count)]
    key_value_client = network.add(0).key_value

    async def poll(state):
        await curio.sleep(network.rng.random() * POLL_INTERVAL_S)
        while True:
            entry = (await key_value_client.read(DOCUMENT_KEY)).ok_value
            meter.sent += len(entry.value)
            state.apply(decode_head(entry.value), 'service')
            await curio.sleep(POLL_INTERVAL_S)

    tasks = [await curio.spawn(poll, state) for state in states]
    await curio.sleep(2 * POLL_INTERVAL_S)
    before = read_usage(meter, network.key_value)
    delays = await change_and_wait(
        network.key_value,
        lambda revision: all(s.revision >= revision for s in states),
        head,
        now() + MEASURED_S,
    )
    after = read_usage(meter, network.key_value)
    for task in tasks:
        await task.cancel()
    return report('plain', count, size_bytes, delays, before, after)


def ratios(product, plain):
    """Return the ratios of the figures of the product to those of polling."""
    names = (
        'in_force_s_mean',
        'bytes_per_instance_s',
        'cpu_share_per_instance',
        'service_calls_per_s',
    )
    ratios_by_name = {
        name: round(product[name] / plain[name], 4)
        for name in names
        if plain[name]
    }
    return {
        'benchmark': 'distribution',
        'ratio': 'product/plain',
        'instances': product['instances'],
        'document_bytes': product['document_bytes'],
        **ratios_by_name,
    }


def view_cost(count):
    """Return the processor share of the membership view of one instance.

    Each round repeats the calls on the view that an instance makes in a
    second.
    """
    address = Address('127.0.0.1', 1)
    view = MembershipView(Member('i0', 1, address, 'd0'), random.Random(1))
    members = [
        Member(f'i{number}', 1, address, f'd{number % 10}')
        for number in range(1, count)
    ]
    view.merge([MemberReport(each, 0) for each in members], 100)
    round_count = 20
    start = time.process_time()
    for number in range(round_count):
        at = 100 + number
        view.advance_heartbeat(1, at)
        view.hears_majority(at)
        view.choose_peers(1, at)
        view.choose_peers(3, at)
        view.reading_sources(at)
        view.watchers('d0', at)
        view.watchers('d0', at)
        for _ in range(4):
            reports = view.choose_reports(at)
            view.digest()
            view.merge(reports, at)
    return {
        'benchmark': 'membership_view',
        'members': count,
        'cpu_share': round((time.process_time() - start) / round_count, 5),
    }


def slope(rows, by, name):
    """Return the least-squares slope of a value over another one."""
    xs = [row[by] for row in rows]
    ys = [row[name] for row in rows]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    sum_of_squares = sum((x - mean_x) ** 2 for x in xs)
    sum_of_products = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True)
    )
    return sum_of_products / sum_of_squares


def emit(row):
    sys.stdout.write(json.dumps(row) + '\n')
    sys.stdout.flush()


def run_case(count, size_bytes):
    """Measure both policies, print their figures and return the product's."""
    rows = []
    for runner in (run_product, run_polling):
        with FakeClockKernel() as kernel:
            rows.append(kernel.run(runner, count, size_bytes))
        emit(rows[-1])
    emit(ratios(*rows))
    return rows[0]


def emit_slopes(rows, by):
    for name in (
        'in_force_s_max',
        'bytes_per_instance_s',
        'cpu_share_per_instance',
        'service_calls_per_s',
    ):
        emit(
            {
                'benchmark': 'distribution',
                'slope_of': name,
                'per': by,
                'slope': float(f'{slope(rows, by, name):.4g}'),
            }
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--max-instances', type=int, default=max(COUNTS))
    options = parser.parse_args()
    counts = [each for each in COUNTS if each <= options.max_instances]
    by_count = [run_case(count, SIZES_BYTES[0]) for count in counts]
    by_size = [run_case(SIZE_CASES_COUNT, size) for size in SIZES_BYTES]
    if len(by_count) > 1:
        emit_slopes(by_count, 'instances')
    emit_slopes(by_size, 'document_bytes')
    views = [view_cost(count) for count in (100, 1000, TARGET_INSTANCES)]
    for row in views:
        emit(row)
    emit(
        {
            'benchmark': 'membership_view',
            'slope_of': 'cpu_share',
            'per': 'members',
            'slope': float(f'{slope(views, "members", "cpu_share"):.4g}'),
        }
    )


if __name__ == '__main__':
    main()
