"""Answers under load patterns, against what the leafs could have given.

``python -m benchmarks.bench_overload [--seeds N]`` replays each pattern on the
decisions of one aggregator and prints, as means over seeds:

- credit: the square of the share of the shards, a tenth of it for late answers;
- bound: the same for an oracle that knows which shards have no leaf that can
  answer in time, and loses nothing else;
- worst: the credit of the worst two seconds;
- p50 and p99 of the time to an answer, in milliseconds;
- refused: the time to a refusal at p99, in milliseconds;
- extra: calls beyond the first of each shard, per call.

The runs are seeded; they take no real time beyond the computation.
"""

import argparse
import random
from collections.abc import Callable
from math import inf

import attrs

from benchmarks.load_replay import (
    REPLICAS,
    Load,
    Replay,
    Trouble,
    choose_leafs,
    summarize,
)

TROUBLE_START_S = 2.0
TROUBLE_END_S = 10.0
WINDOW_S = 2.0
# A leaf that is slower than this multiple of its usual time can't answer within
# the objective of the load.
LATE_FACTOR = 8.0
MS_PER_S = 1000

PATTERNS_BY_NAME: dict[str, Callable[[Replay], tuple[Trouble, ...]]] = {}
LOADS_BY_NAME: dict[str, Load] = {}


def pattern(name, load=Load()):
    """Register the troubles of a load pattern under its name."""

    def register(create_troubles):
        PATTERNS_BY_NAME[name] = create_troubles
        LOADS_BY_NAME[name] = load
        return create_troubles

    return register


def _share_in_trouble(replay, share, factor):
    leaf_ids = choose_leafs(replay, share, replay.seed)
    return (Trouble(TROUBLE_START_S, TROUBLE_END_S, leaf_ids, factor),)


@pattern('calm')
def _calm(replay):
    return ()


@pattern('burst of 1.8', Load(requests_per_s=8 * 1.8))
def _burst(replay):
    return ()


@pattern('sixth slow x6')
def _sixth_slow(replay):
    return _share_in_trouble(replay, 1 / 6, 6)


@pattern('third slow x10')
def _third_slow(replay):
    return _share_in_trouble(replay, 1 / 3, 10)


@pattern('sixth hangs')
def _sixth_hangs(replay):
    return _share_in_trouble(replay, 1 / 6, inf)


@pattern('third hangs')
def _third_hangs(replay):
    return _share_in_trouble(replay, 1 / 3, inf)


@pattern('shard dark')
def _shard_dark(replay):
    leaf_ids = frozenset(
        f'{replay.services[0]}-{number}@1' for number in range(REPLICAS)
    )
    return (Trouble(TROUBLE_START_S, TROUBLE_END_S, leaf_ids, inf),)


@pattern('burst and third slow x10', Load(requests_per_s=8 * 1.8))
def _burst_and_slow(replay):
    return _share_in_trouble(replay, 1 / 3, 10)


@attrs.frozen
class Report:
    """Figures of one pattern, means over its seeds."""

    name: str
    credit: float
    bound: float
    worst: float
    p50_ms: float
    p99_ms: float
    refused_ms: float
    extra: float


def replay_pattern(name, seed):
    """Return the replay of a pattern after its run."""
    replay = Replay(LOADS_BY_NAME[name], seed=seed)
    replay.troubles = PATTERNS_BY_NAME[name](replay)
    replay.run()
    return replay


def oracle_credit(replay, start_s=0.0, end_s=inf):
    """Return the credit without a loss beyond shards that can't answer."""
    load = replay.load
    credits = []
    for outcome in replay.outcomes:
        if not start_s <= outcome.arrived_s < end_s:
            continue
        share = 1 - _dark_shards(replay, outcome.arrived_s) / load.shards
        credits.append(share**2 if share >= load.min_share else 0)
    return sum(credits) / max(1, len(credits))


def _dark_shards(replay, at_s):
    """Return how many shards have no leaf that can answer in time."""
    troubled = {
        leaf_id
        for trouble in replay.troubles
        if trouble.start_s <= at_s < trouble.end_s
        and trouble.factor >= LATE_FACTOR
        for leaf_id in trouble.leaf_ids
    }
    return sum(
        all(f'{service}-{number}@1' in troubled for number in range(REPLICAS))
        for service in replay.services
    )


def worst_window(replay):
    """Return the credit of the worst two seconds and the bound of these.

    Seconds in which no leafs could have given an answer are left out.
    """
    windows = []
    for start in range(0, int(replay.load.duration_s), int(WINDOW_S)):
        bound = oracle_credit(replay, start, start + WINDOW_S)
        if bound > 0:
            credit = summarize(
                replay.outcomes, replay.load, start, start + WINDOW_S
            )
            windows.append((credit, bound))
    return min(windows)


def measure(name, seeds):
    """Return the report of a pattern over several seeds."""
    replays = [replay_pattern(name, seed) for seed in seeds]
    outcomes = [each for replay in replays for each in replay.outcomes]
    answered = sorted(
        each.elapsed_s for each in outcomes if each.missing is not None
    )
    refused = sorted(
        each.elapsed_s for each in outcomes if each.missing is None
    )
    shards = LOADS_BY_NAME[name].shards
    return Report(
        name,
        _mean(summarize(each.outcomes, each.load) for each in replays),
        _mean(map(oracle_credit, replays)),
        _mean(worst_window(each)[0] for each in replays),
        MS_PER_S * answered[len(answered) // 2],
        MS_PER_S * answered[int(0.99 * len(answered))],
        MS_PER_S * refused[int(0.99 * len(refused))] if refused else 0,
        sum(each.calls for each in replays) / (len(outcomes) * shards) - 1,
    )


def _mean(figures):
    listed = list(figures)
    return sum(listed) / len(listed)


def main():
    """Print the report of every pattern."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--seeds', type=int, default=8, help='seeds a pattern')
    options = parser.parse_args()
    seeds = random.Random(1).sample(range(1000), options.seeds)
    print(f'seeds {seeds}')
    print(
        'pattern                   credit bound worst  p50  p99 refused extra'
    )
    for name in PATTERNS_BY_NAME:
        each = measure(name, seeds)
        print(
            f'{name:25} {each.credit:6.3f} {each.bound:5.3f} '
            f'{each.worst:5.3f} {each.p50_ms:4.0f} {each.p99_ms:4.0f} '
            f'{each.refused_ms:7.0f} {each.extra:5.3f}'
        )


if __name__ == '__main__':
    main()
