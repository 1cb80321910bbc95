"""Guard against a fake clock that waits in real time or is inconsistent.

The monotonic and the wall-clock time must advance together, and the real clock
must be back afterwards.
"""

import curio

from clementinebank.clock import FakeClockKernel, now, wall_time


async def _sleep_and_measure(seconds):
    before, wall_before = now(), wall_time()
    await curio.sleep(seconds)
    return now() - before, wall_time() - wall_before


def test_sleep_advances_both_clocks():
    with FakeClockKernel() as kernel:
        elapsed, wall_elapsed = kernel.run(_sleep_and_measure, 3600)
    assert 3600 <= elapsed < 3601
    assert abs(elapsed - wall_elapsed) < 1e-3


async def _expire():
    async with curio.ignore_after(5) as guard:
        await curio.sleep(60)
    return guard.expired


def test_timeout_expires_on_fake_clock():
    with FakeClockKernel() as kernel:
        assert kernel.run(_expire)


def test_real_clock_is_restored():
    real = curio.kernel.time
    with FakeClockKernel():
        assert curio.kernel.time is not real
    assert curio.kernel.time is real
