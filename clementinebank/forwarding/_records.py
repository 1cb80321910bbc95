"""Merge of records of a fixed size, which are compared as bytes."""

import heapq
from collections.abc import Iterable, Iterator

RECORD_BYTES = 16


def split_records(body: bytes) -> Iterator[bytes]:
    """Yield the records of a response body; a shorter remainder is ignored."""
    for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES):
        yield body[start : start + RECORD_BYTES]


def merge_greatest(bodies: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest records of several bodies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Response bodies, each with records in any order.
    limit : int
        Largest number of records to return; duplicates are kept and count.

    Examples
    --------
    >>> merge_greatest([b'a' * 16 + b'c' * 16, b'b' * 17], 2)
    b'ccccccccccccccccbbbbbbbbbbbbbbbb'
    """
    records = (record for body in bodies for record in split_records(body))
    return b''.join(heapq.nlargest(limit, records))
