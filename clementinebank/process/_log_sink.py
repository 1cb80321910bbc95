"""Eliot destination whose slow or failed writes do not affect requests."""

import json
import queue
import threading
from typing import Any

from eliot.json import json_default

MAX_QUEUED_LINES = 10_000
# Size of the lines in the queue if none is given, in bytes.
MAX_QUEUED_BYTES = 5_000_000
POLL_INTERVAL_S = 0.2


class LogSink:
    """Eliot destination that writes log messages in a separate thread.

    A write to a slow file system in the event loop would block all requests.
    A message for which the queue has no room is dropped and counted in
    ``dropped_lines``; a failed or partial write is counted in
    ``failed_writes``.

    Parameters
    ----------
    stream : file object
        Unbuffered binary stream that receives one JSON object per line. A
        buffered stream would keep lines whose write failed on a full disk.
    max_queued : int
        Largest number of lines in the queue of the writing thread.
    max_queued_bytes : float
        Largest size of the lines in this queue, in bytes.
    """

    def __init__(
        self,
        stream: Any,
        max_queued: int = MAX_QUEUED_LINES,
        max_queued_bytes: float = MAX_QUEUED_BYTES,
    ) -> None:
        """Start the writing thread."""
        self.max_queued_bytes = max_queued_bytes
        # Each is changed by one thread only.
        self._added_bytes = 0
        self._removed_bytes = 0
        self.dropped_lines = 0
        self.failed_writes = 0
        self._stream = stream
        self._lines: queue.Queue[bytes] = queue.Queue(max_queued)
        self._is_closing = threading.Event()
        self._thread = threading.Thread(target=self._write_all, daemon=True)
        self._thread.start()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue one message without blocking; eliot calls this."""
        text = json.dumps(message, default=_encode_fallback)
        line = f'{text}\n'.encode()
        queued_bytes = self._added_bytes - self._removed_bytes
        if queued_bytes + len(line) > self.max_queued_bytes:
            self.dropped_lines += 1
            return
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self.dropped_lines += 1
        else:
            self._added_bytes += len(line)

    def close(self, timeout_s: float) -> None:
        """Write the queued lines, waiting ``timeout_s`` seconds at most."""
        self._is_closing.set()
        self._thread.join(timeout_s)

    def _write_all(self) -> None:
        while not (self._is_closing.is_set() and self._lines.empty()):
            try:
                line = self._lines.get(timeout=POLL_INTERVAL_S)
            except queue.Empty:
                continue
            self._write(line)
            self._removed_bytes += len(line)

    def _write(self, line: bytes) -> None:
        try:
            written = self._stream.write(line)
        except OSError:
            written = 0
        self.failed_writes += int(written != len(line))


def _encode_fallback(content: object) -> object:
    """Return a JSON value for an object; its ``repr`` if eliot has none."""
    try:
        return json_default(content)
    except TypeError:
        return repr(content)
