"""Leafs of the service registry, from registration to final removal."""

from clementinebank.leafs._departures import Departures
from clementinebank.leafs._directory import LeafDirectory
from clementinebank.leafs._endpoint import LeafEndpoint
from clementinebank.leafs._record import LeafRecord

__all__ = ('Departures', 'LeafDirectory', 'LeafRecord', 'LeafEndpoint')
