"""Waiting on sockets without the loss of bytes that have arrived."""

import select
import socket
from typing import Any

import curio

READ_SIZE_BYTES = 65_536


class WaitInterrupt(curio.TaskCancelled):
    """Ends a wait in ``wait_for_input``; no other code receives it."""


def has_input(sock: Any) -> bool:
    """Return whether a read would return bytes or the end of the stream."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def has_ended(sock: Any) -> bool:
    """Return whether the other side closed or reset the connection."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


async def wait_for_input(sock: Any, timeout_s: float) -> bool:
    """Wait until a read returns, the time is over or an interrupt comes.

    An interrupt that reaches the task just after the bytes did is taken
    back here. Otherwise curio would deliver it at the next blocking call,
    which may be in the middle of the request.

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
        await _allow_cancellation()
    return has_input(sock)


async def linger(sock: Any, limit_s: float) -> None:
    """Half-close and read until the other side closes or the time is over.

    A close with unread bytes makes the kernel send a reset, which can
    destroy the last response before the other side has read it.
    """
    await sock.shutdown(socket.SHUT_WR)
    async with curio.ignore_after(limit_s):
        received = await sock.recv(READ_SIZE_BYTES)
        while received:
            received = await sock.recv(READ_SIZE_BYTES)


async def _allow_cancellation() -> None:
    # curio cancels a task only once unless the mark is removed.
    task = await curio.current_task()
    task.cancelled = False
