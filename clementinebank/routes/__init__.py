"""Routes of the operators: model, lookup table and weighted splits."""

from clementinebank.routes._model import (
    CallerLimits,
    Route,
    RouteKind,
    RoutingConfiguration,
    ScatterGather,
    WeightedService,
)
from clementinebank.routes._split import SplitBalancer
from clementinebank.routes._table import RouteTable

__all__ = (
    'CallerLimits',
    'ScatterGather',
    'Route',
    'RouteKind',
    'RouteTable',
    'RoutingConfiguration',
    'SplitBalancer',
    'WeightedService',
)
