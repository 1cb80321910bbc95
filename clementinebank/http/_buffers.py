"""Bound of the memory for the bodies of responses that are being read."""

import attrs

MAX_REPLY_BYTES = 8 * 1024 * 1024


@attrs.define(eq=False)
class BufferLimit:
    """Memory that the unfinished response bodies of a process share.

    Load pattern that it answers: many servers send bodies without end at the
    same time. Each body is small enough for itself, but not all together.

    Parameters
    ----------
    max_bytes : float
        Largest sum of the bodies, in bytes.
    max_body_bytes : int
        Largest single body, in bytes.
    used_bytes : int
        Sum of the bodies that are being read, in bytes.
    """

    max_bytes: float = float('inf')
    max_body_bytes: int = MAX_REPLY_BYTES
    used_bytes: int = 0

    def reserve(self, size: int) -> bool:
        """Add bytes to the sum; return whether it is within the limit."""
        if self.used_bytes + size > self.max_bytes:
            return False
        self.used_bytes += size
        return True

    def release(self, size: int) -> None:
        """Subtract the bytes of a body that was read or given up."""
        self.used_bytes -= size
