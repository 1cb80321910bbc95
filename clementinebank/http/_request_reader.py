"""Read one HTTP request within the limits of a server."""

from collections.abc import Callable
from typing import Any

import attrs
import curio
import h11

from clementinebank.clock import now
from clementinebank.errors import Failure, Step
from clementinebank.http._limits import HttpLimits
from clementinebank.http._memory import Holding, MemoryPart
from clementinebank.http._messages import HttpRequest
from clementinebank.http._sockets import READ_SIZE_BYTES
from clementinebank.http._turns import ReadTurn

BAD_REQUEST_STATUS = 400
REQUEST_TIMEOUT_STATUS = 408
CONTENT_TOO_LARGE_STATUS = 413
HEADERS_TOO_LARGE_STATUS = 431
UNAVAILABLE_STATUS = 503
# Retry-After of a body for which there is no memory; short, because the next
# attempt reaches another instance.
RETRY_AFTER_S = 0.1
# Largest body that has its own part of the memory.
MAX_SMALL_BODY_BYTES = 8192
# A body, and its copy on the way to an upstream.
COPIES = 2
# Input of a reader in the lane, which waits in the buffers of the system and
# of the protocol state.
UNREAD_BYTES = 2 * READ_SIZE_BYTES
# A request with one of these headers twice is ambiguous and refused.
UNREPEATABLE_HEADERS = frozenset(
    ('request-id', 'deadline-ms', 'idempotency-key')
)


@attrs.define(eq=False)
class RequestReader:
    """Reads one request; a failure names the limit that was exceeded.

    Sizes are compared with the limits that are in force at that moment, which
    may have changed since the connection was opened or the request began.

    Parameters
    ----------
    sock : object
        Connected curio socket.
    http : h11.Connection
        Protocol state of the connection.
    get_limits : callable
        Returns the largest sizes and longest times that are accepted now.
    holding : Holding
        Memory of the body, which the caller of ``read`` gives back.
    turn : ReadTurn
        Turn of the task of the connection.
    on_head : callable
        Called when the headers are complete.
    """

    sock: Any
    http: Any
    get_limits: Callable[[], HttpLimits]
    holding: Holding
    turn: ReadTurn
    on_head: Callable[[], None]
    _body_bytes: int = 0
    _unread_bytes: int = 0

    @property
    def limits(self) -> HttpLimits:
        """Return the limits in force."""
        return self.get_limits()

    async def read(self) -> HttpRequest | None:
        """Return the request, or ``None`` if the client closed before it.

        Raises
        ------
        Failure
            If the request is malformed, too large or too slow, or if there
            is no memory for its body.
        """
        try:
            head = await self._read_in_time(
                self._read_head, self.limits.header_timeout_s, 'headers'
            )
            if head is None:
                return None
            headers = _decode_headers(head)
            body = await self._read_in_time(
                self._read_body, self.limits.body_timeout_s, 'body'
            )
        except h11.RemoteProtocolError as error:
            raise _refusal(
                'malformed_request', str(error), None, BAD_REQUEST_STATUS
            ) from error
        return HttpRequest(
            head.method.decode('ascii'),
            head.target.decode('latin-1'),
            headers,
            body,
        )

    async def _read_in_time(
        self, read: Any, timeout_s: float, field: str
    ) -> Any:
        try:
            async with curio.timeout_after(timeout_s):
                return await read()
        except curio.TaskTimeout:
            message = f'the {field} did not arrive within {timeout_s} s'
            raise _refusal(
                'request_timeout', message, field, REQUEST_TIMEOUT_STATUS
            ) from None

    async def _read_head(self) -> Any:
        head = await self._next_event()
        if not isinstance(head, h11.Request):
            return None
        self.on_head()
        for name, length in head.headers:
            if name == b'content-length':
                self._check_body_size(int(length))
                self._hold(int(length))
        return head

    async def _read_body(self) -> bytes:
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            size = len(body) + len(event.data)
            self._check_body_size(size)
            self._hold(size)
            self.holding.note_progress(len(event.data))
            body += event.data
            event = await self._next_event()
        return bytes(body)

    def _check_body_size(self, length: int) -> None:
        limit = self.limits.max_body_bytes
        if length > limit:
            raise self._too_large(
                'body_too_large', limit, 'body', CONTENT_TOO_LARGE_STATUS
            )

    def _hold(self, length: int) -> None:
        """Hold the memory of a body; raise if there is none.

        A body with a stated length is refused before it is read.
        """
        self._body_bytes = max(self._body_bytes, length)
        size = COPIES * self._body_bytes + self._unread_bytes
        holding = self.holding
        if size > COPIES * MAX_SMALL_BODY_BYTES and (
            holding.part is MemoryPart.SMALL_REQUESTS
        ):
            holding.move_to(MemoryPart.REQUESTS)
        if holding.is_shed or not holding.grow_to(size):
            raise Failure(
                'memory_full',
                'the instance has no memory left for the body',
                Step.ACCEPT,
                field='body',
                status=UNAVAILABLE_STATUS,
                retry_after_s=RETRY_AFTER_S,
            )

    async def _next_event(self) -> Any:
        await self._end_turn()
        event = self._parse()
        while event is h11.NEED_DATA:
            await self._receive_bytes()
            await self._end_turn()
            event = self._parse()
        return event

    async def _end_turn(self) -> None:
        if self.turn.is_heavy and not self._unread_bytes:
            self._unread_bytes = UNREAD_BYTES
            self._hold(self._body_bytes)
        await self.turn.yield_if_due()

    def _parse(self) -> Any:
        started_at = now()
        event = self.http.next_event()
        self.turn.add_work(now() - started_at)
        if event is h11.NEED_DATA:
            self._check_incomplete_size()
        return event

    def _check_incomplete_size(self) -> None:
        """Raise if the headers, or a line of a chunked body, are too large."""
        limit = self.limits.max_header_bytes
        if len(self.http.trailing_data[0]) > limit:
            raise self._too_large(
                'headers_too_large', limit, 'headers', HEADERS_TOO_LARGE_STATUS
            )

    async def _receive_bytes(self) -> None:
        if self.http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            await self.sock.sendall(self.http.send(interim))
        self.http.receive_data(await self.sock.recv(READ_SIZE_BYTES))

    def _too_large(
        self, code: str, limit: int, field: str, status: int
    ) -> Failure:
        if self.limits.are_provisional:
            return Failure(
                'limits_unknown',
                f'the largest size of the {field} is not known yet',
                Step.ACCEPT,
                field=field,
                status=UNAVAILABLE_STATUS,
                retry_after_s=RETRY_AFTER_S,
            )
        message = f'the {field} exceeds the limit of {limit} bytes'
        return _refusal(code, message, field, status)


def _decode_headers(head: Any) -> dict[str, str]:
    headers: dict[str, str] = {}
    for raw_name, raw_text in head.headers:
        name, text = raw_name.decode('latin-1'), raw_text.decode('latin-1')
        if name not in headers:
            headers[name] = text
        elif name in UNREPEATABLE_HEADERS:
            message = f'the header {name} is given more than once'
            raise _refusal(
                'duplicate_header', message, name, BAD_REQUEST_STATUS
            )
        else:
            headers[name] = f'{headers[name]}, {text}'
    return headers


def _refusal(
    code: str, message: str, field: str | None, status: int
) -> Failure:
    return Failure(code, message, Step.ACCEPT, field=field, status=status)
