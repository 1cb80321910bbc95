"""Choice of instances for a role by rendezvous hashing."""

import functools
import hashlib
from collections.abc import Iterable

WEIGHT_BYTES = 8
# Twice the instances of the largest supported fleet. Without the cache every
# weight would be computed again each second.
MAX_CACHED_WEIGHTS = 8192


def rendezvous_order(role: str, instance_ids: Iterable[str]) -> list[str]:
    """Return the instances by descending hash weight for a role.

    An instance that is added or removed does not change the order of the
    others. Instances whose views differ by a few members therefore choose
    mostly the same ones for a role.

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
