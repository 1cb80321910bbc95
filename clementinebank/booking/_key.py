"""Idempotency keys: UUIDs of version 7, whose timestamp gives their age."""

import re
import uuid

from result import Err, Ok, Result

from clementinebank.errors import Failure, Step

KEY_HEADER = 'Idempotency-Key'
# Tolerated difference between clocks, in seconds.
MAX_CLOCK_DIFFERENCE_S = 300
UUID_VERSION = 7
# Number of bits below the timestamp of a UUIDv7, which is in milliseconds.
TIMESTAMP_SHIFT_BITS = 80
MS_PER_S = 1000
S_PER_HOUR = 3600
KEY_PATTERN = re.compile(r'[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}')


def validate_key(
    raw: str | None, wall_s: float, retention_hours: int
) -> Result[str, Failure]:
    """Validate an idempotency key and return it in lower case.

    Parameters
    ----------
    raw : str or None
        Value of the header, ``None`` if it is missing.
    wall_s : float
        Current Unix time in seconds.
    retention_hours : int
        Retention of claim records in hours.

    Returns
    -------
    Result
        The key, or a failure with the code ``key_missing``, ``key_invalid``,
        ``key_too_old`` or ``key_from_future``.
    """
    if raw is None:
        return _refuse('key_missing', 'a booking needs an idempotency key')
    key = raw.lower()
    if not KEY_PATTERN.fullmatch(key):
        return _refuse('key_invalid', f'must be a UUIDv7, got {raw[:80]!r}')
    parsed = uuid.UUID(key)
    if parsed.version != UUID_VERSION:
        return _refuse('key_invalid', f'must be a UUIDv7, got {raw[:80]!r}')
    age_s = wall_s - created_at(key)
    if age_s > retention_hours * S_PER_HOUR:
        return _refuse(
            'key_too_old', f'is older than {retention_hours} hours: {raw!r}'
        )
    if age_s < -MAX_CLOCK_DIFFERENCE_S:
        return _refuse(
            'key_from_future',
            f'is more than {MAX_CLOCK_DIFFERENCE_S} s ahead: {raw!r}',
        )
    return Ok(key)


def created_at(key: str) -> float:
    """Return the Unix time in seconds at which a UUIDv7 was created."""
    return (uuid.UUID(key).int >> TIMESTAMP_SHIFT_BITS) / MS_PER_S


def new_key(wall_s: float) -> str:
    """Return a new UUIDv7 with the given Unix time in seconds."""
    milliseconds = int(wall_s * MS_PER_S) << TIMESTAMP_SHIFT_BITS
    random_bits = uuid.uuid4().int & ((1 << TIMESTAMP_SHIFT_BITS) - 1)
    version_mask = 0xF << 76
    version_bits = UUID_VERSION << 76
    number = (milliseconds | random_bits) & ~version_mask | version_bits
    return str(uuid.UUID(int=number))


def _refuse(code: str, message: str) -> Err[Failure]:
    return Err(
        Failure(code, message, Step.ACCEPT, field=KEY_HEADER, status=400)
    )
