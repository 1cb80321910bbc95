"""Tests of the extra-load budget and of the rendezvous subsets.

They guard against a budget that allows more extra requests than its ratio, and
against subsets that grow, are spread unevenly or change in more than one place
when one candidate is removed.
"""

from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebank.routing import ExtraLoadBudget, rendezvous_subset
from clementinebank.routing import _subset as subset_module

STEPS = st.lists(st.sampled_from([0, 1, 1, 2, 10]), max_size=400)


def _spend_and_check(steps):
    """Run the steps and check the bound on extra requests after each.

    A step of 0 stands for 20 shard requests, another number for so many extra
    requests that are spent if there are enough tokens.
    """
    budget = ExtraLoadBudget(0.05)
    for step in steps:
        if step:
            budget.spend(step, 'r')
        else:
            for _ in range(20):
                budget.on_request()
        assert budget.extra_requests <= 0.05 * budget.requests + 1e-6


@settings(derandomize=True, database=None)
@given(STEPS)
def test_extra_load_never_exceeds_its_share(steps):
    _spend_and_check(steps)


def test_budget_that_never_runs_out_is_caught():
    with mock.patch.object(ExtraLoadBudget, '_has_tokens', lambda *_: True):
        with pytest.raises(AssertionError):
            _spend_and_check([1])


def test_budget_saves_no_more_than_its_capacity():
    budget = ExtraLoadBudget(0.05, capacity=3)
    for _ in range(1000):
        budget.on_request()
    assert [budget.spend(1, 'r') for _ in range(4)] == [True] * 3 + [False]


INSTANCES = [f'entry-{number}' for number in range(40)]
LEAFS = [f'leaf-{number}' for number in range(300)]


def _check_subsets():
    before = {leaf: rendezvous_subset(leaf, INSTANCES, 6) for leaf in LEAFS}
    for leaf in LEAFS:
        assert set(rendezvous_subset(leaf, INSTANCES[::-1], 6)) == set(
            before[leaf]
        )
        after = rendezvous_subset(leaf, INSTANCES[1:], 6)
        assert len(set(after) - set(before[leaf])) <= 1
    uses = [
        sum(instance in subset for subset in before.values())
        for instance in INSTANCES
    ]
    # 300 leafs times 6 over 40 instances is 45 on average.
    assert min(uses) > 15
    assert max(uses) < 90


def test_subset_is_bounded_stable_and_spread():
    _check_subsets()
    assert rendezvous_subset('leaf', INSTANCES[:2], 6) != ()
    assert len(rendezvous_subset('leaf', INSTANCES, 6)) == 6


def test_subset_that_ignores_the_key_is_caught():
    weight = mock.patch.object(
        subset_module, '_weight', lambda key, candidate: candidate
    )
    with weight, pytest.raises(AssertionError):
        _check_subsets()
