"""Guards the listener of other instances against a lack of descriptors.

``accept`` fails as long as the process has no free file descriptor. The
instance must be reachable again when one is closed.
"""

import errno

import curio

from clementinebank.clock import FakeClockKernel
from clementinebank.rpc import RpcServer, _server


class FullListener:
    """Socket whose first calls of ``accept`` fail; then one succeeds."""

    def __init__(self, failures):
        self.failures = failures
        self.is_accepted = False

    async def accept(self):
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'too many open files')
        if self.is_accepted:
            await curio.sleep(60)
        self.is_accepted = True
        return 'connection', 'peer'

    async def __aenter__(self):
        """Return the listener."""
        return self

    async def __aexit__(self, *error):
        """Close nothing."""


def test_listener_outlasts_a_lack_of_descriptors(monkeypatch):
    served = []

    async def serve_connection(server, sock, peer):
        served.append((sock, peer))

    monkeypatch.setattr(RpcServer, 'serve_connection', serve_connection)
    monkeypatch.setattr(_server, 'listen', lambda *_: FullListener(3))

    async def run():
        server = RpcServer('127.0.0.1', 1, {})
        await curio.spawn(server.serve, daemon=True)
        await curio.sleep(5)

    with FakeClockKernel() as kernel:
        kernel.run(run)
    assert served == [('connection', 'peer')]
