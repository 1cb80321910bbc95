"""Guards changes against a watch of the store that is silent for good.

Fault of issue 53: the relays were lost, so the other instances watched the
store themselves. Their connections to it went silent, and they waited for the
end of a long watch, longer than the stable window after which the bound on a
change holds again, and then for the pause after a failure of the store. Changes
after the window were late, too. New connections worked all the while.
"""

import random

import curio
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.relay.tests.simulation import MAX_CHANGE_DELAY_S, Fleet

START_UP_S = 12.0
# Time after the fault from which the bound on a change must be kept again; it
# is longer than the bound.
STABLE_WINDOW_S = 4.0


@pytest.mark.parametrize('change_after_s', [0.1, STABLE_WINDOW_S])
@pytest.mark.parametrize('seed', [1, 2, 3])
def test_change_is_in_force_in_time_after_a_watch_went_silent(
    seed, change_after_s
):
    async def run():
        fleet = Fleet(6, seed)
        await fleet.start()
        await curio.spawn(fleet.store.beat, daemon=True)
        await curio.sleep(START_UP_S)
        lost = fleet.relays
        for relay in lost:
            await relay.kill()
        # Their registrations still exist, and nobody has followed them yet.
        await curio.sleep(random.Random(seed).uniform(0.5, 5))
        fleet.store.connections.silent_at = now()
        await curio.sleep(change_after_s)
        await fleet.store.write('op', b'v1')
        window_left_s = STABLE_WINDOW_S - change_after_s
        await curio.sleep(max(MAX_CHANGE_DELAY_S, window_left_s))
        assert not fleet.numbers_without('op', b'v1', lost)

    with FakeClockKernel() as kernel:
        kernel.run(run)
