"""Leafs of the service registry, from registration to final removal."""

from clementinebank.leafs._directory import LeafDirectory
from clementinebank.leafs._record import LeafRecord
from clementinebank.leafs._settings import LeafSettings

__all__ = ('LeafDirectory', 'LeafRecord', 'LeafSettings')
