"""Lookup table of the active routes."""

from collections.abc import Iterator

import attrs
from eliot import log_message

from clementinebank.clock import now
from clementinebank.invariants import check, invariant
from clementinebank.routes._model import Route, RoutingConfiguration
from clementinebank.routes._split import SplitBalancer


@invariant('configuration-version-rises', 'R8')
def _is_newer(current: int, following: int) -> bool:
    return following > current


def _prefixes_of(path: str) -> Iterator[str]:
    """Yield all prefixes of a path that end with a slash, longest first."""
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)


@attrs.define(eq=False)
class RouteTable:
    """Routes of the active configuration.

    Parameters
    ----------
    configuration : RoutingConfiguration or None
        Active configuration; ``None`` until one is known.
    balancer : SplitBalancer
        Splits the requests of a route among its services by weight.
    activated_at : float
        Runtime time in seconds at which the active configuration came into
        force; minus infinity before the first one.
    """

    configuration: RoutingConfiguration | None = None
    balancer: SplitBalancer = attrs.Factory(SplitBalancer)
    activated_at: float = float('-inf')
    _routes_by_host: dict[str, dict[str, Route]] = attrs.Factory(dict)

    @property
    def version(self) -> int:
        """Return the active version, 0 if there is none yet."""
        return self.configuration.version if self.configuration else 0

    def activate(self, configuration: RoutingConfiguration) -> bool:
        """Activate a configuration if it is newer than the active one.

        Returns
        -------
        bool
            Whether the configuration was newer and is active now.
        """
        if configuration.version <= self.version:
            return False
        check(
            'configuration-version-rises',
            f'version-{configuration.version}',
            current=self.version,
            following=configuration.version,
        )
        log_message(
            message_type='configuration:activated',
            version=configuration.version,
            previous=self.version,
            routes=len(configuration.routes),
        )
        self.configuration = configuration
        self.activated_at = now()
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host, {})[route.prefix] = route
        self._routes_by_host = routes_by_host
        self.balancer.retain(configuration.routes)
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of the path.

        Parameters
        ----------
        host : str
            Host of the request, in any case and with or without a port.
        path : str
            Path of the request.

        Returns
        -------
        Route or None
            ``None`` if no route of the host has a prefix of the path.
        """
        routes_by_prefix = self._routes_by_host.get(
            host.partition(':')[0].lower()
        )
        if routes_by_prefix is None:
            return None
        for prefix in _prefixes_of(path):
            if prefix in routes_by_prefix:
                return routes_by_prefix[prefix]
        return None

    def choose_services(self, route: Route) -> tuple[str, ...]:
        """Return the services that get the next request of the route.

        All services of a scatter-gather route, otherwise the one that is next
        by weight.
        """
        if route.scatter_gather is not None:
            return route.scatter_gather.services
        return (self.balancer.choose(route),)
