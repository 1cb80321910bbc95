"""One connection of an HTTP server and the state all of them share."""

import enum
import sys
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
import h11
from eliot import write_traceback

from clementinebank.clock import now
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http._limits import HttpLimits
from clementinebank.http._memory import Holding, MemoryPart
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    encode_headers,
    json_response,
)
from clementinebank.http._request_reader import RequestReader
from clementinebank.http._resources import ServerResources
from clementinebank.http._sockets import (
    WaitInterrupt,
    has_input,
    is_closed_by_peer,
    linger,
    shut_down_socket,
    wait_for_input,
)
from clementinebank.http._turns import ReadTurn

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]
REQUEST_TIMEOUT_STATUS = 408
# Bytes of a response that are passed to the socket at once.
SEND_SIZE_BYTES = 65_536


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
    resources : ServerResources
        Shared with the other servers of the process.
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
    resources: ServerResources = attrs.Factory(ServerResources)
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
    waiting_since : float or None
        Time since which it waits for a request or the rest of its headers;
        ``None`` while a request is read further or served.
    is_shed : bool
        Whether it was closed to make room for another one.
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
    waiting_since: float | None = None
    is_shed: bool = False
    _turn: ReadTurn = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the protocol state."""
        # The limit in force may change while the connection is open, so that
        # the reader of each request checks it.
        self.http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=sys.maxsize
        )
        self._turn = ReadTurn(self.state.resources.lane)

    async def run(self) -> None:
        """Serve requests one after the other, then close the connection."""
        next_step = NextStep.REUSE
        try:
            while next_step is NextStep.REUSE:
                next_step = await self._serve_next()
                # A client may send its next request before each response.
                await self._turn.yield_if_due()
            if next_step is NextStep.LINGER:
                # Its buffer holds input that isn't read any more.
                self.http = None
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

    def shed(self) -> None:
        """Close the connection at once, to make room for another one."""
        self.is_shed = True
        shut_down_socket(self.sock)

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
        self.waiting_since = now()
        if not self.http.trailing_data[0]:
            if not await self._wait_for_request():
                return await self._close_idle()
            self._turn.restart()
        holding = Holding(
            self.state.resources.memory,
            MemoryPart.SMALL_REQUESTS,
            self.shed,
        )
        try:
            return await self._serve_held(holding)
        finally:
            holding.release()

    async def _serve_held(self, holding: Holding) -> NextStep:
        """Serve one request with the memory that its body holds."""
        reader = RequestReader(
            self.sock,
            self.http,
            lambda: self.state.limits,
            holding,
            self._turn,
            self._on_head,
        )
        try:
            request = await reader.read()
        except Failure as failure:
            if self.is_shed:
                return NextStep.CLOSE
            await self._send_failure(failure)
            return NextStep.LINGER
        # A connection that was shed can't carry an answer any more, so that
        # its request isn't begun.
        if request is None or self.is_shed:
            return NextStep.CLOSE
        holding.shed = None
        self.is_responding = True
        method = request.method
        response = await self._respond(request)
        del request, reader
        holding.release()
        await self._send(response, method)
        self.is_responding = False
        states = {self.http.our_state, self.http.their_state}
        if states != {h11.DONE}:
            return NextStep.LINGER
        self.http.start_next_cycle()
        return NextStep.REUSE

    def _on_head(self) -> None:
        self.waiting_since = None

    async def _wait_for_request(self) -> bool:
        """Return whether a request, or the end of the stream, has arrived.

        Waits for it up to the idle timeout, also if that is raised meanwhile,
        but not at all while draining.
        """
        idle_since = now()
        while not self.state.is_draining:
            end = idle_since + self.state.limits.idle_timeout_s
            if now() >= end:
                return False
            self.is_idle = True
            try:
                if await wait_for_input(self.sock, end - now()):
                    return True
            finally:
                self.is_idle = False
        return has_input(self.sock)

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
        headers = (
            {}
            if failure.retry_after_s is None
            else {'retry-after': f'{failure.retry_after_s:g}'}
        )
        return json_response(failure.status, failure.as_json(), headers)

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
        del response
        holding = Holding(
            self.state.resources.memory, MemoryPart.ANSWERS, self.shed
        )
        try:
            await self._send_held(payload, holding)
        finally:
            holding.release()

    async def _send_held(self, payload: bytes, holding: Holding) -> None:
        """Send bytes to a client that takes some of them all the time.

        Raises
        ------
        OSError
            If the client is gone or takes none for the send timeout, or if
            there is no memory for the bytes.
        """
        if not holding.grow_to(len(payload)):
            raise OSError('the instance has no memory left for the response')
        limit_s = self.state.limits.send_timeout_s
        rest = memoryview(payload)
        try:
            while rest:
                sent = await curio.timeout_after(
                    limit_s, self.sock.send, rest[:SEND_SIZE_BYTES]
                )
                holding.note_progress(sent)
                rest = rest[sent:]
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
