"""Answers of bookings that follow from a stored record or a failure."""

from clementinebank.booking._key import KEY_HEADER
from clementinebank.booking._messages import BookingAnswer, BookingRequest
from clementinebank.booking._record import ClaimRecord, ClaimState
from clementinebank.errors import Execution, Failure, Step

STATUS_CONFLICT = 409
STATUS_KEY_REUSED = 422
STATUS_TOO_MANY = 429
STATUS_GATEWAY_TIMEOUT = 504
# Message for a request that was not run. An earlier request with the same key
# may have been run, so a repeat with a new key could run it twice.
REPEAT_HINT = (
    'this request was not run; an earlier one with the same key may have '
    'been, so repeat it only with the same key'
)


def answer_from_record(
    record: ClaimRecord, request: BookingRequest
) -> BookingAnswer:
    """Return the answer to a request whose key has a record already.

    The request is not run: the record is of another body, or holds an outcome,
    the statement of an operator or an unresolved claim.

    Parameters
    ----------
    record : ClaimRecord
        Stored record of the key.
    request : BookingRequest
        Request to answer.
    """
    if record.digest != request.digest:
        return failure_answer(
            'key_reused',
            'the key was used for another body; this request was not run',
            Step.ACCEPT,
            status=STATUS_KEY_REUSED,
        )
    if record.state is ClaimState.RECORDED:
        return BookingAnswer(record.outcome, is_repeated=True, is_recorded=True)
    if record.state is ClaimState.SETTLED:
        return _answer_from_settled_record(record)
    return unresolved_claim_answer(record.instance_id)


def _answer_from_settled_record(record: ClaimRecord) -> BookingAnswer:
    """Return the answer to a request whose key was settled by an operator."""
    resolution = record.resolution or Execution.UNKNOWN
    who = record.history[-1].who if record.history else 'an operator'
    return failure_answer(
        'settled',
        f'{who} settled this key as {resolution.value}; it is not run again',
        Step.ACCEPT,
        status=STATUS_CONFLICT,
        execution=resolution,
    )


def unresolved_claim_answer(peer: str | None = None) -> BookingAnswer:
    """Return the answer to a request whose key has an unresolved claim.

    Parameters
    ----------
    peer : str or None
        Instance that holds the claim, ``None`` if it is not known.
    """
    return failure_answer(
        'outcome_unknown',
        'outcome unknown, not repeated',
        Step.ACCEPT,
        peer=peer,
        status=STATUS_CONFLICT,
        execution=Execution.UNKNOWN,
    )


def unconfirmed_claim_answer(peer: str | None) -> BookingAnswer:
    """Return the answer if it is unknown whether the claim is stored.

    Parameters
    ----------
    peer : str or None
        Key-value service that did not answer, ``None`` if it is not known.
    """
    return failure_answer(
        'claim_unconfirmed',
        'the claim was not confirmed: this request sent nothing to a leaf and '
        'will not, but whether the key is claimed or was run is unknown; '
        'repeat only with the same key',
        Step.CLAIM_CONFIRM,
        peer=peer,
        execution=Execution.UNKNOWN,
    )


def over_budget_answer(bookings_per_second: float) -> BookingAnswer:
    """Return the answer to a request that exceeds the budget of the instance.

    Parameters
    ----------
    bookings_per_second : float
        Number of bookings a second that the budget admits.
    """
    return failure_answer(
        'write_budget_exhausted',
        f'this instance accepts {bookings_per_second:g} bookings a second; '
        f'{REPEAT_HINT}',
        Step.ACCEPT,
        status=STATUS_TOO_MANY,
    )


def deadline_passed_answer(
    step: Step, execution: Execution, peer: str | None = None
) -> BookingAnswer:
    """Return the answer to a request whose deadline passed during ``step``."""
    message = (
        REPEAT_HINT
        if execution is Execution.NOT_RUN
        else 'the deadline passed before the outcome was known'
    )
    return failure_answer(
        'deadline_passed',
        message,
        step,
        peer=peer,
        status=STATUS_GATEWAY_TIMEOUT,
        execution=execution,
    )


def failure_answer(
    code: str,
    message: str,
    step: Step,
    *,
    peer: str | None = None,
    status: int = 503,
    execution: Execution = Execution.NOT_RUN,
) -> BookingAnswer:
    """Return an answer that carries a failure instead of an outcome."""
    field = KEY_HEADER if code == 'key_reused' else None
    return BookingAnswer(
        failure=Failure(code, message, step, peer, field, execution, status)
    )
