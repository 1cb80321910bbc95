"""Leafs that register themselves, and what becomes of them."""

from clementinebank.leafs._directory import LeafDirectory
from clementinebank.leafs._record import LeafRecord
from clementinebank.leafs._settings import LeafSettings

__all__ = ('LeafDirectory', 'LeafRecord', 'LeafSettings')
