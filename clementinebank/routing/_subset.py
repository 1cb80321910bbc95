"""Subsets of bounded size, chosen by rendezvous hashing."""

import hashlib
from collections.abc import Iterable


def rendezvous_subset(
    key: str, candidates: Iterable[str], size: int
) -> tuple[str, ...]:
    """Return the candidates with the highest hash of key and candidate.

    Every process computes the same subset, and a candidate that is added or
    removed changes at most one member of it.

    Parameters
    ----------
    key : str
        Id for which the subset is chosen, for example a leaf id.
    candidates : iterable of str
        Distinct names, for example instance ids.
    size : int
        Largest number of candidates returned.

    Returns
    -------
    tuple of str
        The chosen candidates, highest hash first.
    """
    ranked = sorted(
        set(candidates),
        key=lambda candidate: (_weight(key, candidate), candidate),
        reverse=True,
    )
    return tuple(ranked[:size])


def _weight(key: str, candidate: str) -> bytes:
    text = f'{len(key)}:{key}{candidate}'
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
