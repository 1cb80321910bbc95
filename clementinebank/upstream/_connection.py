"""Connection to a leaf that tells the answers to its requests apart."""

from typing import Any

import attrs

from clementinebank.http import HttpProtocolError, HttpRequest, HttpResponse
from clementinebank.upstream._protocol import LeafProtocol

# Open requests after which a connection is closed. It bounds the memory for
# their ids, and each of them saved a new connection already.
MAX_OPEN_REQUESTS = 64


class MismatchedAnswerError(HttpProtocolError):
    """The answer echoes the id of another request."""


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
    """

    http: Any
    protocol: LeafProtocol
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
        key = hash(request_id)
        return (
            self.is_reusable
            and key != self._last_request
            and key not in self._open_requests
        )

    async def connect(self) -> None:
        """Open a new connection, closing the previous one if it is open."""
        self._open_requests.clear()
        self._last_request = None
        await self.http.connect()

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
                raise _mismatch()
            response = await self.http.receive_after_late_response(message)
            self._check(response)
            if not self._answers(response, request_id):
                raise _mismatch()
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

    def _answers(self, response: HttpResponse, request_id: str) -> bool:
        return self.protocol.echoed_id(response) == request_id

    def _check(self, response: HttpResponse) -> None:
        reason = self.protocol.invalid_reason(response)
        if reason is not None:
            raise HttpProtocolError(reason)


def _mismatch() -> MismatchedAnswerError:
    return MismatchedAnswerError('the reply echoes the id of another request')
