"""HTTP/1.1 client connection on curio with h11."""

import contextlib
import re
import socket
from typing import Any

import attrs
import curio
import h11

from clementinebank.clock import now
from clementinebank.http._buffers import MAX_REPLY_BYTES, BufferLimit
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    decode_headers,
    encode_headers,
)
from clementinebank.http._shared_socket import SharedSocket
from clementinebank.http._sockets import (
    READ_SIZE_BYTES,
    has_input,
    shut_down_socket,
)
from clementinebank.http._turns import ReadTurn

MAX_REPLY_HEADER_BYTES = 64 * 1024
# Informational (1xx) responses that may precede a response. Without a bound, a
# server could keep the call waiting by sending them for ever.
MAX_INFORMATIONAL_RESPONSES = 16
# Greatest status that has a meaning (RFC 9110, section 15); h11 refuses those
# below 100.
MAX_STATUS = 599
STATUSES_WITHOUT_BODY = frozenset((204, 304))
# Without a body, requests of these methods carry no content-length header:
# `content-length: 0` would only enlarge each of many small requests.
METHODS_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))
# Of a longer time, the first nine digits are read: int() refuses thousands.
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(r'timeout=(\d{1,9})')
# Within a head, the start of another response: what precedes it is a part of an
# earlier one. The version is looked for first, because most heads hold none.
VERSION_PREFIX = b'HTTP/1.'
STATUS_LINE_PATTERN = re.compile(rb'HTTP/1\.\d \d{3}(?: |$)', re.MULTILINE)
FOLDED_LINE_PATTERN = re.compile(rb'\n[ \t]')
# Control characters other than the tab and those that end lines.
CONTROL_CHARACTER_PATTERN = re.compile(rb'[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]')
# A connection is not reused in the last part of the idle time that the server
# allows: a request sent while the server closes it would be lost.
IDLE_TIMEOUT_MARGIN_S = 0.75
# TCP keep-alive: the kernel reports a connection whose other side vanished
# without a reset after about TCP_KEEP_ALIVE_IDLE_S +
# TCP_KEEP_ALIVE_PROBE_COUNT * TCP_KEEP_ALIVE_INTERVAL_S seconds.
TCP_KEEP_ALIVE_IDLE_S = 1
TCP_KEEP_ALIVE_INTERVAL_S = 1
TCP_KEEP_ALIVE_PROBE_COUNT = 2
TCP_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEP_ALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEP_ALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEP_ALIVE_PROBE_COUNT),
)


class HttpProtocolError(Exception):
    """The server sent invalid HTTP or closed the connection too early."""


class UnsendableRequestError(HttpProtocolError):
    """HTTP doesn't allow the request; no byte of it was sent."""


@attrs.define
class HttpConnection:
    """HTTP/1.1 client connection with at most one unanswered request.

    Parameters
    ----------
    host : str
        IPv4 address of the server.
    port : int
        TCP port.
    max_body_bytes : int
        Largest accepted body of a response, in bytes.
    allows_close_delimited : bool
        Whether a response may state no length; its body then ends where the
        server closes the connection.
    buffers : BufferLimit
        Bound of this and all other response bodies that are being read.
    bytes_sent : int
        Bytes passed to the socket, over all requests.
    has_partial_response : bool
        Whether the head of the last response was read, but not all of its
        body.
    """

    host: str
    port: int
    max_body_bytes: int = MAX_REPLY_BYTES
    allows_close_delimited: bool = False
    buffers: BufferLimit = attrs.Factory(BufferLimit)
    bytes_sent: int = 0
    has_partial_response: bool = False
    _sock: Any = None
    _http: Any = None
    _reusable_until: float = float('inf')
    _is_aborted: bool = False

    async def connect(self) -> None:
        """Open a new connection, closing the previous one if it is open.

        Raises
        ------
        OSError
            If the server cannot be reached or refuses the connection.
        """
        await self.close()
        self._sock = await open_socket(self.host, self.port)
        self._is_aborted = False
        self._reusable_until = float('inf')
        self._http = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_REPLY_HEADER_BYTES
        )

    @property
    def local_port(self) -> int:
        """Return the TCP port on this side, 0 if there is none."""
        name = self._sock.getsockname() if self._sock is not None else None
        return int(name[1]) if isinstance(name, tuple) else 0

    @property
    def is_reusable(self) -> bool:
        """Return whether the open connection can carry another request.

        False after an unread byte or the close of the server: unexpected
        bytes would be read as the response to the next request.
        """
        if self._sock is None or now() >= self._reusable_until:
            return False
        return (
            self._http.our_state is h11.IDLE
            and not self._http.trailing_data[0]
            and not has_input(self._sock)
        )

    async def request(self, message: HttpRequest) -> HttpResponse:
        """Send one request and read its response.

        Raises
        ------
        HttpProtocolError
            If the response is malformed, too large or cut short.
        OSError
            If the transport fails.
        """
        await self.send(message)
        return await self.receive()

    async def send(self, message: HttpRequest) -> None:
        """Send one request.

        Its size is added to ``bytes_sent`` before the first byte is sent, so
        a ``bytes_sent`` of zero after a failure proves that nothing left.

        Raises
        ------
        UnsendableRequestError
            If HTTP doesn't allow the request, before a byte is sent.
        OSError
            If the transport fails.
        """
        payload = self._encode(message)
        self.bytes_sent += len(payload)
        await self._sock.sendall(payload)

    async def receive_after_late_response(
        self, message: HttpRequest
    ) -> HttpResponse:
        """Read the next response after a late one to an earlier request.

        The server still sends the response to ``message``; this call reads it
        without sending the request again.

        Parameters
        ----------
        message : HttpRequest
            Request that was sent last and has no response yet.

        Raises
        ------
        HttpProtocolError
            If the earlier response closed the connection, or the next one is
            malformed, too large or cut short.
        OSError
            If the transport fails.
        """
        if self._http.our_state is not h11.IDLE:
            raise HttpProtocolError(
                'the earlier response closed the connection'
            )
        # h11 took the earlier response for the one to `message` and awaits a
        # new request. Encoding `message` again tells h11 to expect another
        # response; the bytes are discarded because they were sent before.
        self._encode(message)
        return await self.receive()

    def _encode(self, message: HttpRequest) -> bytes:
        try:
            return self._encode_unchecked(message)
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            raise UnsendableRequestError(str(error)) from error

    def _encode_unchecked(self, message: HttpRequest) -> bytes:
        headers = {'host': f'{self.host}:{self.port}', **message.headers}
        if message.body or message.method not in METHODS_WITHOUT_BODY:
            headers['content-length'] = str(len(message.body))
        head = h11.Request(
            method=message.method,
            target=message.target,
            headers=encode_headers(headers),
        )
        payload = self._http.send(head)
        if message.body:
            payload += self._http.send(h11.Data(data=message.body))
        payload += self._http.send(h11.EndOfMessage())
        return bytes(payload)

    async def receive(self) -> HttpResponse:
        """Read the next response, skipping informational (1xx) ones.

        Raises
        ------
        HttpProtocolError
            If the response is malformed, too large or cut short.
        OSError
            If the transport fails.
        """
        turn = ReadTurn()
        self.has_partial_response = False
        head = await self._read_head(turn)
        if head.status_code > MAX_STATUS:
            raise HttpProtocolError(f'the status is {head.status_code}')
        self.has_partial_response = True
        headers, repeated = decode_headers(head.headers.raw_items())
        self._check_length(head.status_code, headers)
        body = await self._read_body(turn)
        self.has_partial_response = False
        self._start_next_cycle()
        self._reusable_until = now() + _idle_limit_s(headers)
        return HttpResponse(head.status_code, headers, body, repeated)

    def abort(self) -> None:
        """Shut the socket down, so that the task that reads from it fails.

        The server sees the end of the connection at once and can stop work
        on the request. The socket stays open until ``close``, which is left
        to the task that reads the response.
        """
        if self._sock is not None:
            self._is_aborted = True
            shut_down_socket(self._sock)

    async def close(self) -> None:
        """Close the connection; do nothing if it is closed."""
        if self._sock is not None:
            sock = self._sock
            self._sock = None
            with contextlib.suppress(OSError):
                await sock.close()

    def _check_length(self, status: int, headers: dict[str, str]) -> None:
        """Raise if the body is too large or its length is not stated."""
        length = headers.get('content-length')
        if length is None:
            is_stated = (
                'transfer-encoding' in headers
                or status in STATUSES_WITHOUT_BODY
                or self.allows_close_delimited
            )
            if not is_stated:
                raise HttpProtocolError('the response has no length header')
        elif int(length) > self.max_body_bytes:
            raise HttpProtocolError('the response body is too large')

    async def _read_head(self, turn: ReadTurn) -> Any:
        received = bytearray(self._http.trailing_data[0])
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            head = await self._next_event(turn, received)
            size = len(received) - len(self._http.trailing_data[0])
            _check_lines(received[:size])
            del received[:size]
            _check_is_one_head(head)
            if not isinstance(head, h11.InformationalResponse):
                return head
        raise HttpProtocolError(
            f'more than {MAX_INFORMATIONAL_RESPONSES} informational responses'
        )

    async def _read_body(self, turn: ReadTurn) -> bytes:
        body = bytearray()
        try:
            event = await self._next_event(turn)
            while isinstance(event, h11.Data):
                self._append(body, event.data)
                event = await self._next_event(turn)
        finally:
            self.buffers.release(len(body))
        return bytes(body)

    def _append(self, body: bytearray, data: bytes) -> None:
        """Append to a body; raise if it, or all together, get too large."""
        if len(body) + len(data) > self.max_body_bytes:
            raise HttpProtocolError('the response body is too large')
        if not self.buffers.reserve(len(data)):
            raise HttpProtocolError(
                'the response bodies together are too large'
            )
        body += data

    def _start_next_cycle(self) -> None:
        states = {self._http.our_state, self._http.their_state}
        if states == {h11.DONE}:
            self._http.start_next_cycle()

    async def _next_event(
        self, turn: ReadTurn, received: bytearray | None = None
    ) -> Any:
        """Return the next event; append what is received to ``received``."""
        while True:
            await turn.yield_if_due()
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                return event
            chunk = await self._sock.recv(READ_SIZE_BYTES)
            self._http.receive_data(chunk)
            if not chunk:
                return self._parse_end(has_begun=bool(received))
            if received is not None:
                received += chunk

    def _parse_end(self, *, has_begun: bool) -> Any:
        """Return the event that the end of the connection makes, if any.

        The end of a response without a length is one; otherwise this raises.
        Bytes that came before have been parsed, so that an error tells of the
        end only, which h11 describes by its own states.
        """
        try:
            return self._parse_event()
        except HttpProtocolError as error:
            side = 'this side' if self._is_aborted else 'the server'
            is_partial = has_begun or self.has_partial_response
            moment = 'in the middle of' if is_partial else 'before'
            raise HttpProtocolError(
                f'{side} closed the connection {moment} its response'
            ) from error

    def _parse_event(self) -> Any:
        """Return the next event in the received bytes, or ``NEED_DATA``."""
        try:
            event = self._http.next_event()
        except h11.RemoteProtocolError as error:
            raise HttpProtocolError(str(error)) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise HttpProtocolError('the connection was closed')
        return event


async def open_socket(host: str, port: int) -> SharedSocket:
    """Return a socket connected to an IPv4 address.

    ``curio.open_connection`` is not used: it resolves the address in a
    thread, which took longer than the rest of the connect.

    Raises
    ------
    OSError
        If the server cannot be reached or refuses the connection.
    """
    sock = SharedSocket(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
    try:
        for level, option, setting in TCP_OPTIONS:
            sock.setsockopt(level, option, setting)
        await sock.connect((host, port))
    except BaseException:
        await sock.close()
        raise
    return sock


def _check_lines(raw_head: bytearray) -> None:
    """Raise if a head has lines that must not be passed on.

    h11 takes control characters, which callers may read as they like (RFC 9110,
    section 5.5). It joins a line that begins with a blank to the one before it,
    so that a field which the server put there would be lost (RFC 9112, section
    5.2).
    """
    if FOLDED_LINE_PATTERN.search(raw_head):
        raise HttpProtocolError(
            'the head holds a line that begins with a blank'
        )
    if CONTROL_CHARACTER_PATTERN.search(raw_head):
        raise HttpProtocolError('the head holds a control character')


def _check_is_one_head(head: Any) -> None:
    """Raise if a head begins with a part of another response.

    A server may send the beginning of an earlier response once more. The status
    line that is due then ends the reason or a header of that part.
    """
    texts = [text for _, text in head.headers.raw_items()]
    lines = b'\n'.join((head.reason, *texts))
    if VERSION_PREFIX in lines and STATUS_LINE_PATTERN.search(lines):
        raise HttpProtocolError('the head holds a part of another response')


def _idle_limit_s(headers: dict[str, str]) -> float:
    """Return how long a connection stays reusable while idle, in seconds.

    The limit comes from the ``Keep-Alive`` header of a response; without one
    it is infinite.
    """
    stated = KEEP_ALIVE_TIMEOUT_PATTERN.search(headers.get('keep-alive', ''))
    if stated is None:
        return float('inf')
    return max(0, int(stated.group(1)) - IDLE_TIMEOUT_MARGIN_S)


async def fetch(
    host: str, port: int, message: HttpRequest, timeout_s: float
) -> HttpResponse:
    """Send one request over a new connection and return its response.

    Raises
    ------
    HttpProtocolError
        If the response is malformed, too large or cut short.
    OSError
        If the transport fails.
    curio.TaskTimeout
        If no complete response arrives within ``timeout_s`` seconds.
    """
    connection = HttpConnection(host, port)
    try:
        async with curio.timeout_after(timeout_s):
            await connection.connect()
            return await connection.request(message)
    finally:
        await connection.close()
