"""Booking requests, answers to callers, and replies of leafs."""

import hashlib
import json
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.booking._record import Outcome
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpResponse


@attrs.frozen
class BookingRequest:
    """One accepted request of a caller.

    Parameters
    ----------
    request_id : str
        Id of this request, new for every repeat.
    key : str
        Validated idempotency key.
    service : str
        Name of the booking service.
    body : bytes
        Body that is passed to the leaf unchanged.
    deadline : float
        Runtime time in seconds by which the caller must be answered.
    """

    request_id: str
    key: str
    service: str
    body: bytes
    deadline: float

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the body as hexadecimal digits."""
        return hashlib.sha256(self.body).hexdigest()


@attrs.frozen
class BookingAnswer:
    """Answer to a caller: the outcome, or the reason why there is none.

    Parameters
    ----------
    outcome : Outcome or None
        What the leaf answered, ``None`` if that is not known.
    failure : Failure or None
        Why there is no outcome, ``None`` if there is one.
    is_repeated : bool
        Whether the outcome was recorded by an earlier request.
    is_recorded : bool
        Whether the outcome is stored, so that a repeated request gets it.
    """

    outcome: Outcome | None = None
    failure: Failure | None = None
    is_repeated: bool = False
    is_recorded: bool = False

    @property
    def execution(self) -> Execution:
        """Return what the caller is told about whether the request ran."""
        return self.failure.execution if self.failure else Execution.RAN


def decode_leaf_reply(
    response: HttpResponse, peer: str
) -> Result[Outcome, Failure]:
    """Return the outcome or the failure that the response of a leaf states.

    A JSON body with ``"ran": true`` contains the outcome, and one with
    ``"ran": false`` states that the leaf did not run the request. After any
    other body the execution is unknown.

    Parameters
    ----------
    response : HttpResponse
        Response of the leaf.
    peer : str
        Id of the leaf, which a failure names.
    """
    try:
        body: Any = json.loads(response.body)
    except (ValueError, RecursionError):
        body = None
    ran = body.get('ran') if isinstance(body, dict) else None
    if ran is True:
        return Ok(Outcome(response.status, body.get('outcome')))
    if ran is False:
        code = str(body.get('code', 'leaf_refused'))
        return Err(_failure(code, response, peer, Execution.NOT_RUN))
    return Err(_failure('leaf_malformed', response, peer, Execution.UNKNOWN))


def _failure(
    code: str, response: HttpResponse, peer: str, execution: Execution
) -> Failure:
    message = f'status {response.status}'
    return Failure(
        code, message, Step.REPLY_READ, peer=peer, execution=execution
    )
