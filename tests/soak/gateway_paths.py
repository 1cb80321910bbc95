"""Path of one process to the store, which can be cut."""

import contextlib

import attrs
import curio
from fleet_adapter.tests.standins import free_address

CUT_CHECK_S = 0.02
MAX_BYTES = 65536


@attrs.define(eq=False)
class StorePath:
    """Listener that passes connections on to the store.

    Parameters
    ----------
    store : Address
        Where the store listens.
    is_cut : bool
        Whether bytes wait, in both directions; connections stay open.
    """

    store: object
    address: object = attrs.field(factory=free_address)
    is_cut: bool = False

    async def serve(self):
        """Start to listen."""
        await curio.spawn(
            curio.tcp_server,
            self.address.host,
            self.address.port,
            self._connect,
            daemon=True,
        )

    async def _connect(self, near, _):
        with contextlib.suppress(OSError):
            far = await curio.open_connection(self.store.host, self.store.port)
            async with far, curio.TaskGroup(wait=any) as group:
                await group.spawn(self._pass_on, near, far)
                await group.spawn(self._pass_on, far, near)

    async def _pass_on(self, source, sink):
        with contextlib.suppress(OSError):
            while received := await source.recv(MAX_BYTES):
                while self.is_cut:
                    await curio.sleep(CUT_CHECK_S)
                await sink.sendall(received)
