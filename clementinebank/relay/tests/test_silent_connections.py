"""Guards changes against connections that go silent for good, all at once.

Fault of issue 53: an instance tried one kept connection after the other: that
to its relay, those to the other relays and that to the store. Together their
timeouts took longer than the stable window, after which the bound on a change
holds again. New connections worked all the while.
"""

import random

import curio
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay.tests.simulation import Fleet

START_UP_S = 12.0
# Time after the fault from which the bound on a change must be kept again; it
# is longer than the bound.
STABLE_WINDOW_S = 4.0
CHANGE_AFTER_S = 0.1
# Faults in a row: only connections that were used before can go silent.
FAULTS = 6


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_change_is_in_force_a_stable_window_after_connections_went_silent(seed):
    async def run():
        fleet = Fleet(6, seed)
        await fleet.start()
        await curio.spawn(fleet.store.beat, daemon=True)
        await curio.sleep(START_UP_S)
        rng = random.Random(seed)
        for number in range(FAULTS):
            await curio.sleep(rng.uniform(5, 7))
            fleet.store.connections.silent_at = now()
            await curio.sleep(CHANGE_AFTER_S)
            value = f'v{number}'.encode()
            await fleet.store.write('op', value)
            await curio.sleep(STABLE_WINDOW_S - CHANGE_AFTER_S)
            assert not fleet.numbers_without('op', value), number

    with FakeClockKernel() as kernel:
        kernel.run(run)
