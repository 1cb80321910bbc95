"""Replays load patterns on the decisions of forwarding.

Each pattern of ``bench_overload`` must give at least nine tenths of what the
leafs could have given, and three quarters in its worst two seconds, in which
the trouble begins and nothing is known of it yet. Extra calls must stay within
the ratio of the deployments, a fifth of the calls.
"""

import pytest

from benchmarks.bench_overload import (
    PATTERNS_BY_NAME,
    oracle_credit,
    replay_pattern,
    summarize,
    worst_window,
)
from clementinebank.routing import Router

SEEDS = (1, 2, 3, 4)
MIN_SHARE_OF_BOUND = 0.9
MIN_SHARE_OF_BOUND_IN_WORST_WINDOW = 0.75
MAX_EXTRA_CALLS = 0.2


def _shares_of_bound(name):
    """Return the shares of the bound over all runs and in worst windows."""
    replays = [replay_pattern(name, seed) for seed in SEEDS]
    credit = sum(summarize(each.outcomes, each.load) for each in replays)
    bound = sum(map(oracle_credit, replays))
    worst = [worst_window(each) for each in replays]
    worst_credit = sum(credit for credit, _ in worst)
    worst_bound = sum(bound for _, bound in worst)
    return credit / bound, worst_credit / worst_bound


@pytest.mark.parametrize('name', PATTERNS_BY_NAME)
def test_pattern_gives_most_of_what_the_leafs_could_give(name):
    whole, worst = _shares_of_bound(name)
    assert whole >= MIN_SHARE_OF_BOUND
    assert worst >= MIN_SHARE_OF_BOUND_IN_WORST_WINDOW


@pytest.mark.parametrize('name', PATTERNS_BY_NAME)
def test_pattern_stays_within_the_extra_calls(name):
    replay = replay_pattern(name, SEEDS[0])
    first_calls = len(replay.outcomes) * replay.load.shards
    assert replay.calls / first_calls - 1 <= MAX_EXTRA_CALLS


def test_every_request_ends_once_by_its_time_limit():
    replay = replay_pattern('third hangs', SEEDS[0])
    longest_s = max(each.elapsed_s for each in replay.outcomes)
    assert longest_s <= replay.load.timeout_s


def test_control_leafs_that_hang_are_known_only_after_their_calls(monkeypatch):
    """Without the report of overdue calls the worst seconds miss the bound."""
    monkeypatch.setattr(Router, 'on_overdue', lambda *arguments: None)
    _, worst = _shares_of_bound('third hangs')
    assert worst < MIN_SHARE_OF_BOUND_IN_WORST_WINDOW
