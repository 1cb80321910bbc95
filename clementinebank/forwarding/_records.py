"""Merge of opaque records of a fixed size."""

import heapq
from collections.abc import Iterable, Iterator

RECORD_BYTES = 16


def split_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a part; a shorter remainder is not a record."""
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]


def merge_greatest(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of each part, in any order.
    limit : int
        Largest number of records; equal records all count.

    Examples
    --------
    >>> merge_greatest([b'a' * 16 + b'c' * 16, b'b' * 17], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = (record for body in bodies for record in split_records(body))
    return b''.join(heapq.nlargest(limit, records))
