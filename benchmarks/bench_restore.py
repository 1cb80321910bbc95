"""Measure how a fleet follows a store that comes back from an older copy.

The fleet is simulated on a fake clock. In each run a version, leafs and other
keys are lost; the writers write at once again what was lost, and other keys
until the known revisions are passed. Printed are, over several seeds, the time
from the return until the last instance knows the new state, the calls to the
store in the 3 s after the return, and the bytes that instances send each other
in that time.

Each case is measured with and without the era in the answers of the store. The
bytes are also measured with whole states instead of the changes between the
eras.

Run it with ``python -m benchmarks.bench_restore``.
"""

import argparse
import statistics
from unittest import mock

import attrs
import curio

from clementinebank.clock import now
from clementinebank.relay import EntryLog
from clementinebank.relay.tests.restoring import LEASE, play

OUTAGE_S = 1.0
# Time after the return in which calls and bytes are counted.
WINDOW_S = 3.0
# Longest time for which the last instance is waited for.
LIMIT_S = 30.0
STEP_S = 0.02
LOST_WRITES = 20
# About the size of the registration of a leaf.
RECORD_BYTES = 250


@attrs.frozen
class Run:
    """Figures of one return of the store.

    Parameters
    ----------
    restored_s : float
        Time until the last instance knows the new state in seconds; infinity
        if one still doesn't after ``LIMIT_S``.
    writes, reads : int
        Calls to the store in the window.
    sent_bytes : int
        Size of the replies between instances in the window.
    """

    restored_s: float
    writes: int
    reads: int
    sent_bytes: int


async def lose(world, leafs, is_leased):
    """Let the store come back without its last writes."""
    writers = world.writers
    writers.record_bytes = RECORD_BYTES
    writers.lease = LEASE if is_leased else ''
    for number in range(leafs):
        await writers.write_leaf(f'leaf-{number}')
    copy = world.store.copy()
    await curio.sleep(WINDOW_S)
    await writers.publish()
    await writers.write_leaf('a')
    await writers.pass_revision(world.store.revision + LOST_WRITES)
    await curio.sleep(WINDOW_S)
    passed = world.store.revision
    await world.go_away(OUTAGE_S)
    await world.come_back(copy)
    await writers.publish()
    await writers.write_again(0)
    await writers.pass_revision(passed)


def measure(size, seed, era, leafs=0, is_leased=True):
    """Return the figures of one return of the store."""

    async def scenario(world):
        fleet = world.fleet
        await lose(world, leafs, is_leased)
        returned_at = now()
        writes, calls, sent = fleet.writes, fleet.calls, fleet.reply_bytes
        restored_s = float('inf')
        counted = None
        while now() < returned_at + LIMIT_S:
            await curio.sleep(STEP_S)
            elapsed_s = now() - returned_at
            if restored_s > elapsed_s and not world.differences():
                restored_s = elapsed_s
            if counted is None and elapsed_s >= WINDOW_S:
                writes = fleet.writes - writes
                reads = fleet.calls - calls - writes
                counted = (writes, reads, fleet.reply_bytes - sent)
            if counted and restored_s < elapsed_s:
                break
        return Run(restored_s, *counted)

    return play(scenario, size, seed, era)


def describe(runs):
    """Return the median and worst figures of some runs."""
    times = [each.restored_s for each in runs]
    late = sum(each > LIMIT_S for each in times)
    return (
        f'{statistics.median(times):6.2f} s {max(times):6.2f} s '
        f'{late:3d} of {len(runs)} never; most calls '
        f'{max(each.writes for each in runs):4d} writes '
        f'{max(each.reads for each in runs):5d} reads; sent '
        f'{statistics.median(each.sent_bytes for each in runs):10.0f} B'
    )


def print_returns(sizes, seeds):
    """Print the figures with and without the era."""
    print('Return of the store: median and worst time until all are restored')
    for size in sizes:
        for era in (1, None):
            runs = [measure(size, seed, era) for seed in range(seeds)]
            name = 'with era' if era else 'no era'
            print(f'{size:4d} instances, {name:8s}: {describe(runs)}')


def print_bytes(sizes, leafs, seeds):
    """Print the bytes for a large state, sent as changes and whole."""
    print(f'State of {leafs} leafs of {RECORD_BYTES} B')
    for size in sizes:
        for is_leased in (False, True):
            for is_whole in (False, True):
                runs = measure_bytes(size, leafs, seeds, is_leased, is_whole)
                kept = 'lost' if is_leased else 'in the copy'
                name = 'whole states' if is_whole else 'changes'
                print(
                    f'{size:4d} instances, leafs {kept}, {name}: '
                    f'{describe(runs)}'
                )


def measure_bytes(size, leafs, seeds, is_leased, is_whole):
    """Return the figures of some runs, with or without whole states."""
    if not is_whole:
        return [
            measure(size, seed, 1, leafs, is_leased) for seed in range(seeds)
        ]
    with mock.patch.object(
        EntryLog, '_changes_since_era', lambda log, position: None
    ):
        return measure_bytes(size, leafs, seeds, is_leased, is_whole=False)


def main():
    """Print the figures for several sizes of the fleet."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', type=int, nargs='+', default=[7, 60, 200])
    parser.add_argument('--seeds', type=int, default=10)
    parser.add_argument('--leafs', type=int, default=500)
    parser.add_argument('--byte-seeds', type=int, default=2)
    options = parser.parse_args()
    print_returns(options.sizes, options.seeds)
    print_bytes(options.sizes, options.leafs, options.byte_seeds)


if __name__ == '__main__':
    main()
