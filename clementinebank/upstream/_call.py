"""One call to a leaf, its reply and the failures in which it can end."""

from collections.abc import Awaitable, Callable

import attrs
from eliot import log_message, write_traceback
from result import Result

from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import (
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
    UnsendableRequestError,
)
from clementinebank.leafs import LeafEndpoint
from clementinebank.upstream._connection import (
    LeafConnection,
    MismatchedAnswerError,
)
from clementinebank.upstream._exchange import ExchangeRecord

# Error code of a call that tells nothing about its leaf.
TASK_CANCELLED_CODE = 'task_cancelled'


@attrs.frozen
class LeafReply:
    """Outcome of one call to a leaf.

    Parameters
    ----------
    call_id : str
        Id of the call.
    leaf_id : str
        Leaf that was called.
    outcome : Result
        The response, or the failure with its step and whether the leaf may
        have run the request.
    elapsed_s : float
        Time since the call was submitted, in seconds.
    exchange : ExchangeRecord or None
        Where the request was sent, ``None`` if it wasn't.
    """

    call_id: str
    leaf_id: str
    outcome: Result[HttpResponse, Failure]
    elapsed_s: float
    exchange: ExchangeRecord | None = None


OnReply = Callable[[LeafReply], Awaitable[None]]


@attrs.define(eq=False)
class LeafCall:
    """One request to a leaf.

    Parameters
    ----------
    call_id : str
        Unique id of the call.
    request : HttpRequest
        The HTTP request that is sent.
    deadline : float
        Runtime time in seconds after which the request is not sent.
    on_reply : callable
        Coroutine function that receives the reply exactly once.
    echoed_id : str
        Id that the response must echo; the id of the call by default.
    submitted_at : float
        Runtime time in seconds at which the pool got the call.
    is_sent : bool
        Whether sending of the request has begun.
    is_cancelled : bool
        Whether the call was cancelled.
    connection : LeafConnection or None
        Connection that runs the call, ``None`` while it waits.
    """

    call_id: str
    request: HttpRequest
    deadline: float
    on_reply: OnReply
    submitted_at: float = 0
    is_sent: bool = False
    is_cancelled: bool = False
    connection: LeafConnection | None = None
    echoed_id: str = attrs.field()

    @echoed_id.default
    def _use_call_id(self) -> str:
        return self.call_id

    def failure(
        self, code: str, message: str, step: Step, leaf: LeafEndpoint
    ) -> Failure:
        """Return a failure of the call; not run if nothing of it was sent."""
        return Failure(
            code,
            message,
            step,
            peer=f'{leaf.leaf_id} ({leaf.address})',
            execution=(
                Execution.UNKNOWN if self.is_sent else Execution.NOT_RUN
            ),
        )

    def expired(self, leaf: LeafEndpoint) -> Failure:
        """Return the failure of a call that ended before it was sent."""
        message = 'the call was cancelled or expired before it was sent'
        return self.failure('expired', message, Step.DISPATCH, leaf)

    def broken(
        self, error: Exception, step: Step, leaf: LeafEndpoint
    ) -> Failure:
        """Return the failure for an error of the connection or an answer.

        An invalid answer is logged.
        """
        is_unsendable = isinstance(error, UnsendableRequestError)
        if is_unsendable and step is Step.DISPATCH:
            self.is_sent = False
            return self.failure('unsendable', str(error), step, leaf)
        is_mismatch = isinstance(error, MismatchedAnswerError)
        code = 'leaf_mismatch' if is_mismatch else 'leaf_broken'
        failure = self.failure(code, str(error), step, leaf)
        if isinstance(error, HttpProtocolError):
            self._log('leaf:invalid_answer', failure)
        return failure

    def ended(self, leaf: LeafEndpoint) -> Failure:
        """Return the failure of a call whose task is cancelled."""
        message = 'the task of the connection was cancelled'
        return self.failure(TASK_CANCELLED_CODE, message, Step.READ, leaf)

    def unexpected(self, error: Exception, leaf: LeafEndpoint) -> Failure:
        """Log an unexpected error with its call and return the failure."""
        write_traceback()
        message = f'unexpected {type(error).__name__}'
        failure = self.failure('internal_error', message, Step.READ, leaf)
        self._log('leaf:call_failed', failure)
        return failure

    def _log(self, message_type: str, failure: Failure) -> None:
        log_message(
            message_type=message_type,
            request_id=self.echoed_id,
            reason=str(failure),
        )
