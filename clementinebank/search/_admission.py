"""Admission control: refusals before anything is sent."""

from collections.abc import Collection

from clementinebank.errors import Execution, Failure, Step
from clementinebank.routing import Router

OVERLOAD_STATUS = 429
TIMEOUT_STATUS = 504


def refuse_admission(
    router: Router, group_ids: Collection[str], now: float, remaining_s: float
) -> Failure | None:
    """Return why a search cannot be answered in time, or ``None``.

    A search is admitted if at least one group can be expected to answer.
    """
    if remaining_s <= 0:
        return _refusal('deadline_passed', 'no time is left', TIMEOUT_STATUS)
    reachable = [
        group_id
        for group_id in group_ids
        if router.has_leaf(group_id, float('inf'))
    ]
    if not reachable:
        return _refusal('no_leaf', 'no leaf can receive work')
    in_time = [
        group_id
        for group_id in reachable
        if router.has_leaf(group_id, remaining_s)
    ]
    if not in_time:
        return _refusal(
            'deadline_too_short',
            f'no leaf answers within {remaining_s * 1000:.0f} ms',
            TIMEOUT_STATUS,
        )
    waits = (router.expected_wait_s(group_id, now) for group_id in in_time)
    if min(waits) >= remaining_s:
        return _refusal('overloaded', 'every group is busy', OVERLOAD_STATUS)
    return None


def _refusal(code: str, message: str, status: int = 503) -> Failure:
    return Failure(
        code, message, Step.ADMIT, execution=Execution.NOT_RUN, status=status
    )
