"""Shards and invariants of a forwarded request, and rules for responses."""

import attrs

from clementinebank.dispatch import Shard
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding._messages import LeafResponse
from clementinebank.invariants import invariant

# HTTP statuses that tell callers that their request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@invariant('forward-answered-once', 'R3')
def _is_first_answer(is_finished: bool) -> bool:
    return not is_finished


@invariant('forward-not-run-is-true', 'R4')
def _is_not_run_true(execution: Execution, sent: int, not_run: int) -> bool:
    return execution is not Execution.NOT_RUN or sent == not_run


@invariant('unsafe-request-runs-once', 'R5')
def _is_run_once(is_repeatable: bool, sent: int, not_run: int) -> bool:
    return is_repeatable or sent - not_run <= 1


@invariant('parts-are-of-one-version', 'R1')
def _is_one_version(asked: tuple[str, ...], answered: tuple[str, ...]) -> bool:
    return len(set(answered)) == len(answered) and set(answered) <= set(asked)


@attrs.define(eq=False)
class ServiceShard(Shard):
    """Shard of a forwarded request: a service of which one leaf must answer.

    Parameters
    ----------
    answer : LeafResponse or None
        Response that is the answer of the shard.
    last_failure : LeafResponse or None
        Last failure response of a leaf that ran the request.
    """

    answer: LeafResponse | None = None
    last_failure: LeafResponse | None = None


def may_relay(leaf_response: LeafResponse) -> bool:
    """Return whether a response may be relayed to the caller.

    False for a failure with a status that tells callers that their request has
    not run, because a leaf can send such a status after running the request.
    """
    return (
        leaf_response.is_success
        or leaf_response.response.status not in NOT_RUN_STATUSES
    )


def failure_from_response(leaf_response: LeafResponse, leaf_id: str) -> Failure:
    """Return the failure for a response of a leaf that is no success."""
    is_refusal = leaf_response.execution is Execution.NOT_RUN
    status = leaf_response.response.status
    return Failure(
        'shed' if is_refusal else 'leaf_failed',
        f'status {status}',
        Step.READ,
        peer=leaf_id,
        execution=leaf_response.execution,
        status=status,
    )
