"""Guards the log of a process that ends by an unexpected error.

Fault of review/6: an error inside curio's kernel ended the process, and only a
traceback on standard error told of it, without the task that had caused it.
"""

import curio
import eliot
import pytest
from curio.traps import _read_wait

from clementinebank.clock import run_service

CLOSED_DESCRIPTOR = 1_000_000


async def wait_on_closed_descriptor():
    """Make the kernel fail: it can't register the descriptor."""
    await _read_wait(CLOSED_DESCRIPTOR)


async def run_beside_a_failing_task():
    await curio.spawn(wait_on_closed_descriptor, daemon=True)
    await curio.sleep(1)


def test_error_that_ends_a_process_names_its_task():
    messages = []
    eliot.add_destinations(messages.append)
    try:
        with pytest.raises(OSError):
            run_service(run_beside_a_failing_task)
    finally:
        eliot.remove_destination(messages.append)
    (message,) = [
        each
        for each in messages
        if each.get('message_type') == 'process:failed'
    ]
    assert message['task'] == wait_on_closed_descriptor.__qualname__
