"""Choice of instances for a role by rendezvous hashing."""

import functools
import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8
# Twice the instances of the target scale; the roles are asked each second.
MAX_CACHED_WEIGHTS = 8192


def rendezvous_order(role: str, instance_ids: Iterable[str]) -> list[str]:
    """Return the instances by descending weight for a role.

    Adding or removing one instance moves no other one relative to the rest,
    so views that differ by a few instances agree on most choices.

    Examples
    --------
    >>> order = rendezvous_order('watcher', ['a', 'b', 'c'])
    >>> shorter = rendezvous_order('watcher', order[1:])
    >>> shorter == order[1:]
    True
    """
    weighted = [(_weight(role, each), each) for each in instance_ids]
    return [each for _, each in sorted(weighted, reverse=True)]


@functools.lru_cache(maxsize=MAX_CACHED_WEIGHTS)
def _weight(role: str, instance_id: str) -> bytes:
    text = f'{role}/{instance_id}'
    return hashlib.blake2b(text.encode(), digest_size=WEIGHT_BYTES).digest()
