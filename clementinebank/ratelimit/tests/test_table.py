"""Guards the table of limits against many limited leafs.

Leafs that once named a limit must not keep out those that name one now, and
limits of leafs that this instance doesn't call must cost next to nothing.
"""

import random
import time

import pytest

from clementinebank.ratelimit import (
    LimitStatement,
    LimitTable,
    NamedLimit,
    WaitingRequests,
    equal_share,
)
from clementinebank.ratelimit._table import MAX_LEAFS

NOW = 1000.0
# Checks of the demand a second, while a leaf is limited.
CHECKS_PER_S = 50
# Share of a core that an instance may spend on control in all.
MAX_CONTROL_SHARE = 0.032


def make_table(**options):
    return LimitTable(equal_share(195), rng=random.Random(1), **options)


def name_limits(table, count, per_s=5.0, at=NOW):
    for number in range(count):
        table.on_named(f'leaf-{number}', NamedLimit(per_s), at, at)


def test_ended_limits_leave_room_for_new_ones():
    table = make_table()
    name_limits(table, MAX_LEAFS)
    name_limits(table, MAX_LEAFS, per_s=None, at=NOW + 1)
    assert table.limited_count == 0
    table.on_named('new', NamedLimit(5.0), NOW + 2, NOW + 2)
    assert table.limit_of('new') is not None


def test_number_of_limits_is_bounded():
    """Other instances could name any number of leafs."""
    table = make_table()
    table.merge(
        [
            LimitStatement(f'leaf-{number}', 5.0, NOW)
            for number in range(2 * MAX_LEAFS)
        ],
        NOW,
    )
    assert table.limited_count == MAX_LEAFS


def check_cost_s(table):
    """Return the processor time of the checks of one second, in seconds."""
    table.wanted_by_leaf(NOW)
    for leaf_id in table.limits_by_leaf:
        table.use_coordinator(leaf_id)
    table.wanted_by_leaf(NOW)
    begin = time.process_time()
    for check in range(CHECKS_PER_S):
        at = NOW + 2 + check / CHECKS_PER_S
        assert not any(table.wanted_by_leaf(at).values())
        assert table.limited_count or table.limits_by_leaf
    return time.process_time() - begin


@pytest.mark.parametrize('per_s', [5.0, None])
def test_limits_of_leafs_without_calls_cost_little(per_s):
    """The bound is a quarter of what all control together may cost."""
    table = make_table()
    name_limits(table, MAX_LEAFS)
    name_limits(table, MAX_LEAFS, per_s=per_s, at=NOW + 1)
    assert check_cost_s(table) < MAX_CONTROL_SHARE / 4


@pytest.mark.parametrize('has_waiting', [False, True])
def test_demand_for_an_idle_leaf_asks_for_tokens(has_waiting):
    count = 0
    table = make_table(waiting=lambda: [WaitingRequests(['leaf-7'], count)])
    name_limits(table, 20)
    for leaf_id in table.limits_by_leaf:
        table.use_coordinator(leaf_id)
    later = NOW + 10
    for _ in range(3):
        assert not any(table.wanted_by_leaf(later).values())
    if has_waiting:
        count = 1
    else:
        table.on_missed('leaf-7', later, is_waiting=False)
    assert table.wanted_by_leaf(later)['leaf-7'] == 1


def test_share_of_an_idle_leaf_ends_when_a_coordinator_is_found():
    """A share that is earned beside its tokens would exceed the limit."""
    table = make_table()
    name_limits(table, 20)
    for _ in range(3):
        wanted_by_leaf = table.wanted_by_leaf(NOW + 10)
    assert wanted_by_leaf.keys() == table.limits_by_leaf.keys()
