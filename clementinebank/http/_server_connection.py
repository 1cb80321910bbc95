"""One connection of an HTTP server and the state all of them share."""

import enum
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
import h11
from eliot import write_traceback

from clementinebank.errors import Execution, Failure, Step
from clementinebank.http._limits import HttpLimits
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    encode_headers,
    json_response,
)
from clementinebank.http._request_reader import RequestReader
from clementinebank.http._sockets import (
    WaitInterrupt,
    has_input,
    is_closed_by_peer,
    linger,
    wait_for_input,
)
from clementinebank.http._turns import ReadTurn

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
REQUEST_TIMEOUT_STATUS = 408


class NextStep(enum.Enum):
    """What the server does with a connection after a response.

    ``REUSE`` waits for the next request, ``LINGER`` half-closes and discards
    input before the close, ``CLOSE`` closes at once.
    """

    REUSE = 'reuse'
    LINGER = 'linger'
    CLOSE = 'close'


@attrs.define(eq=False)
class ServerState:
    """State shared by all connections of one server.

    Parameters
    ----------
    handler : callable
        Coroutine function from request to response.
    limits : HttpLimits
        Limits of the server.
    on_failure : callable or None
        Called with each failure that the server answers in place of the
        handler.
    in_flight : int
        Requests in the handler.
    is_closing : bool
        Whether each response carries ``Connection: close``.
    is_draining : bool
        Whether idle connections are closed; requests in flight are finished.
    connections : set of ServerConnection
        Open connections.
    """

    handler: Handler
    limits: HttpLimits
    on_failure: Callable[[Failure], None] | None = None
    in_flight: int = 0
    is_closing: bool = False
    is_draining: bool = False
    connections: set['ServerConnection'] = attrs.Factory(set)
    _all_closed: Any = attrs.field(factory=curio.Event)

    def add(self, connection: 'ServerConnection') -> None:
        """Register an open connection."""
        self._all_closed.clear()
        self.connections.add(connection)

    async def remove(self, connection: 'ServerConnection') -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if not self.connections:
            await self._all_closed.set()

    async def wait_until_empty(self) -> None:
        """Wait until no connection is open."""
        if self.connections:
            await self._all_closed.wait()

    def report_failure(self, failure: Failure) -> None:
        """Call ``on_failure``, if there is one, with a failure."""
        if self.on_failure is not None:
            self.on_failure(failure)


@attrs.define(eq=False)
class ServerConnection:
    """Reads requests, passes them to the handler and sends the responses.

    Parameters
    ----------
    sock : object
        Connected curio socket.
    state : ServerState
        Shared by all connections of the server.
    task : curio.Task or None
        Task that runs ``run``.
    is_idle : bool
        Whether the connection waits for the first byte of a request.
    is_responding : bool
        Whether a request was read whose response is not sent completely.

    Attributes
    ----------
    http : h11.Connection
        Protocol state of the connection.
    """

    sock: Any
    state: ServerState
    http: Any = attrs.field(init=False)
    task: Any = None
    is_idle: bool = False
    is_responding: bool = False

    def __attrs_post_init__(self) -> None:
        """Create the protocol state."""
        self.http = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.state.limits.max_header_bytes,
        )

    async def run(self) -> None:
        """Serve requests one after the other, then close the connection."""
        next_step = NextStep.REUSE
        turn = ReadTurn()
        try:
            while next_step is NextStep.REUSE:
                next_step = await self._serve_next()
                # A client may send its next request before each response.
                await turn.yield_if_due()
            if next_step is NextStep.LINGER:
                await linger(self.sock, self.state.limits.linger_s)
        except OSError:
            # The client is gone, so no response can be sent.
            next_step = NextStep.CLOSE
        except Exception as error:
            # Nothing can be sent any more; it is logged and counted.
            self._error_response(error)
        finally:
            await self.sock.close()
            await self.state.remove(self)

    async def interrupt(self) -> None:
        """Stop waiting for the next request if the connection is idle."""
        if self.is_idle:
            await self.task.cancel(exc=WaitInterrupt, blocking=False)

    async def cancel_if_disconnected(self) -> None:
        """Cancel the handler if the client has closed the connection."""
        if self.is_responding and is_closed_by_peer(self.sock):
            await self.task.cancel(blocking=False)

    async def refuse_and_close(self, failure: Failure) -> None:
        """Send a failure without reading a request and close the connection."""
        try:
            await self._send_failure(failure)
            await linger(self.sock, self.state.limits.linger_s)
        except OSError:
            return
        finally:
            await self.sock.close()

    async def _serve_next(self) -> NextStep:
        """Serve one request and return what to do with the connection."""
        if (
            not self.http.trailing_data[0]
            and not await self._wait_for_request()
        ):
            return await self._close_idle()
        reader = RequestReader(self.sock, self.http, self.state.limits)
        try:
            request = await reader.read()
        except Failure as failure:
            await self._send_failure(failure)
            return NextStep.LINGER
        if request is None:
            return NextStep.CLOSE
        self.is_responding = True
        await self._send(await self._respond(request), request.method)
        self.is_responding = False
        states = {self.http.our_state, self.http.their_state}
        if states != {h11.DONE}:
            return NextStep.LINGER
        self.http.start_next_cycle()
        return NextStep.REUSE

    async def _wait_for_request(self) -> bool:
        """Return whether a request, or the end of the stream, has arrived.

        Waits for it up to the idle timeout, but not at all while draining.
        """
        if self.state.is_draining:
            return has_input(self.sock)
        self.is_idle = True
        try:
            return await wait_for_input(
                self.sock, self.state.limits.idle_timeout_s
            )
        finally:
            self.is_idle = False

    async def _close_idle(self) -> NextStep:
        """Send a 408 response, if enabled, and return how to close.

        A client whose request arrives while the server closes learns from the
        response that the request was not run.
        """
        if not self.state.limits.responds_before_idle_close:
            return NextStep.LINGER
        if self.state.is_draining:
            message = 'the instance is shutting down'
        else:
            message = 'no request arrived within the idle timeout'
        failure = Failure(
            'connection_closing',
            message,
            Step.CLOSE,
            execution=Execution.NOT_RUN,
            status=REQUEST_TIMEOUT_STATUS,
        )
        await self._send_failure(failure)
        return NextStep.LINGER

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        limit = self.state.limits.max_in_flight
        if self.state.in_flight >= limit:
            return self._failure_response(
                Failure(
                    'overloaded',
                    f'the limit of {limit} requests in flight is reached',
                    Step.ADMIT,
                    execution=Execution.NOT_RUN,
                )
            )
        self.state.in_flight += 1
        try:
            return await self.state.handler(request)
        except (Exception, curio.TaskTimeout) as error:
            return self._error_response(error)
        finally:
            self.state.in_flight -= 1

    def _error_response(self, error: BaseException) -> HttpResponse:
        write_traceback()
        return self._failure_response(
            Failure(
                'internal_error',
                f'unexpected {type(error).__name__}',
                Step.RESPOND,
                execution=Execution.UNKNOWN,
                status=500,
            )
        )

    def _failure_response(self, failure: Failure) -> HttpResponse:
        self.state.report_failure(failure)
        return json_response(failure.status, failure.as_json())

    async def _send_failure(self, failure: Failure) -> None:
        response = self._failure_response(failure)
        response.headers['connection'] = 'close'
        # The method may be unknown; any but HEAD makes `_send` add the body.
        await self._send(response, 'GET')

    async def _send(self, response: HttpResponse, method: str) -> None:
        try:
            payload = self._encode(response, method)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            # The handler returned a response that HTTP does not allow.
            fallback = self._error_response(error)
            payload = self._encode(fallback, method)
        limit_s = self.state.limits.send_timeout_s
        try:
            await curio.timeout_after(limit_s, self.sock.sendall, payload)
        except curio.TaskTimeout:
            message = 'the client did not read its response in time'
            raise TimeoutError(message) from None

    def _encode(self, response: HttpResponse, method: str) -> bytes:
        headers = dict(response.headers)
        headers['content-length'] = str(len(response.body))
        if self.state.is_closing:
            headers['connection'] = 'close'
        head = h11.Response(
            status_code=response.status, headers=encode_headers(headers)
        )
        payload = self.http.send(head) or b''
        if method != 'HEAD':
            payload += self.http.send(h11.Data(data=response.body)) or b''
        return payload + (self.http.send(h11.EndOfMessage()) or b'')
