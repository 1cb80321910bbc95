"""Guards against an instance that leaves engines running at its exit.

A probe of a leaf that wakes while curio's kernel cancels the remaining tasks
starts another task, which makes the kernel fail. All engines must therefore
be stopped before.
"""

import attrs
import curio

from clementinebank.clock import FakeClockKernel
from clementinebank.server import Instance
from clementinebank.settings import InstanceSettings
from clementinebank.validation import Address

EXIT_STATUS = 3


@attrs.define
class _Server:
    """Fake for each component that runs until the shutdown cancels it."""

    async def serve(self):
        await curio.sleep(1000)

    async def run(self, *listeners):
        await curio.sleep(1000)


@attrs.define
class _LifeCycle:
    """Fake life cycle whose shutdown ends at once."""

    async def run(self, *listeners):
        return EXIT_STATUS


@attrs.define
class _Engine:
    is_stopped: bool = False

    async def stop(self):
        self.is_stopped = True


def test_exit_stops_the_engines_of_both_kinds():
    engines = [_Engine(), _Engine()]
    with FakeClockKernel() as kernel:
        address = Address('127.0.0.1', 1)
        settings = InstanceSettings('entry-0', 'kokura', *[address] * 5)
        instance = Instance(settings, None)
        for name in ('peer_server', 'follower', 'loop_monitor'):
            setattr(instance, name, _Server())
        instance.listeners = {each: _Server() for each in instance.listeners}
        instance.life_cycle = _LifeCycle()
        instance.engines_by_service = {'desk': engines[0]}
        instance.booking_engines.engines_by_service = {'counter': engines[1]}
        assert kernel.run(instance.run) == EXIT_STATUS
    assert all(engine.is_stopped for engine in engines)
