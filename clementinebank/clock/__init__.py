"""Clock of the curio runtime, which tests replace by a fake one."""

from clementinebank.clock._clock import now, wall_time
from clementinebank.clock._fake import FakeClock
from clementinebank.clock._kernel import FakeClockKernel, run_service
from clementinebank.clock._waiting import get_before, run_before

__all__ = (
    'FakeClock',
    'FakeClockKernel',
    'get_before',
    'now',
    'run_before',
    'run_service',
    'wall_time',
)
