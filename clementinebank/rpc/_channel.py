"""Calls to one server over a connection that is kept open."""

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
    unframe,
)
from clementinebank.validation import Address

CallError = (OSError, RpcProtocolError, ProtocolError, curio.TaskTimeout)


Reply = TypeVar('Reply')


@attrs.define(eq=False)
class RpcChannel:
    """Client side of the calls to one address, one call at a time.

    Parameters
    ----------
    address : Address
        Where the server listens.
    """

    address: Address
    lock: Any = attrs.Factory(curio.Lock)
    connection: RpcConnection | None = None
    used_at: float = 0
    bytes_sent: int = 0
    bytes_received: int = 0

    async def call_before(
        self,
        deadline: float,
        path: str,
        payload: bytes,
        decode: Callable[[bytes], Reply],
    ) -> Reply:
        """Return the decoded reply to a message.

        A call that ends without its reply closes the connection, as a late
        reply on it would be taken for that of the next call.

        Parameters
        ----------
        deadline : float
            Runtime time in seconds.
        path : str
            Method to call.
        payload : bytes
            Encoded message.
        decode : callable
            Raises ``RpcProtocolError`` for a malformed reply.

        Raises
        ------
        curio.TaskTimeout
            If there is no reply in time.
        OSError
            If the transport fails.
        RpcProtocolError, h2.exceptions.ProtocolError
            If the other side breaks the protocol or reports an error.
        """
        reply: Reply = await run_before(
            deadline, self._call, path, payload, decode
        )
        return reply

    def take_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received since the last question."""
        taken = (self.bytes_sent, self.bytes_received)
        self.bytes_sent = 0
        self.bytes_received = 0
        return taken

    async def close(self) -> None:
        """Close the connection; the next call opens another one."""
        connection = self.connection
        self.connection = None
        if connection is not None:
            await connection.close()

    async def _call(
        self, path: str, payload: bytes, decode: Callable[[bytes], Reply]
    ) -> Reply:
        # Decoded under the lock: a close for a malformed reply must not meet
        # another call that waits on the socket.
        async with self.lock:
            is_done = False
            try:
                reply = decode(await self._exchange(path, payload))
                is_done = True
            finally:
                self._count()
                if not is_done:
                    await self.close()
        return reply

    def _count(self) -> None:
        connection = self.connection
        if connection is not None:
            self.bytes_sent += connection.bytes_sent
            self.bytes_received += connection.bytes_received
            connection.bytes_sent = 0
            connection.bytes_received = 0

    async def _exchange(self, path: str, payload: bytes) -> bytes:
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
        stream_id = self.connection.next_stream()
        await self.connection.send(stream_id, headers, payload)
        reply = await self.connection.receive()
        if reply is None or reply.stream_id != stream_id:
            raise RpcProtocolError('closed before the reply')
        status = reply.headers_by_name.get('grpc-status')
        if status != '0':
            raise RpcProtocolError(f'grpc-status {status}')
        return unframe(reply.body)


def failure_of(error: BaseException, step: Step, peer: str) -> Failure:
    """Return the failure that an exception of a call stands for."""
    if isinstance(error, curio.TaskTimeout):
        return Failure('peer_timeout', 'no reply in time', step, peer=peer)
    if isinstance(error, OSError):
        return Failure('peer_unreachable', str(error), step, peer=peer)
    return Failure('peer_protocol', str(error), step, peer=peer)
