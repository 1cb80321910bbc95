"""Wakes the runtime when the process gets a signal."""

import signal
import socket
from typing import Any

import curio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalWaiter:
    """Waits for signals on a socket.

    Python runs signal handlers between two instructions of the main thread,
    where the state of the runtime must not be touched. The handler therefore
    only writes a byte, and a task waits for it.

    Parameters
    ----------
    signals : tuple of int
        Signals to wait for.
    """

    def __init__(self, signals: tuple[int, ...] = STOP_SIGNALS) -> None:
        """Create the pair of sockets."""
        reader, writer = socket.socketpair()
        self._signals = signals
        self._reader = curio.io.Socket(reader)
        self._writer = writer
        self._writer.setblocking(False)
        self._previous: dict[int, Any] = {}

    def install(self) -> None:
        """Handle the signals; only the main thread may call this."""
        for number in self._signals:
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
        """Return when a signal has arrived since the last return."""
        await self._reader.recv(1)

    def _handle(self, number: int, frame: Any) -> None:
        self.notify()
