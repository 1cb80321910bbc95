"""Admission control: refuses a search before any shard request is sent."""

from collections.abc import Collection

from clementinebank.errors import Execution, Failure, Step
from clementinebank.routing import Router

OVERLOAD_STATUS = 429
TIMEOUT_STATUS = 504


def check_admission(
    router: Router, group_ids: Collection[str], now: float, remaining_s: float
) -> Failure | None:
    """Return the refusal of a search, or ``None`` if it is admitted.

    A search is admitted if at least one group is expected to answer in time.

    Parameters
    ----------
    router : Router
        Routing state: which leafs can receive requests, and their load.
    group_ids : collection of str
        Groups of the service.
    now : float
        Monotonic time in seconds.
    remaining_s : float
        Time until the query must finish, in seconds.

    Returns
    -------
    Failure or None
        Why no group can answer in time. Its execution is ``NOT_RUN``, because
        nothing has been sent.
    """
    if remaining_s <= 0:
        return _refusal(
            'deadline_passed',
            'no time is left before the deadline',
            TIMEOUT_STATUS,
        )
    reachable = [
        group_id
        for group_id in group_ids
        if router.has_leaf_in_time(group_id, float('inf'))
    ]
    if not reachable:
        return _refusal('no_leaf', 'no leaf can receive work')
    in_time = [
        group_id
        for group_id in reachable
        if router.has_leaf_in_time(group_id, remaining_s)
    ]
    if not in_time:
        return _refusal(
            'deadline_too_short',
            f'no leaf is expected to answer within {remaining_s * 1000:.0f} ms',
            TIMEOUT_STATUS,
        )
    waits = (router.expected_wait_s(group_id, now) for group_id in in_time)
    if min(waits) >= remaining_s:
        return _refusal(
            'overloaded',
            'requests wait too long in every group',
            OVERLOAD_STATUS,
        )
    return None


def _refusal(code: str, message: str, status: int = 503) -> Failure:
    return Failure(
        code, message, Step.ADMIT, execution=Execution.NOT_RUN, status=status
    )
