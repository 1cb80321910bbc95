"""Server for the calls of other instances."""

import errno
from collections.abc import Awaitable, Callable, Collection, Mapping
from typing import Any

import attrs
import curio
from eliot import log_message, write_traceback
from h2.exceptions import ProtocolError

from clementinebank.clock import now, run_before
from clementinebank.errors import Step
from clementinebank.http import ServerResources, listen
from clementinebank.rpc._channel import failure_from_error
from clementinebank.rpc._connection import (
    REPLY_HEADERS,
    ReceivedMessage,
    RpcConnection,
    RpcProtocolError,
    strip_message_prefix,
)

BACKLOG = 512
# Longest wait for the next message of a connection; clients close connections
# after a shorter time without use.
IDLE_TIMEOUT_S = 120.0
# Time to handle one message and send the reply.
CALL_TIMEOUT_S = 10.0
# Time for which an address in use is tried again: an earlier process of this
# instance may hold it while it drains.
BIND_TIMEOUT_S = 60.0
BIND_RETRY_S = 0.1
ACCEPT_RETRY_S = 0.1
# Default of the largest number of connections.
MAX_CONNECTIONS = 2048
# Work for a caller that has left must end within half a second.
DISCONNECT_CHECK_INTERVAL_S = 0.1
STATUS_UNIMPLEMENTED = '12'

RpcHandler = Callable[[bytes], Awaitable[bytes]]


@attrs.define(eq=False)
class RpcServer:
    """Server that calls the handler of the method for each message.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port to listen on.
    handlers_by_path : mapping of str to callable
        Handler of each method path: a coroutine function that returns the
        encoded reply to an encoded message.
    call_timeout_s : float
        Longest time to handle one message and send the reply, in seconds.
    message_count : int
        Messages to a known method so far.
    refused_connection_count : int
        Connections closed so far because the peer broke the protocol.
    accepting_paths : collection of str
        Methods whose calls are accepted before their callers end them; only
        then the handler runs. It is cancelled when the caller has closed the
        connection.
    resources : ServerResources
        Shared with the other servers of the process.
    max_connections : int
        Largest number of open connections. For another one, the one that has
        waited longest for a message is closed.
    failed_connection_count : int
        Connections closed so far because of an unexpected error.
    """

    host: str
    port: int
    handlers_by_path: Mapping[str, RpcHandler]
    call_timeout_s: float = CALL_TIMEOUT_S
    message_count: int = 0
    refused_connection_count: int = 0
    accepting_paths: Collection[str] = ()
    resources: ServerResources = attrs.Factory(ServerResources)
    max_connections: int = MAX_CONNECTIONS
    failed_connection_count: int = 0
    _connection_count: int = 0
    _waiting_since: dict[RpcConnection, float] = attrs.Factory(dict)
    _tasks_by_connection: dict[RpcConnection, Any] = attrs.Factory(dict)

    async def serve(self) -> None:
        """Accept connections until the task is cancelled.

        Raises
        ------
        OSError
            If the address can't be bound, or stays in use for
            ``BIND_TIMEOUT_S``.
        """
        end = now() + BIND_TIMEOUT_S
        while True:
            try:
                listening = listen(self.host, self.port, BACKLOG)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or now() >= end:
                    raise
            else:
                await self._accept_all(listening)
            await curio.sleep(BIND_RETRY_S)

    async def cancel_disconnected(self) -> None:
        """Cancel the handlers of closed connections; runs until cancelled."""
        while True:
            await curio.sleep(DISCONNECT_CHECK_INTERVAL_S)
            for connection, task in list(self._tasks_by_connection.items()):
                if connection.is_closed_by_peer:
                    self._tasks_by_connection.pop(connection)
                    await task.cancel(blocking=False)

    async def serve_connection(self, sock: Any, peer: Any) -> None:
        """Serve one connection until it ends, then close it.

        An error of the peer, the transport or a handler closes only this
        connection.
        """
        connection = RpcConnection(
            sock,
            is_client=False,
            accepting_paths=self.accepting_paths,
            resources=self.resources,
        )
        self._connection_count += 1
        try:
            await self._serve_messages(connection)
        except (RpcProtocolError, ProtocolError) as error:
            self.refused_connection_count += 1
            failure = failure_from_error(error, Step.DISTRIBUTE, str(peer))
            log_message(message_type='peer:refused', reason=str(failure))
        except (OSError, curio.TaskTimeout):
            # The peer has closed or is silent; it connects again when it has
            # another call.
            return
        except Exception as error:
            self.failed_connection_count += 1
            write_traceback()
            log_message(
                message_type='peer:call_failed',
                peer=str(peer),
                reason=repr(error),
            )
        finally:
            self._connection_count -= 1
            self._waiting_since.pop(connection, None)
            await connection.close()

    async def _accept_all(self, listening: Any) -> None:
        async with listening, curio.TaskGroup() as group:
            await group.spawn(self._accept, listening, group)
            async for task in group:
                task.joined = True

    async def _accept(self, listening: Any, group: Any) -> None:
        while True:
            try:
                sock, peer = await listening.accept()
            except OSError as error:
                # Without a free file descriptor, accept fails until one is
                # closed.
                log_message(
                    message_type='peer:accept_failed', reason=str(error)
                )
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            if self._has_room():
                await group.spawn(self.serve_connection, sock, peer)
                # The connection is counted when its task begins.
                await curio.sleep(0)
            else:
                await sock.close()

    def _has_room(self) -> bool:
        """Return whether there is room for a connection; make it if not."""
        if self._connection_count < self.max_connections:
            return True
        if not self._waiting_since:
            return False
        # A connection that begins to wait is put last.
        oldest = next(iter(self._waiting_since))
        waited_s = now() - self._waiting_since.pop(oldest)
        oldest.shed()
        self.resources.memory.sheds.record(
            'connections', port=self.port, waited_s=round(waited_s, 3)
        )
        return True

    async def _serve_messages(self, connection: RpcConnection) -> None:
        await connection.start()
        while True:
            self._waiting_since[connection] = now()
            message = await run_before(
                now() + IDLE_TIMEOUT_S, connection.receive
            )
            self._waiting_since.pop(connection, None)
            if message is None:
                return
            deadline = now() + self.call_timeout_s
            await run_before(
                deadline, self._handle_message, connection, message
            )
            del message
            connection.end_message()

    async def _handle_message(
        self, connection: RpcConnection, message: ReceivedMessage
    ) -> None:
        handler = self.handlers_by_path.get(message.headers_by_name[':path'])
        if handler is None:
            trailers = {'grpc-status': STATUS_UNIMPLEMENTED}
            await connection.send(
                message.stream_id, dict(REPLY_HEADERS), b'', trailers
            )
            return
        self.message_count += 1
        payload = strip_message_prefix(message.body)
        headers = dict(REPLY_HEADERS)
        if message.headers_by_name[':path'] in self.accepting_paths:
            # A process that was paused finds calls that their callers have
            # given up meanwhile.
            if connection.is_closed_by_peer:
                return
            headers = {}
            reply = await self._run_cancellable(handler, payload, connection)
        else:
            reply = await handler(payload)
        await connection.send(
            message.stream_id, headers, reply, {'grpc-status': '0'}
        )

    async def _run_cancellable(
        self, handler: RpcHandler, payload: bytes, connection: RpcConnection
    ) -> bytes:
        """Run a handler that ends when its caller closes the connection."""
        self._tasks_by_connection[connection] = await curio.current_task()
        try:
            return await handler(payload)
        finally:
            self._tasks_by_connection.pop(connection, None)
