"""HTTP/1.1 server on curio with h11."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
import h11

from clementinebank.errors import Failure, Step
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    json_response,
)

READ_SIZE_BYTES = 65_536
MAX_BODY_BYTES = 2 * 1024 * 1024
BACKLOG = 512

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@attrs.define
class HttpServer:
    """Listener that passes complete requests to a handler.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port to listen on.
    handler : callable
        Coroutine function from request to response.
    max_body_bytes : int
        Largest accepted body of a request.
    """

    host: str
    port: int
    handler: Handler
    max_body_bytes: int = MAX_BODY_BYTES
    in_flight: int = 0
    closing: bool = False

    async def serve(self) -> None:
        """Accept connections until the task is cancelled."""
        await curio.tcp_server(
            self.host, self.port, self._serve_connection, backlog=BACKLOG
        )

    async def _serve_connection(self, sock: Any, peer: Any) -> None:
        connection = _ServerConnection(sock, self)
        try:
            while await connection.serve_one():
                connection.start_next()
        except (OSError, h11.LocalProtocolError):
            # The caller closed the connection; nothing is left to answer.
            return


@attrs.define
class _ServerConnection:
    sock: Any
    server: HttpServer
    http: Any = attrs.field(factory=lambda: h11.Connection(h11.SERVER))

    async def serve_one(self) -> bool:
        """Serve one request; return whether the connection is reusable."""
        try:
            request = await self._read_request()
        except h11.RemoteProtocolError as error:
            await self._refuse('malformed_request', str(error), 400)
            return False
        except _BodyTooLargeError:
            limit = self.server.max_body_bytes
            message = f'the body is larger than {limit} bytes'
            await self._refuse('body_too_large', message, 413, 'body')
            return False
        if request is None:
            return False
        self.server.in_flight += 1
        try:
            await self._send(await self.server.handler(request))
        finally:
            self.server.in_flight -= 1
        return bool(
            self.http.our_state is h11.DONE
            and self.http.their_state is h11.DONE
        )

    def start_next(self) -> None:
        """Prepare for the next request on this connection."""
        self.http.start_next_cycle()

    async def _read_request(self) -> HttpRequest | None:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            body += event.data
            if len(body) > self.server.max_body_bytes:
                raise _BodyTooLargeError
            event = await self._next_event()
        is_whole = isinstance(event, h11.EndOfMessage)
        return _request_of(head, bytes(body)) if is_whole else None

    async def _next_event(self) -> Any:
        event = self.http.next_event()
        while event is h11.NEED_DATA:
            await self._fill()
            event = self.http.next_event()
        return event

    async def _fill(self) -> None:
        if self.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.sock.sendall(self.http.send(interim))
        self.http.receive_data(await self.sock.recv(READ_SIZE_BYTES))

    async def _refuse(
        self, code: str, message: str, status: int, field: str | None = None
    ) -> None:
        failure = Failure(code, message, Step.ACCEPT, field=field)
        headers = {'connection': 'close'}
        await self._send(json_response(status, failure.as_json(), headers))

    async def _send(self, response: HttpResponse) -> None:
        headers = dict(response.headers)
        headers['content-length'] = str(len(response.body))
        if self.server.closing:
            headers['connection'] = 'close'
        payload = self.http.send(
            h11.Response(
                status_code=response.status, headers=list(headers.items())
            )
        )
        payload += self.http.send(h11.Data(data=response.body))
        payload += self.http.send(h11.EndOfMessage())
        await self.sock.sendall(payload)


class _BodyTooLargeError(Exception):
    """The body of a request exceeds the limit of the server."""


def _request_of(head: Any, body: bytes) -> HttpRequest:
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in head.headers
    }
    return HttpRequest(
        head.method.decode('ascii'),
        head.target.decode('latin-1'),
        headers,
        body,
    )
