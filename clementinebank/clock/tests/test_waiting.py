"""Guard against results lost at a deadline and against warnings of curio.

On a busy event loop, a result can be ready only after its deadline. It must be
returned, without the warning that curio logs for such a timeout block.
"""

import logging

import curio
import pytest

from clementinebank.clock import (
    FakeClockKernel,
    get_before,
    now,
    run_before,
)


async def _finish_late(kernel, delay_s):
    await curio.sleep(0)
    kernel.clock.advance(delay_s)
    return 'result'


def _run_late(wait, delay_s=5):
    """Run a coroutine that passes the deadline without waiting at it."""

    async def run(kernel):
        return await wait(now() + 1, _finish_late, kernel, delay_s)

    with FakeClockKernel() as kernel:
        return kernel.run(run, kernel)


async def _wait_with_curio(deadline, corofunc, *call_args):
    return await curio.ignore_after(deadline - now(), corofunc, *call_args)


def test_late_result_is_returned_without_a_warning(caplog):
    with caplog.at_level(logging.WARNING):
        assert _run_late(run_before) == 'result'
    assert not caplog.records


def test_check_catches_a_plain_timeout_of_curio(caplog):
    with caplog.at_level(logging.WARNING):
        assert _run_late(_wait_with_curio) == 'result'
    assert 'longer than an enclosing timeout' in caplog.text


@pytest.mark.parametrize('offset_s', [-5, 0, 5])
def test_wait_ends_at_the_deadline(offset_s):
    async def run():
        started = now()
        with pytest.raises(curio.TaskTimeout):
            await run_before(started + offset_s, curio.sleep, 60)
        return now() - started

    with FakeClockKernel() as kernel:
        assert kernel.run(run) == pytest.approx(max(0, offset_s), abs=0.01)


@pytest.mark.parametrize('offset_s', [-5, 0, 5])
def test_item_that_waits_is_taken_after_the_deadline(offset_s, caplog):
    async def run():
        queue = curio.Queue()
        await queue.put('item')
        first = await get_before(now() + offset_s, queue)
        return first, await get_before(now() + offset_s, queue)

    with caplog.at_level(logging.WARNING), FakeClockKernel() as kernel:
        assert kernel.run(run) == ('item', None)
    assert not caplog.records


def test_item_put_while_the_deadline_passes_is_taken():
    async def put_late(kernel, queue):
        await curio.sleep(0.5)
        kernel.clock.advance(5)
        await queue.put('item')

    async def run(kernel):
        queue = curio.Queue()
        await curio.spawn(put_late, kernel, queue, daemon=True)
        return await get_before(now() + 1, queue)

    with FakeClockKernel() as kernel:
        assert kernel.run(run, kernel) == 'item'


def test_outer_timeout_still_ends_the_wait():
    async def run():
        async with curio.ignore_after(1) as outer:
            await run_before(now() + 60, curio.sleep, 30)
        return outer.expired

    with FakeClockKernel() as kernel:
        assert kernel.run(run)
