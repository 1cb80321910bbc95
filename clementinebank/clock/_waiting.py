"""Waiting until a time of the runtime's clock."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from clementinebank.clock._clock import now


class _Finished(Exception):
    """Carries a result out of a curio timeout."""

    def __init__(self, outcome: Any) -> None:
        super().__init__()
        self.outcome = outcome


async def run_before(
    deadline: float, corofunc: Callable[..., Awaitable[Any]], *call_args: Any
) -> Any:
    """Return the result of a coroutine function that ends in time.

    A result that is late only because the loop was busy is returned. A
    deadline in the past permits what needs no waiting.

    Parameters
    ----------
    deadline : float
        Runtime time in seconds.
    corofunc : callable
        Coroutine function that is run.
    *call_args
        Its arguments.

    Raises
    ------
    curio.TaskTimeout
        If it still waits at the deadline.
    """
    try:
        async with curio.timeout_after(max(0, deadline - now())):
            # curio logs a warning for each block that ends normally after
            # its time; on a busy loop that was a flood.
            raise _Finished(await corofunc(*call_args))
    except _Finished as finished:
        return finished.outcome


async def get_before(deadline: float, queue: Any) -> Any:
    """Return the next item of a queue, or ``None`` if there is none in time.

    An item that is already there is returned also after the deadline.

    Parameters
    ----------
    deadline : float
        Runtime time in seconds.
    queue : curio.Queue
        Queue that only the calling task reads.
    """
    if not queue.empty():
        return await queue.get()
    try:
        return await run_before(deadline, queue.get)
    except curio.TaskTimeout:
        return None if queue.empty() else await queue.get()
