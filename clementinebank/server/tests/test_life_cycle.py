"""Guards against a shutdown that hangs or hides that it cut requests.

Requests in flight must be finished up to the shutdown limit. Requests beyond
it are counted as a violation and change the exit status. A hook that hangs or
fails must not hold up the shutdown.
"""

import attrs
import curio
import pytest

from clementinebank.clock import FakeClockKernel, now
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.server._life_cycle import LifeCycle, Phase
from clementinebank.settings import InstanceSettings
from clementinebank.validation import Address

ADDRESS = Address('127.0.0.1', 1)


@attrs.define
class _Listener:
    """Fake HTTP server that records its calls with their times.

    Parameters
    ----------
    work_s : float
        Time that the requests in flight still need, in seconds.
    """

    work_s: float = 0
    calls: list = attrs.Factory(list)
    started_at: float = 0

    def announce_close(self):
        self.calls.append(('announce', now()))

    async def stop_accepting(self):
        self.calls.append(('stop', now()))

    async def drain(self, timeout_s):
        self.calls.append(('drain', now()))
        await curio.sleep(min(timeout_s, self.work_s))
        return int(self.work_s > timeout_s)

    async def abort(self):
        self.calls.append(('abort', now()))


def _settings():
    return InstanceSettings(
        'entry-0',
        'kokura-yard',
        *[ADDRESS] * 5,
        drain_delay_ms=3000,
        shutdown_limit_ms=10_000,
    )


def _shut_down(work_s, hooks=()):
    life_cycle = LifeCycle(_settings())
    callers, operators = _Listener(work_s), _Listener()
    for hook in hooks:
        life_cycle.add_leaving_hook(hook)

    async def run():
        task = await curio.spawn(life_cycle.run, callers, operators)
        await curio.sleep(5)
        assert life_cycle.is_serving
        started_at = now()
        life_cycle.stop_signal.notify()
        status = await task.join()
        return status, now() - started_at, started_at

    with FakeClockKernel() as kernel:
        status, elapsed_s, started_at = kernel.run(run)
    times = [
        (name, round(called_at - started_at, 1))
        for name, called_at in callers.calls
    ]
    return life_cycle, status, elapsed_s, times


def test_requests_in_flight_are_finished():
    life_cycle, status, elapsed_s, times = _shut_down(work_s=2)
    assert status == 0
    assert life_cycle.phase is Phase.STOPPED
    assert elapsed_s == pytest.approx(5, abs=0.2)
    assert times == [('announce', 0), ('stop', 3), ('drain', 3), ('abort', 5)]


def test_limit_ends_the_shutdown_and_counts_the_violation():
    VIOLATIONS_BY_NAME.clear()
    _, status, elapsed_s, _ = _shut_down(work_s=60)
    assert status == 3
    assert elapsed_s <= 10
    assert VIOLATIONS_BY_NAME == {'shutdown-cuts-no-request': 1}
    VIOLATIONS_BY_NAME.clear()


async def _hang():
    await curio.sleep(1000)


async def _fail():
    raise RuntimeError('fault of a hook')


def test_hooks_neither_delay_nor_fail_the_shutdown():
    seen = []

    async def record_time():
        seen.append(now())

    _, status, elapsed_s, _ = _shut_down(1, [_hang, _fail, record_time])
    assert status == 0
    assert elapsed_s == pytest.approx(4, abs=0.2)
    assert len(seen) == 1


def test_signal_before_the_wait_is_not_lost():
    life_cycle = LifeCycle(_settings())
    life_cycle.stop_signal.notify()
    with FakeClockKernel() as kernel:
        status = kernel.run(life_cycle.run, _Listener(), _Listener())
    assert status == 0
