"""HTTP/2 connection that carries gRPC messages, for client and server."""

import struct
from collections import deque
from collections.abc import Collection
from typing import Any

import attrs
from h2 import events
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.exceptions import ProtocolError
from h2.settings import SettingCodes

from clementinebank.clock import now
from clementinebank.http import (
    Holding,
    MemoryPart,
    ReadTurn,
    ServerResources,
    is_closed_by_peer,
    shut_down_socket,
)

READ_SIZE_BYTES = 65_536
# Bytes that are parsed without letting other tasks run. The smallest frames
# have nine bytes and take about 0.1 ms each.
PARSED_SIZE_BYTES = 1024
# A whole document has at most 1 MB; the names and digests of its sections are
# added to that.
MAX_MESSAGE_BYTES = 1_500_000
# Flow control window. It is larger than any message, so that a sender never
# waits for window updates of the receiver within a message.
WINDOW_BYTES = 2_000_000
# A message, and its copy while it is decoded.
COPIES = 2
CONTENT_TYPE = 'application/grpc+proto'
REPLY_HEADERS = ((':status', '200'), ('content-type', CONTENT_TYPE))
# Flag of compression and length of the payload, before each gRPC message.
MESSAGE_PREFIX = struct.Struct('>BI')
_HEADER_EVENTS: Any = (
    events.RequestReceived,
    events.ResponseReceived,
    events.TrailersReceived,
)
_END_EVENTS = (events.StreamReset, events.ConnectionTerminated)


class RpcProtocolError(Exception):
    """The other side broke the protocol or closed within a message."""


def add_message_prefix(payload: bytes) -> bytes:
    """Return a payload with the gRPC prefix before it."""
    return MESSAGE_PREFIX.pack(0, len(payload)) + payload


def strip_message_prefix(body: bytes) -> bytes:
    """Return the payload of one gRPC message.

    Raises
    ------
    RpcProtocolError
        If the prefix is missing, announces compression or gives another
        length than that of the payload.
    """
    if len(body) < MESSAGE_PREFIX.size:
        raise RpcProtocolError('the message has no gRPC prefix')
    compressed, length = MESSAGE_PREFIX.unpack_from(body)
    payload = body[MESSAGE_PREFIX.size :]
    if compressed or length != len(payload):
        raise RpcProtocolError(
            'the message is compressed or its length is wrong'
        )
    return payload


@attrs.frozen
class ReceivedMessage:
    """Headers and body of one stream that the other side has ended."""

    stream_id: int
    headers_by_name: dict[str, str]
    body: bytes


@attrs.define(eq=False)
class RpcConnection:
    """One side of an HTTP/2 connection with one message at a time.

    Parameters
    ----------
    sock : object
        Connected curio socket.
    is_client : bool
        Whether this side sends the requests.
    bytes_sent, bytes_received : int
        Bytes since an owner has reset the count.
    accepting_paths : collection of str
        Methods whose reply headers a server sends as soon as the headers of a
        call have arrived, so that the caller knows that the call is accepted.
    resources : ServerResources
        Memory of the received messages, and the lane of those that take much
        work; shared by the connections of a server.
    """

    sock: Any
    is_client: bool
    bytes_sent: int = 0
    bytes_received: int = 0
    accepting_paths: Collection[str] = ()
    resources: ServerResources = attrs.Factory(ServerResources)
    _turn: ReadTurn = attrs.field(init=False)
    _holding: Holding = attrs.field(init=False)
    _unparsed: memoryview = memoryview(b'')
    _http: Any = attrs.field(init=False)
    _events: deque[Any] = attrs.Factory(deque)
    _headers: dict[str, str] = attrs.Factory(dict)
    _body: bytearray = attrs.Factory(bytearray)

    def __attrs_post_init__(self) -> None:
        """Create the HTTP/2 protocol state."""
        self._turn = ReadTurn(self.resources.lane)
        self._holding = Holding(
            self.resources.memory,
            MemoryPart.PEERS,
            self.shed if not self.is_client else None,
        )
        self._http = H2Connection(
            H2Configuration(client_side=self.is_client, header_encoding='utf-8')
        )

    @property
    def is_closed_by_peer(self) -> bool:
        """Return whether the other side closed or reset the connection."""
        return is_closed_by_peer(self.sock)

    async def start(self) -> None:
        """Send the connection preface and enlarge the receive window."""
        window = SettingCodes.INITIAL_WINDOW_SIZE
        self._http.initiate_connection()
        self._http.update_settings({window: WINDOW_BYTES})
        self._http.increment_flow_control_window(WINDOW_BYTES)
        await self.flush()

    def next_stream_id(self) -> int:
        """Return the stream id for a new request."""
        return int(self._http.get_next_available_stream_id())

    async def send_open(
        self, stream_id: int, headers: dict[str, str], payload: bytes
    ) -> None:
        """Send a message without ending the stream; ``end`` does so.

        The other side doesn't handle the message before the end.
        """
        self._http.send_headers(stream_id, list(headers.items()))
        await self._send_body(stream_id, add_message_prefix(payload))
        await self.flush()

    async def wait_for_headers(self) -> None:
        """Wait for the headers of the reply.

        Raises
        ------
        RpcProtocolError
            If the other side breaks the protocol or closes before.
        """
        while not self._headers:
            if not self._events and not await self._receive_events():
                raise RpcProtocolError('the peer closed before its reply')
            while self._events and not self._headers:
                self._handle_event(self._events.popleft())

    async def end(self, stream_id: int) -> None:
        """End a stream whose message ``send_open`` has sent."""
        self._http.end_stream(stream_id)
        await self.flush()

    async def send(
        self,
        stream_id: int,
        headers: dict[str, str],
        payload: bytes,
        trailers: dict[str, str] | None = None,
    ) -> None:
        """Send one message and end the stream on this side.

        Parameters
        ----------
        stream_id : int
            Stream of the call.
        headers : dict of str to str
            HTTP/2 headers, pseudo-headers first; empty if they were sent as
            the acceptance of the call.
        payload : bytes
            Encoded message without the gRPC prefix.
        trailers : dict of str to str, optional
            Headers after the message.

        Raises
        ------
        RpcProtocolError
            If the other side breaks the protocol or closes meanwhile.
        """
        if headers:
            self._http.send_headers(stream_id, list(headers.items()))
        await self._send_body(stream_id, add_message_prefix(payload))
        if trailers:
            self._http.send_headers(
                stream_id, list(trailers.items()), end_stream=True
            )
        else:
            self._http.end_stream(stream_id)
        await self.flush()

    async def receive(self) -> ReceivedMessage | None:
        """Return the next message, ``None`` if the other side has closed.

        Raises
        ------
        RpcProtocolError
            If the other side breaks the protocol, closes within a message or
            sends one that is larger than ``MAX_MESSAGE_BYTES``.
        """
        message = self._next_message()
        while message is None:
            await self._turn.yield_if_due()
            # Received data may have queued window updates for the other side.
            await self.flush()
            if not await self._receive_events():
                if self._body or self._headers:
                    raise RpcProtocolError('the peer closed within a message')
                return None
            message = self._next_message()
        # The message is handled now, which a shed connection would undo.
        self._holding.shed = None
        return message

    def end_message(self) -> None:
        """Give the memory of the last message back."""
        self._turn.restart()
        self._holding.release()
        self._holding.shed = self.shed

    def shed(self) -> None:
        """Close the connection at once, to make room for others."""
        shut_down_socket(self.sock)

    async def flush(self) -> None:
        """Write the bytes that the protocol state has queued."""
        pending = self._http.data_to_send()
        if pending:
            self.bytes_sent += len(pending)
            await self.sock.sendall(pending)

    async def close(self) -> None:
        """Close the socket."""
        self._holding.release()
        await self.sock.close()

    async def _receive_events(self) -> bool:
        if not self._unparsed:
            chunk = await self.sock.recv(READ_SIZE_BYTES)
            if not chunk:
                return False
            self.bytes_received += len(chunk)
            self._unparsed = memoryview(chunk)
        # The rest waits, so that its events take no memory.
        parsed = bytes(self._unparsed[:PARSED_SIZE_BYTES])
        self._unparsed = self._unparsed[PARSED_SIZE_BYTES:]
        started_at = now()
        self._parse(parsed)
        self._turn.add_work(now() - started_at)
        await self._turn.yield_if_due()
        await self.flush()
        return True

    def _parse(self, received: bytes) -> None:
        try:
            self._events.extend(self._http.receive_data(received))
        except (ProtocolError, UnicodeDecodeError) as error:
            raise RpcProtocolError(f'invalid HTTP/2: {error!r}') from error

    async def _send_body(self, stream_id: int, body: bytes) -> None:
        rest = memoryview(body)
        while rest:
            size = min(
                self._http.local_flow_control_window(stream_id),
                self._http.max_outbound_frame_size,
            )
            if size > 0:
                self._http.send_data(stream_id, bytes(rest[:size]))
                rest = rest[size:]
                continue
            await self.flush()
            if not await self._receive_events():
                raise RpcProtocolError(
                    'the peer closed while a message was sent'
                )

    def _next_message(self) -> ReceivedMessage | None:
        message = None
        while self._events and message is None:
            message = self._handle_event(self._events.popleft())
        return message

    def _handle_event(self, event: Any) -> ReceivedMessage | None:
        if isinstance(event, events.DataReceived):
            self._append_data(event)
        elif isinstance(event, _HEADER_EVENTS):
            self._add_headers(event)
        elif isinstance(event, _END_EVENTS):
            raise RpcProtocolError(
                'the peer reset the stream or ended the connection'
            )
        elif isinstance(event, events.StreamEnded):
            return self._pop_message(event.stream_id)
        return None

    def _add_headers(self, event: Any) -> None:
        self._headers.update(event.headers)
        is_request = isinstance(event, events.RequestReceived)
        if is_request and self._headers.get(':path') in self.accepting_paths:
            self._http.send_headers(event.stream_id, REPLY_HEADERS)

    def _append_data(self, event: Any) -> None:
        size = len(self._body) + len(event.data)
        if size > MAX_MESSAGE_BYTES + MESSAGE_PREFIX.size:
            raise RpcProtocolError(
                f'the message is larger than {MAX_MESSAGE_BYTES} bytes'
            )
        if not self._holding.grow_to(COPIES * size):
            raise RpcProtocolError('there is no memory left for the message')
        self._holding.note_progress(len(event.data))
        self._body += event.data
        self._http.acknowledge_received_data(
            event.flow_controlled_length, event.stream_id
        )

    def _pop_message(self, stream_id: int) -> ReceivedMessage:
        message = ReceivedMessage(stream_id, self._headers, bytes(self._body))
        self._headers = {}
        self._body = bytearray()
        return message
