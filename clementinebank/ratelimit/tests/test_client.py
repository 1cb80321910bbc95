"""Guards many limited leafs against the bound of a message.

A message carries the statements of a limited number of leafs. Limits beyond
that must reach the coordinator too, or their leafs get no requests at all.
"""

import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.ratelimit import NamedLimit
from clementinebank.ratelimit._messages import MAX_STATEMENTS
from clementinebank.ratelimit.tests.simulation import Fleet

LEAF_COUNT = 3 * MAX_STATEMENTS // 2 + 1


def run_pair(begin):
    """Run a coordinator and another instance for a second; return both."""

    async def run():
        fleet = Fleet(size=2, demands_per_s=(), per_s=5.0)
        await fleet.start()
        begin(fleet.instances[1].table)
        await curio.sleep(1)
        return fleet.instances

    with FakeClockKernel() as kernel:
        return kernel.run(run)


def name_limits(table):
    for number in range(LEAF_COUNT):
        table.on_named(f'many-{number}', NamedLimit(5.0), now(), now())


def want_tokens(table):
    name_limits(table)
    for leaf_id in table.limits_by_leaf:
        table.use_coordinator(leaf_id)
        table.on_missed(leaf_id, now(), is_waiting=False)


def test_all_limits_that_begin_reach_the_relay():
    coordinator, _ = run_pair(name_limits)
    assert coordinator.table.limited_count == LEAF_COUNT


def test_tokens_of_many_leafs_are_granted():
    coordinator, _ = run_pair(want_tokens)
    granted = coordinator.service.coordinator.buckets_by_leaf
    assert len(granted) == LEAF_COUNT
