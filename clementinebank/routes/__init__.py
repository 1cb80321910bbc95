"""Routes of the operators: model, lookup table and weighted splits."""

from clementinebank.routes._model import (
    CallerLimits,
    Gathering,
    Route,
    RouteKind,
    RoutingConfiguration,
    WeightedService,
)
from clementinebank.routes._split import SplitBalancer
from clementinebank.routes._table import RouteTable

__all__ = (
    'CallerLimits',
    'Gathering',
    'Route',
    'RouteKind',
    'RouteTable',
    'RoutingConfiguration',
    'SplitBalancer',
    'WeightedService',
)
