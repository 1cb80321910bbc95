"""Run a coroutine or read a queue with a deadline."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio

from clementinebank.clock._clock import now


class _Finished(Exception):
    """Leaves a curio timeout block with the result of the coroutine."""

    def __init__(self, outcome: Any) -> None:
        super().__init__()
        self.outcome = outcome


async def run_before(
    deadline: float, corofunc: Callable[..., Awaitable[Any]], *call_args: Any
) -> Any:
    """Run a coroutine function until a deadline and return its result.

    A result that is late only because the event loop was busy is returned
    too. With a deadline in the past, the coroutine is run up to its first
    wait.

    Parameters
    ----------
    deadline : float
        Time of ``now()`` in seconds.
    corofunc : callable
        Coroutine function to run.
    *call_args
        Positional arguments of the coroutine function.

    Returns
    -------
    object
        Result of the coroutine function.

    Raises
    ------
    curio.TaskTimeout
        If the coroutine still waits at the deadline.
    """
    try:
        async with curio.timeout_after(max(0, deadline - now())):
            # curio logs a warning for each block that ends normally after
            # its timeout. An exception avoids the warnings, which flooded the
            # log when the loop was busy.
            raise _Finished(await corofunc(*call_args))
    except _Finished as finished:
        return finished.outcome


async def get_before(deadline: float, queue: Any) -> Any:
    """Return the next item of a queue, or ``None`` if none comes in time.

    An item that is in the queue is returned even after the deadline.

    Parameters
    ----------
    deadline : float
        Time of ``now()`` in seconds.
    queue : curio.Queue
        Queue that only the calling task reads.
    """
    if not queue.empty():
        return await queue.get()
    try:
        return await run_before(deadline, queue.get)
    except curio.TaskTimeout:
        return None if queue.empty() else await queue.get()
