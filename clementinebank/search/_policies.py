"""Answer policies, which decide how long a query waits for its shards."""

from collections.abc import Callable

import attrs

# Reserve of each policy: the query answers this long before its deadline.
LATENCY_FIRST_RESERVE_S = 0.005
COVERAGE_FIRST_RESERVE_S = 0.001
# Upper limit of the reserve as a fraction of the time until the deadline.
MAX_RESERVE_SHARE = 0.1
# Number of hedge delays after which ``latency_first`` stops waiting for a
# shard, because a shard that takes longer rarely answers in time.
LATENCY_FIRST_MAX_HEDGE_DELAYS = 6.0


@attrs.frozen
class WaitPlan:
    """How long a query waits for its shards.

    Parameters
    ----------
    reserve_s : float
        Time before the deadline, in seconds, at which the query answers.
    max_hedge_delays : float
        How long the query waits for one shard, as a multiple of the hedge
        delay. That is the time after which the shard request is also sent to
        a second leaf.
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
    """Return a plan that gives up shards unlikely to answer in time."""
    reserve_s = min(LATENCY_FIRST_RESERVE_S, MAX_RESERVE_SHARE * remaining_s)
    return WaitPlan(reserve_s, LATENCY_FIRST_MAX_HEDGE_DELAYS)


@answer_policy('coverage_first')
def coverage_first(remaining_s: float) -> WaitPlan:
    """Return a plan that waits for every shard until the reserve begins."""
    reserve_s = min(COVERAGE_FIRST_RESERVE_S, MAX_RESERVE_SHARE * remaining_s)
    return WaitPlan(reserve_s, float('inf'))
