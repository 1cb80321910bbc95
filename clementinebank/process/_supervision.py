"""Long-lived tasks that outlast their unexpected errors."""

from collections.abc import Awaitable, Callable

import curio
from eliot import log_message, write_traceback

# Pause before a task that failed starts again, so that one which fails at once
# doesn't keep the others from running.
RESTART_S = 0.2


async def supervise(
    corofunc: Callable[[], Awaitable[None]],
    on_failure: Callable[[str], None],
) -> None:
    """Run a coroutine function until it returns or the task is cancelled.

    Parameters
    ----------
    corofunc : callable
        Coroutine function; it is started again after an error.
    on_failure : callable
        Called with the name of the function after each error.
    """
    name = corofunc.__qualname__
    # The logs name the function, not this one.
    (await curio.current_task()).name = name
    while True:
        try:
            return await corofunc()
        except Exception as error:
            write_traceback()
            log_message(
                message_type='task:failed', task=name, reason=repr(error)
            )
        on_failure(name)
        await curio.sleep(RESTART_S)
