"""Socket that a task may close while other tasks wait on it."""

import functools
import socket
from collections.abc import Callable
from typing import Any

import curio
from curio.traps import _io_waiting
from eliot import log_message

from clementinebank.http._sockets import shut_down_socket


def _in_use(operation: Callable[..., Any]) -> Callable[..., Any]:
    """Return an operation of a socket that keeps its descriptor open."""

    @functools.wraps(operation)
    async def run(self: 'SharedSocket', *call_args: Any) -> Any:
        self.check_is_open()
        self.user_count += 1
        try:
            outcome = await operation(self, *call_args)
        finally:
            self.user_count -= 1
            if self.is_closed:
                await self.close_if_unused()
        self.check_is_open()
        return outcome

    return run


class SharedSocket(curio.io.Socket):
    """curio socket whose descriptor is closed by the last task that uses it.

    curio keeps a descriptor in its selector as long as a task waits on it. If
    another task closes the descriptor meanwhile, the next socket gets the same
    number, its registration fails inside the kernel, and the process ends. So
    ``close`` shuts the connection down, at which the waiting tasks fail; the
    last of them closes the descriptor.

    An operation raises ``ConnectionAbortedError`` if the socket was closed
    before or meanwhile.

    Parameters
    ----------
    sock : socket.socket
        Socket to wrap; it is made non-blocking.

    Attributes
    ----------
    user_count : int
        Operations in progress.
    is_closed : bool
        Whether ``close`` was called.
    """

    recv = _in_use(curio.io.Socket.recv)
    send = _in_use(curio.io.Socket.send)
    sendall = _in_use(curio.io.Socket.sendall)
    accept = _in_use(curio.io.Socket.accept)
    connect = _in_use(curio.io.Socket.connect)

    def __init__(self, sock: socket.socket) -> None:
        """Wrap an open socket."""
        super().__init__(sock)
        self.user_count = 0
        self.is_closed = False

    async def __aexit__(self, *error: object) -> None:
        """Close the socket."""
        await self.close()

    async def close(self) -> None:
        """Close the socket; tasks that wait on it fail at once."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.user_count:
            await self._log_users()
            shut_down_socket(self)
        await self.close_if_unused()

    async def close_if_unused(self) -> None:
        """Close the descriptor if ``close`` was called and no task uses it."""
        if self.is_closed and not self.user_count:
            await curio.io.Socket.close(self)

    def check_is_open(self) -> None:
        """Raise if ``close`` was called.

        Raises
        ------
        ConnectionAbortedError
            If the socket is closed.
        """
        if self.is_closed:
            raise ConnectionAbortedError('the socket was closed')

    async def _log_users(self) -> None:
        closing = await curio.current_task()
        waiting = await _io_waiting(self._fileno)
        log_message(
            message_type='socket:closed_in_use',
            closed_by=closing.name,
            waiting=[task.name for task in waiting if task is not None],
        )


def listen(host: str, port: int, backlog: int) -> SharedSocket:
    """Return a socket that listens on an IPv4 address.

    Raises
    ------
    OSError
        If the address can't be bound.
    """
    return SharedSocket(socket.create_server((host, port), backlog=backlog))
