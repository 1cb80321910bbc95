"""Guards against pauses of the process that go unreported.

Leases and heartbeats may expire during a pause. If no callback runs before
the next request, the instance acts on state that is no longer valid.
"""

import curio
import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.server._loop_monitor import (
    PAUSE_LIMIT_S,
    LoopMonitor,
    PauseDetector,
)


@pytest.mark.parametrize(
    ('gap_s', 'pause_s'), [(0.25, 0), (2, 0), (2.5, 2.5), (60, 60)]
)
def test_jump_above_the_limit_is_a_pause(gap_s, pause_s):
    detector = PauseDetector()
    assert detector.observe(100) == 0
    assert detector.observe(100 + gap_s) == pause_s
    assert detector.observe(100.25 + gap_s) == 0


def _run(pause_s, callback):
    delays = []
    monitor = LoopMonitor(delays.append)
    monitor.on_pause(lambda _: 1 / 0)
    monitor.on_pause(callback)

    async def pause(kernel):
        await curio.spawn(monitor.run, daemon=True)
        await curio.sleep(5.1)
        kernel.clock.advance(pause_s)
        await curio.sleep(5)

    with FakeClockKernel() as kernel:
        kernel.run(pause, kernel)
    return monitor, delays


def test_callbacks_run_once_although_one_fails():
    reported_pauses = []
    monitor, delays = _run(30, reported_pauses.append)
    assert len(reported_pauses) == 1
    assert reported_pauses[0] == pytest.approx(30, abs=0.5)
    assert monitor.pauses == 1
    assert max(delays) == pytest.approx(30, abs=0.5)


def test_short_delay_is_no_pause():
    reported_pauses = []
    monitor, delays = _run(PAUSE_LIMIT_S - 0.5, reported_pauses.append)
    assert not reported_pauses
    assert max(delays) > 1


async def _check_before_tick(kernel, monitor):
    await curio.spawn(monitor.run, daemon=True)
    await curio.sleep(1)
    kernel.clock.advance(10)
    monitor.check_pause()


def test_check_reports_before_the_next_tick():
    reported_pauses = []
    monitor = LoopMonitor(lambda _: None)
    monitor.on_pause(reported_pauses.append)
    with FakeClockKernel() as kernel:
        kernel.run(_check_before_tick, kernel, monitor)
    assert len(reported_pauses) == 1
