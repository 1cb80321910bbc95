"""Client of one server over a connection that is kept open."""

from collections.abc import Callable
from typing import Any, TypeVar

import attrs
import curio
from h2.exceptions import ProtocolError

from clementinebank.clock import run_before
from clementinebank.errors import Failure, Step
from clementinebank.http import open_socket
from clementinebank.rpc._connection import (
    CONTENT_TYPE,
    RpcConnection,
    RpcProtocolError,
    strip_message_prefix,
)
from clementinebank.validation import Address

# Statuses of a reply, in HTTP and in gRPC, that carries a message.
SUCCESS_STATUSES_BY_HEADER = {':status': '200', 'grpc-status': '0'}


class CallNotAcceptedError(Exception):
    """The server didn't accept a call in time, and will not handle it."""


# Exceptions with which a call can end, for ``except`` clauses.
CALL_ERRORS = (
    OSError,
    RpcProtocolError,
    ProtocolError,
    CallNotAcceptedError,
    curio.TaskTimeout,
)


Reply = TypeVar('Reply')


@attrs.frozen
class CallDeadlines:
    """Runtime times in seconds until which a call must have got so far."""

    acceptance: float
    answer: float


@attrs.define(eq=False)
class RpcChannel:
    """Client side of the calls to one address, one call at a time.

    Parameters
    ----------
    address : Address
        Where the server listens.
    lock : curio.Lock
        Held during a call.
    connection : RpcConnection or None
        Open connection; the next call opens one if it is ``None``.
    used_at : float
        Runtime time in seconds of the last use, set by the owner of the
        channel.
    bytes_sent, bytes_received : int
        Bytes since the last ``pop_byte_counts``.
    is_handled : bool
        Whether the server may have begun to handle the last call.
    is_retired : bool
        Whether ``close`` was called, so that no call leaves a connection open.
    """

    address: Address
    lock: Any = attrs.Factory(curio.Lock)
    connection: RpcConnection | None = None
    used_at: float = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    is_handled: bool = False
    is_retired: bool = False

    async def call_before(
        self,
        deadline: float,
        path: str,
        payload: bytes,
        decode: Callable[[bytes], Reply],
    ) -> Reply:
        """Send a message and return the decoded reply.

        A call that ends without its reply closes the connection, because a
        late reply on it would be mistaken for the reply to the next call.

        Parameters
        ----------
        deadline : float
            Runtime time in seconds at which the call is cancelled.
        path : str
            Path of the method to call.
        payload : bytes
            Encoded message.
        decode : callable
            Returns the decoded reply; raises ``RpcProtocolError`` if it is
            malformed.

        Raises
        ------
        curio.TaskTimeout
            If there is no reply before the deadline.
        OSError
            If the transport fails.
        RpcProtocolError, h2.exceptions.ProtocolError
            If the other side breaks the protocol or reports an error.
        """
        reply: Reply = await run_before(
            deadline, self._call, path, payload, decode
        )
        return reply

    async def call_when_accepted(
        self,
        deadlines: CallDeadlines,
        path: str,
        payload: bytes,
        decode: Callable[[bytes], Reply],
    ) -> Reply:
        """Make a call that the server accepts before it begins.

        The server handles the message only when the end of the stream arrives,
        which is sent after the acceptance. A call that wasn't accepted in time
        is therefore never handled, also by a process that was paused.

        Parameters
        ----------
        deadlines : CallDeadlines
            Runtime times until which the call must be accepted and answered.
        path, payload, decode
            As for ``call_before``.

        Raises
        ------
        CallNotAcceptedError
            If the server didn't accept the call in time.
        curio.TaskTimeout
            If it accepted the call, but didn't answer in time.
        OSError
            If the transport fails.
        RpcProtocolError, h2.exceptions.ProtocolError
            If the other side breaks the protocol or reports an error.
        """
        reply: Reply = await run_before(
            deadlines.answer,
            self._call,
            path,
            payload,
            decode,
            deadlines.acceptance,
        )
        return reply

    def pop_byte_counts(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last call of this."""
        counts = (self.bytes_sent, self.bytes_received)
        self.bytes_sent = 0
        self.bytes_received = 0
        return counts

    async def close(self) -> None:
        """Close the connection, after the call in progress if there is one.

        Only the task of a call closes the connection that it uses. Calls that
        wait, or begin later, each use a connection of their own.
        """
        self.is_retired = True
        if not self.lock.locked():
            await self._close_connection()

    async def _close_connection(self) -> None:
        connection = self.connection
        self.connection = None
        if connection is not None:
            await connection.close()

    async def _call(
        self,
        path: str,
        payload: bytes,
        decode: Callable[[bytes], Reply],
        accept_before: float | None = None,
    ) -> Reply:
        # The reply is decoded under the lock: a malformed one closes the
        # connection, on which no other call may be waiting by then.
        async with self.lock:
            is_done = False
            try:
                reply = decode(
                    await self._exchange(path, payload, accept_before)
                )
                is_done = True
            finally:
                self._add_byte_counts()
                if self.is_retired or not is_done:
                    await self._close_connection()
        return reply

    def _add_byte_counts(self) -> None:
        connection = self.connection
        if connection is not None:
            self.bytes_sent += connection.bytes_sent
            self.bytes_received += connection.bytes_received
            connection.bytes_sent = 0
            connection.bytes_received = 0

    async def _exchange(
        self, path: str, payload: bytes, accept_before: float | None
    ) -> bytes:
        self.is_handled = False
        if accept_before is None:
            stream_id = await self._send(path, payload, ends_stream=True)
        else:
            stream_id = await self._send_and_wait(path, payload, accept_before)
        connection = self.connection
        if connection is None:
            raise RpcProtocolError('the connection was closed')
        self.is_handled = True
        if accept_before is not None:
            await connection.end(stream_id)
        reply = await connection.receive()
        if reply is None or reply.stream_id != stream_id:
            raise RpcProtocolError(
                'the peer closed the connection or replied on another stream'
            )
        for name, expected in SUCCESS_STATUSES_BY_HEADER.items():
            status = reply.headers_by_name.get(name)
            if status != expected:
                raise RpcProtocolError(f'the peer replied with {name} {status}')
        return strip_message_prefix(reply.body)

    async def _send_and_wait(
        self, path: str, payload: bytes, accept_before: float
    ) -> int:
        """Send a message without its end and wait for the acceptance."""
        try:
            return int(
                await run_before(accept_before, self._send_open, path, payload)
            )
        except curio.TaskTimeout:
            # An outer time limit must not see the exception of this one.
            raise CallNotAcceptedError('the call was not accepted') from None

    async def _send_open(self, path: str, payload: bytes) -> int:
        stream_id = await self._send(path, payload, ends_stream=False)
        if self.connection is not None:
            await self.connection.wait_for_headers()
        return stream_id

    async def _send(
        self, path: str, payload: bytes, *, ends_stream: bool
    ) -> int:
        """Send a message over an open connection; return its stream id."""
        if self.connection is not None and self.connection.is_closed_by_peer:
            await self._close_connection()
        if self.connection is None:
            sock = await open_socket(self.address.host, self.address.port)
            self.connection = RpcConnection(sock, is_client=True)
            await self.connection.start()
        headers = {
            ':method': 'POST',
            ':scheme': 'http',
            ':authority': str(self.address),
            ':path': path,
            'content-type': CONTENT_TYPE,
            'te': 'trailers',
        }
        stream_id = self.connection.next_stream_id()
        if ends_stream:
            await self.connection.send(stream_id, headers, payload)
        else:
            await self.connection.send_open(stream_id, headers, payload)
        return stream_id


def failure_from_error(error: BaseException, step: Step, peer: str) -> Failure:
    """Return the failure for an exception of a call.

    Parameters
    ----------
    error : BaseException
        One of ``CALL_ERRORS``.
    step : Step
        Step in which the call failed.
    peer : str
        Address or name of the other side.
    """
    if isinstance(error, curio.TaskTimeout | CallNotAcceptedError):
        return Failure('peer_timeout', 'no reply in time', step, peer=peer)
    if isinstance(error, OSError):
        return Failure('peer_unreachable', str(error), step, peer=peer)
    return Failure('peer_protocol', str(error), step, peer=peer)
