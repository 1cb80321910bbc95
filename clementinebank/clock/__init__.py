"""The runtime's clock, which tests pause and advance."""

from clementinebank.clock._clock import now, wall_time
from clementinebank.clock._fake import FakeClock
from clementinebank.clock._kernel import FakeClockKernel, run_service

__all__ = ('FakeClock', 'FakeClockKernel', 'now', 'run_service', 'wall_time')
