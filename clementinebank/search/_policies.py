"""Answer policies, which decide how long a query waits for its shards."""

from collections.abc import Callable

import attrs

# Time before the deadline at which a query answers, for each policy.
LATENCY_FIRST_RESERVE_S = 0.005
COVERAGE_FIRST_RESERVE_S = 0.001
# Largest share of the remaining time that is used as reserve.
MAX_RESERVE_SHARE = 0.1
# Hedge delays that ``latency_first`` waits for a shard; a shard that takes
# longer rarely answers in time.
LATENCY_FIRST_MAX_HEDGE_DELAYS = 6.0


@attrs.frozen
class WaitPlan:
    """How long a query waits for its shards.

    Parameters
    ----------
    reserve_s : float
        Time before the deadline, in seconds, at which the query answers.
    max_hedge_delays : float
        Number of hedge delays after which a shard is not waited for any more.
    """

    reserve_s: float
    max_hedge_delays: float


AnswerPolicy = Callable[[float], WaitPlan]
ANSWER_POLICIES: dict[str, AnswerPolicy] = {}


def answer_policy(name: str) -> Callable[[AnswerPolicy], AnswerPolicy]:
    """Return a decorator that registers an answer policy.

    The decorated function gets the time until the deadline in seconds and
    returns the ``WaitPlan``.

    Raises
    ------
    ValueError
        If the name is already registered.
    """

    def register(policy: AnswerPolicy) -> AnswerPolicy:
        if name in ANSWER_POLICIES:
            raise ValueError(f'answer policy {name} is registered twice')
        ANSWER_POLICIES[name] = policy
        return policy

    return register


@answer_policy('latency_first')
def latency_first(remaining_s: float) -> WaitPlan:
    """Stop waiting for shards that are unlikely to answer in time."""
    reserve_s = min(LATENCY_FIRST_RESERVE_S, MAX_RESERVE_SHARE * remaining_s)
    return WaitPlan(reserve_s, LATENCY_FIRST_MAX_HEDGE_DELAYS)


@answer_policy('coverage_first')
def coverage_first(remaining_s: float) -> WaitPlan:
    """Wait for every shard until the deadline."""
    reserve_s = min(COVERAGE_FIRST_RESERVE_S, MAX_RESERVE_SHARE * remaining_s)
    return WaitPlan(reserve_s, float('inf'))
