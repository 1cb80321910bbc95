"""Guards changes against relays that are all silent at once.

Fault of issue 53: the links between the instances were cut, while each of them
reached the store. An instance waits for one relay after the other before it
asks the store, so with the relays of many data centres a change came into force
later than its bound.
"""

import curio
import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.relay.tests.simulation import MAX_CHANGE_DELAY_S, Fleet

START_UP_S = 12.0
# Moments of the changes, spread over the rounds in which relays are asked.
INTERVALS_S = (0.1, 0.7, 1.3, 1.9, 2.5)


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('data_centres', [3, 6])
def test_change_is_in_force_although_every_relay_is_silent(data_centres, seed):
    async def run():
        fleet = Fleet(2 * data_centres, seed, data_centres=data_centres)
        await fleet.start()
        await curio.sleep(START_UP_S)
        for instance in fleet.instances:
            # The store still answers.
            instance.is_cut = True
        for number, interval_s in enumerate(INTERVALS_S):
            await curio.sleep(interval_s)
            value = f'v{number}'.encode()
            await fleet.store.write('op', value)
            await curio.sleep(MAX_CHANGE_DELAY_S)
            assert not fleet.numbers_without('op', value)

    with FakeClockKernel() as kernel:
        kernel.run(run)
