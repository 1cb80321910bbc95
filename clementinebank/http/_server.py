"""HTTP/1.1 server on curio."""

import errno
from typing import Any

import attrs
import curio
from eliot import log_message

from clementinebank.clock import now
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http._limits import HttpLimits
from clementinebank.http._resources import ServerResources
from clementinebank.http._server_connection import (
    Handler,
    ServerConnection,
    ServerState,
)
from clementinebank.http._shared_socket import listen
from clementinebank.http._sockets import WaitInterrupt, has_input

BACKLOG = 512
ACCEPT_RETRY_S = 0.1
# The handler must be cancelled within half a second after its client has
# disconnected.
DISCONNECT_CHECK_INTERVAL_S = 0.1
BIND_RETRY_S = 0.1
# Connections over the limit that may be sent a 503 response at the same time;
# any further one is closed without a response.
MAX_CONCURRENT_REFUSALS = 64
# Time for which a connection without a request isn't closed for another one;
# a client sends its request right after it has connected.
MIN_WAIT_S = 0.1


@attrs.define(eq=False)
class HttpServer:
    """TCP listener that passes complete requests to a handler.

    Parameters
    ----------
    host : str
        IPv4 address to listen on.
    port : int
        TCP port to listen on.
    handler : callable
        Coroutine function from request to response.
    limits : HttpLimits
        Limits of the server.
    on_failure : callable or None
        Called with each failure that the server answers in place of the
        handler.
    bind_timeout_s : float
        Time for which binding is retried while another process, such as a
        draining predecessor, still listens on the address, in seconds.
    resources : ServerResources
        Shared with the other servers of the process.
    is_listening : bool
        Whether the server accepts connections.

    Attributes
    ----------
    state : ServerState
        State shared by the connections.
    """

    host: str
    port: int
    handler: Handler
    limits: HttpLimits = HttpLimits()
    on_failure: Any = None
    bind_timeout_s: float = 0
    resources: ServerResources = attrs.Factory(ServerResources)
    is_listening: bool = False
    state: ServerState = attrs.field(init=False)
    _accept_task: Any = None
    _refusals_in_progress: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the state shared by the connections."""
        self.state = ServerState(
            self.handler, self.limits, self.on_failure, self.resources
        )

    @property
    def in_flight(self) -> int:
        """Return the number of requests in the handler."""
        return self.state.in_flight

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self.state.connections)

    async def serve(self) -> None:
        """Accept connections until ``stop_accepting`` or a cancellation.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        listening = await self._bind()
        if self.state.is_draining:
            await listening.close()
            return
        self._accept_task = await curio.current_task()
        self.is_listening = True
        try:
            await self._accept_all(listening)
        except WaitInterrupt:
            await self._accept_backlog(listening)
        except curio.CancelledError:
            await self.abort()
            raise
        finally:
            self.is_listening = False
            await listening.close()

    def announce_close(self) -> None:
        """Send ``Connection: close`` with every further response."""
        self.state.is_closing = True

    async def stop_accepting(self) -> None:
        """Accept the connections in the backlog, then close the listener."""
        self.announce_close()
        if self.is_listening:
            await self._accept_task.cancel(exc=WaitInterrupt)

    async def drain(self, timeout_s: float) -> int:
        """Close idle connections and wait until all others have closed.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        int
            Number of requests without a complete response after the wait.
        """
        self.announce_close()
        self.state.is_draining = True
        for connection in list(self.state.connections):
            await connection.interrupt()
        async with curio.ignore_after(timeout_s):
            await self.state.wait_until_empty()
        return sum(each.is_responding for each in self.state.connections)

    async def cancel_disconnected(self) -> None:
        """Cancel the requests of disconnected clients; runs until cancelled."""
        while True:
            await curio.sleep(DISCONNECT_CHECK_INTERVAL_S)
            for connection in list(self.state.connections):
                await connection.cancel_if_disconnected()

    async def abort(self) -> None:
        """Cancel the task of every connection."""
        for connection in list(self.state.connections):
            await connection.task.cancel()

    async def _bind(self) -> Any:
        remaining_s = self.bind_timeout_s
        while True:
            try:
                return listen(self.host, self.port, BACKLOG)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or remaining_s <= 0:
                    raise
            await curio.sleep(BIND_RETRY_S)
            remaining_s -= BIND_RETRY_S

    async def _accept_all(self, listening: Any) -> None:
        while True:
            try:
                sock, _ = await listening.accept()
            except OSError as error:
                # Without a free file descriptor, accept fails until one is
                # closed. Open connections are still served.
                log_message(
                    message_type='http:accept_failed', reason=str(error)
                )
                await curio.sleep(ACCEPT_RETRY_S)
                continue
            await self._start_connection(sock)

    async def _accept_backlog(self, listening: Any) -> None:
        while has_input(listening):
            sock, _ = await listening.accept()
            await self._start_connection(sock)

    async def _start_connection(self, sock: Any) -> None:
        connection = ServerConnection(sock, self.state)
        if self.open_connections >= self.state.limits.max_connections:
            await self._shed_oldest_waiting()
        if self.open_connections < self.state.limits.max_connections:
            self.state.add(connection)
            connection.task = await curio.spawn(connection.run, daemon=True)
        elif self._refusals_in_progress < MAX_CONCURRENT_REFUSALS:
            self._refusals_in_progress += 1
            await curio.spawn(self._refuse, connection, daemon=True)
        else:
            await sock.close()

    async def _shed_oldest_waiting(self) -> None:
        """Close the connection that has waited longest without a request.

        Load pattern that it answers: idle connections, or headers without
        end, by the thousand.
        """
        waiting = [
            each
            for each in self.state.connections
            if each.waiting_since is not None
            and now() - each.waiting_since >= MIN_WAIT_S
        ]
        if not waiting:
            return
        oldest = min(waiting, key=lambda each: each.waiting_since or 0)
        oldest.shed()
        await self.state.remove(oldest)
        self.resources.memory.sheds.record(
            'connections',
            port=self.port,
            waited_s=round(now() - (oldest.waiting_since or 0), 3),
        )

    async def _refuse(self, connection: ServerConnection) -> None:
        limit = self.state.limits.max_connections
        failure = Failure(
            'too_many_connections',
            f'the limit of {limit} connections is reached',
            Step.ACCEPT,
            execution=Execution.NOT_RUN,
        )
        try:
            await connection.refuse_and_close(failure)
        finally:
            self._refusals_in_progress -= 1
