"""Connection to a leaf that tells the answers to its requests apart."""

from collections import Counter
from typing import Any

import attrs
from eliot import log_message

from clementinebank.http import HttpProtocolError, HttpRequest, HttpResponse
from clementinebank.invariants import check, invariant
from clementinebank.upstream._exchange import (
    ANSWER_INVALID,
    ANSWER_MISMATCHED,
    LATE_ANSWER_SKIPPED,
    ExchangeRecord,
)
from clementinebank.upstream._protocol import LeafProtocol

# Open requests after which a connection is closed. It bounds the memory for
# their ids, and each of them saved a new connection already.
MAX_OPEN_REQUESTS = 64


class MismatchedAnswerError(HttpProtocolError):
    """The answer echoes the id of another request."""


@invariant('connection-carries-request-once', 'R5')
def _is_first_send(*, was_answered: bool) -> bool:
    return not was_answered


@attrs.define(eq=False)
class LeafConnection:
    """HTTP connection that never carries a request twice.

    Load pattern that it answers: a leaf sends an earlier answer once more, late
    and on a connection in use again. The echoed id tells such an answer from
    the one that is due, unless both are to the same request. So a request that
    was answered here, and may be sent again, is not sent here again.

    Parameters
    ----------
    http : HttpConnection
        The connection itself.
    protocol : LeafProtocol
        Tells which request an answer belongs to and whether it is valid.
    counts : Counter of str
        Answers that were not taken for the one that is due.
    exchange : ExchangeRecord or None
        Record of the request that was sent last, ``None`` before the first.
    """

    http: Any
    protocol: LeafProtocol
    counts: Counter[str] = attrs.Factory(Counter)
    exchange: ExchangeRecord | None = None
    # Hashes of the ids of answered requests that may be sent again. Two ids
    # with one hash cost a new connection only.
    _open_requests: set[int] = attrs.Factory(set)
    _last_request: int | None = None

    @property
    def is_reusable(self) -> bool:
        """Return whether the open connection can carry another request."""
        return (
            self.http.is_reusable
            and len(self._open_requests) < MAX_OPEN_REQUESTS
        )

    def can_carry(self, request_id: str) -> bool:
        """Return whether the open connection can carry this request."""
        return self.is_reusable and not self._has_answered(request_id)

    async def connect(self) -> None:
        """Open a new connection, closing the previous one if it is open."""
        self._open_requests.clear()
        self._last_request = None
        self.exchange = None
        await self.http.connect()

    def begin_exchange(self, request_id: str) -> None:
        """Record that a request is sent next, whose answer echoes this id."""
        check(
            'connection-carries-request-once',
            request_id,
            was_answered=self._has_answered(request_id),
        )
        if self.exchange is None:
            self.exchange = ExchangeRecord(self.http.local_port, 1)
        else:
            self.exchange = attrs.evolve(
                self.exchange,
                request_number=self.exchange.request_number + 1,
                late_count=0,
            )

    async def send(self, message: HttpRequest) -> None:
        """Send one request."""
        await self.http.send(message)

    async def receive(self) -> HttpResponse:
        """Return the next response, whichever request it answers.

        Raises
        ------
        HttpProtocolError
            If the response is malformed, or invalid by the protocol.
        OSError
            If the transport fails.
        """
        response: HttpResponse = await self.http.receive()
        self._check(response)
        return response

    async def receive_answer(
        self, request_id: str, message: HttpRequest
    ) -> HttpResponse:
        """Return the answer to the request that was sent last.

        If the protocol allows late responses, one to an earlier request is
        skipped.

        Parameters
        ----------
        request_id : str
            Id that the answer must echo.
        message : HttpRequest
            The request.

        Raises
        ------
        MismatchedAnswerError
            If the answer echoes another id.
        HttpProtocolError
            If a response is malformed, or invalid by the protocol.
        OSError
            If the transport fails.
        """
        response = await self.receive()
        if not self._answers(response, request_id):
            if not self.protocol.allows_late_responses:
                raise self._mismatch()
            self._record_late_answer(response, request_id)
            response = await self.http.receive_after_late_response(message)
            self._check(response)
            if not self._answers(response, request_id):
                raise self._mismatch()
        self._last_request = hash(request_id)
        if not self.protocol.is_conclusive(response):
            self._open_requests.add(self._last_request)
        return response

    def abort(self) -> None:
        """Shut the connection down, so that the task that reads fails."""
        self.http.abort()

    async def close(self) -> None:
        """Close the connection; do nothing if it is closed."""
        await self.http.close()

    def _has_answered(self, request_id: str) -> bool:
        """Return whether a copy of an answer to the request may come here."""
        key = hash(request_id)
        return key == self._last_request or key in self._open_requests

    def _record_late_answer(
        self, response: HttpResponse, request_id: str
    ) -> None:
        """Count and log an answer to an earlier request."""
        self.counts[LATE_ANSWER_SKIPPED] += 1
        if self.exchange is not None:
            self.exchange = attrs.evolve(
                self.exchange, late_count=self.exchange.late_count + 1
            )
        log_message(
            message_type='leaf:late_answer',
            request_id=request_id,
            echoed_id=self.protocol.echoed_id(response),
            status=response.status,
            connection=self.exchange and self.exchange.port,
            request_number=self.exchange and self.exchange.request_number,
        )

    def _answers(self, response: HttpResponse, request_id: str) -> bool:
        return self.protocol.echoed_id(response) == request_id

    def _check(self, response: HttpResponse) -> None:
        reason = self.protocol.invalid_reason(response)
        if reason is not None:
            self.counts[ANSWER_INVALID] += 1
            raise HttpProtocolError(reason)

    def _mismatch(self) -> MismatchedAnswerError:
        self.counts[ANSWER_MISMATCHED] += 1
        return MismatchedAnswerError(
            'the reply echoes the id of another request'
        )
