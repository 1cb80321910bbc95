"""Wakes the runtime when the process is told to stop."""

import signal
import socket
from typing import Any

import curio

SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Waits for SIGTERM or SIGINT on a socket.

    Python runs signal handlers between two instructions of the main thread,
    where the state of the runtime must not be touched. The handler therefore
    only writes a byte, and a task waits for it. A second signal has no
    further effect.
    """

    def __init__(self) -> None:
        """Create the pair of sockets."""
        reader, writer = socket.socketpair()
        self._reader = reader
        self._writer = writer
        self._writer.setblocking(False)
        self._previous: dict[int, Any] = {}

    def install(self) -> None:
        """Handle the signals; only the main thread may call this."""
        for number in SIGNALS:
            self._previous[number] = signal.signal(number, self._handle)

    def restore(self) -> None:
        """Put the previous handlers back."""
        for number, handler in self._previous.items():
            signal.signal(number, handler)
        self._previous.clear()

    def notify(self) -> None:
        """Wake the waiting task; safe in a signal handler."""
        try:
            self._writer.send(b'\x00')
        except BlockingIOError:
            # The buffer is full, so the reader wakes in any case.
            return

    async def wait(self) -> None:
        """Return when a signal has arrived."""
        async with curio.io.Socket(self._reader) as reader:
            await reader.recv(1)

    def _handle(self, number: int, frame: Any) -> None:
        self.notify()
