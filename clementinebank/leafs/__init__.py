"""Leafs that register themselves, and what becomes of them."""

from clementinebank.leafs._directory import LeafDirectory
from clementinebank.leafs._record import LeafRecord

__all__ = ('LeafDirectory', 'LeafRecord')
