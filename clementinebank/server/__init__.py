"""Listeners and life cycle of an entry instance."""

from clementinebank.server import (
    _booking_routes,
    _caller_routes,
    _document_routes,
    _operator_routes,
    _telemetry_routes,
)
from clementinebank.server._instance import Instance, create_instance
from clementinebank.server._main import main
from clementinebank.server._routes import ROUTES, Listener, Route, route

__all__ = (
    'ROUTES',
    'Instance',
    'Listener',
    'Route',
    'create_instance',
    'main',
    'route',
)

# Importing these modules adds their routes to ``ROUTES``.
ROUTE_MODULES = (
    _booking_routes,
    _caller_routes,
    _document_routes,
    _operator_routes,
    _telemetry_routes,
)
