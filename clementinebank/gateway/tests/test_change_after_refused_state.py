"""Guards changes against the pause after a state that was too large.

Fault of issue 53: the state became too large for the memory of an instance for
less than a second. The instance waited 5 s before it read its feed again, so
that the next configuration came into force later than its bound.
"""

import pytest
from result import Ok

from clementinebank.gateway.tests.test_follower import (
    change_batch,
    configuration_change,
    run_updater,
    stored_state,
)
from clementinebank.relay import ChangeBatch, Entry, EntryLog, StorePosition

# Least bound on a change that a deployment has had, in seconds.
CHANGE_S = 3.0
MAX_STATE_BYTES = 8_000


@pytest.mark.parametrize('refused_count', [1, 2])
def test_change_after_a_refused_state_is_in_force_in_time(refused_count):
    large = Ok(ChangeBatch((Entry('x', bytes(9_000), 6),), StorePosition(6), 0))
    updater = run_updater(
        [stored_state(configuration_change(7))],
        [large] * refused_count + [change_batch(configuration_change(8))],
        seconds=CHANGE_S,
        log=EntryLog(max_state_bytes=MAX_STATE_BYTES),
    )
    assert updater.route_table.version == 8
    assert 'x' not in updater.entry_log.entries_by_key
