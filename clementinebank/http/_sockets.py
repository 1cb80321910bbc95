"""Wait for input on sockets without losing bytes that have arrived."""

import contextlib
import select
import socket
from typing import Any

import curio

READ_SIZE_BYTES = 65_536


class WaitInterrupt(curio.TaskCancelled):
    """Cancels a wait for input: ``wait_for_input`` or the accept loop."""


def has_input(sock: Any) -> bool:
    """Return whether a read would return bytes or the end of the stream."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def is_closed_by_peer(sock: Any) -> bool:
    """Return whether either side closed or reset the connection."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def wait_for_input(sock: Any, timeout_s: float) -> bool:
    """Wait for input, the end of the timeout or a ``WaitInterrupt``.

    If input and an interrupt arrive together, the interrupt is consumed here.
    Otherwise curio would raise it at the next blocking call of the task, which
    may be in the middle of a request.

    Parameters
    ----------
    sock : object
        Connected curio socket.
    timeout_s : float
        Longest wait in seconds.

    Returns
    -------
    bool
        Whether bytes or the end of the stream can be read.
    """
    try:
        async with curio.ignore_after(timeout_s):
            await sock.recv(1, socket.MSG_PEEK)
        await curio.check_cancellation(WaitInterrupt)
    except WaitInterrupt:
        await _clear_cancelled_flag()
    return has_input(sock)


async def linger(sock: Any, limit_s: float) -> None:
    """Half-close; discard input until the other side closes or time is up.

    If a socket is closed with unread bytes, the kernel sends a reset, and the
    other side can lose the last response before reading it.

    Parameters
    ----------
    sock : object
        Connected curio socket.
    limit_s : float
        Longest time to read, in seconds.
    """
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(limit_s):
        received = await sock.recv(READ_SIZE_BYTES)
        while received:
            received = await sock.recv(READ_SIZE_BYTES)


async def _clear_cancelled_flag() -> None:
    # curio cancels a task only once unless this flag is reset.
    task = await curio.current_task()
    task.cancelled = False


def shut_down_socket(sock: Any) -> None:
    """Shut a curio socket down; the task that uses it fails and closes it."""
    with contextlib.suppress(OSError):
        sock._socket.shutdown(socket.SHUT_RDWR)
