"""Guards the listener of other instances against a lack of descriptors.

``accept`` fails as long as the process has no free file descriptor. The
instance must be reachable again when one is closed.
"""

import errno

import curio

from clementinebank.clock import FakeClockKernel
from clementinebank.rpc._server import _Listener


class FullListener:
    """Socket whose first calls of ``accept`` fail."""

    def __init__(self, failures):
        self.failures = failures

    async def accept(self):
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'too many open files')
        return 'connection', 'peer'


def test_listener_outlasts_a_lack_of_descriptors():
    async def run():
        async with curio.timeout_after(5):
            return await _Listener(FullListener(3)).accept()

    with FakeClockKernel() as kernel:
        assert kernel.run(run) == ('connection', 'peer')
