"""Requests, answers and leaf replies of bookings."""

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
        Booking service.
    body : bytes
        Body that is passed to the leaf unchanged.
    deadline : float
        Runtime time in seconds at which the caller is answered.
    """

    request_id: str
    key: str
    service: str
    body: bytes
    deadline: float

    @property
    def digest(self) -> str:
        """Return the SHA-256 of the body."""
        return hashlib.sha256(self.body).hexdigest()


@attrs.frozen
class BookingAnswer:
    """Answer to a caller: the outcome, or the reason why there is none.

    Parameters
    ----------
    outcome : Outcome or None
        What the leaf answered, if the request ran.
    failure : Failure or None
        Set if there is no outcome.
    is_repeated : bool
        Whether the outcome was recorded by an earlier request.
    is_recorded : bool
        Whether a repeat will get the same outcome.
    """

    outcome: Outcome | None = None
    failure: Failure | None = None
    is_repeated: bool = False
    is_recorded: bool = False

    @property
    def execution(self) -> Execution:
        """Return what the caller is told about the execution."""
        return self.failure.execution if self.failure else Execution.RAN


def decode_leaf_reply(
    response: HttpResponse, peer: str
) -> Result[Outcome, Failure]:
    """Interpret the response of a leaf to an execute request.

    Only a JSON body that states ``"ran": false`` counts as not run; anything
    else without ``"ran": true`` leaves the execution unknown.
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
