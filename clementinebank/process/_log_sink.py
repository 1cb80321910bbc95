"""Destination of the log that cannot delay or fail a request."""

import json
import queue
import threading
from typing import Any

from eliot.json import json_default

MAX_WAITING_LINES = 10_000
POLL_INTERVAL_S = 0.2


class LogSink:
    """Writes log messages in a thread of its own.

    A slow file system would otherwise stop the loop with all its requests.
    Messages beyond ``max_waiting`` are dropped and counted.

    Parameters
    ----------
    stream : file object
        Unbuffered binary stream that receives one JSON object per line. A
        buffer would keep lines that a full disk has refused.
    max_waiting : int
        Lines that may wait for the stream.
    """

    def __init__(
        self, stream: Any, max_waiting: int = MAX_WAITING_LINES
    ) -> None:
        """Start the thread."""
        self.dropped_lines = 0
        self.failed_writes = 0
        self._stream = stream
        self._lines: queue.Queue[bytes] = queue.Queue(max_waiting)
        self._is_closing = threading.Event()
        self._thread = threading.Thread(target=self._write_all, daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message; called by eliot."""
        line = json.dumps(message, default=_encode_any)
        try:
            self._lines.put_nowait(f'{line}\n'.encode())
        except queue.Full:
            self.dropped_lines += 1

    def close(self, timeout_s: float) -> None:
        """Write what waits, but for no longer than the timeout."""
        self._is_closing.set()
        self._thread.join(timeout_s)

    def _write_all(self) -> None:
        while not (self._is_closing.is_set() and self._lines.empty()):
            try:
                line = self._lines.get(timeout=POLL_INTERVAL_S)
            except queue.Empty:
                continue
            self._write(line)

    def _write(self, line: bytes) -> None:
        try:
            written = self._stream.write(line)
        except OSError:
            written = 0
        self.failed_writes += int(written != len(line))


def _encode_any(content: object) -> object:
    try:
        return json_default(content)
    except TypeError:
        return repr(content)
