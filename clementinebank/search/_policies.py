"""Answer policies: how long a query waits for its shards."""

from collections.abc import Callable

import attrs

LATENCY_RESERVE_S = 0.005
COVERAGE_RESERVE_S = 0.001
MAX_RESERVE_SHARE = 0.1
# A shard that took this many hedge delays is rarely answered in time.
LATENCY_PATIENCE = 6.0


@attrs.frozen
class WaitPlan:
    """How long a query waits.

    Parameters
    ----------
    reserve_s : float
        Time before the deadline, in seconds, at which the query answers.
    patience : float
        Hedge delays after which one shard is not waited for any more.
    """

    reserve_s: float
    patience: float


AnswerPolicy = Callable[[float], WaitPlan]
ANSWER_POLICIES: dict[str, AnswerPolicy] = {}


def answer_policy(name: str) -> Callable[[AnswerPolicy], AnswerPolicy]:
    """Register a function of the remaining seconds as an answer policy."""

    def register(policy: AnswerPolicy) -> AnswerPolicy:
        if name in ANSWER_POLICIES:
            raise ValueError(f'answer policy {name} is registered twice')
        ANSWER_POLICIES[name] = policy
        return policy

    return register


@answer_policy('latency_first')
def latency_first(remaining_s: float) -> WaitPlan:
    """Answer early when the missing shards are unlikely to answer."""
    reserve_s = min(LATENCY_RESERVE_S, MAX_RESERVE_SHARE * remaining_s)
    return WaitPlan(reserve_s, LATENCY_PATIENCE)


@answer_policy('coverage_first')
def coverage_first(remaining_s: float) -> WaitPlan:
    """Wait for every shard until the deadline."""
    reserve_s = min(COVERAGE_RESERVE_S, MAX_RESERVE_SHARE * remaining_s)
    return WaitPlan(reserve_s, float('inf'))
