"""Wait in a curio task for signals to the process."""

import signal
import socket
from typing import Any

import curio

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class SignalWaiter:
    """Passes signals to a waiting task through a socket pair.

    Python runs a signal handler between any two instructions of the main
    thread, possibly while curio changes its state, so the handler must not
    call curio. It only writes a byte, which the waiting task reads.

    Parameters
    ----------
    signals : tuple of int
        Signals to wait for.
    """

    def __init__(self, signals: tuple[int, ...] = STOP_SIGNALS) -> None:
        """Create the socket pair."""
        reader, writer = socket.socketpair()
        self._signals = signals
        self._reader = curio.io.Socket(reader)
        self._writer = writer
        self._writer.setblocking(False)
        self._previous_handlers: dict[int, Any] = {}

    def install(self) -> None:
        """Install the signal handlers; only the main thread may call this."""
        for number in self._signals:
            self._previous_handlers[number] = signal.signal(
                number, self._handle
            )

    def restore(self) -> None:
        """Restore the signal handlers that ``install`` replaced."""
        for number, handler in self._previous_handlers.items():
            signal.signal(number, handler)
        self._previous_handlers.clear()

    def notify(self) -> None:
        """Wake the waiting task; safe to call in a signal handler."""
        try:
            self._writer.send(b'\x00')
        except BlockingIOError:
            # The socket buffer is full, so the waiting task wakes anyway.
            return

    async def wait(self) -> None:
        """Wait for one signal; return at once if an earlier one is pending."""
        await self._reader.recv(1)

    def _handle(self, number: int, frame: Any) -> None:
        self.notify()
