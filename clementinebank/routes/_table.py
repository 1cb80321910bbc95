"""The routes in force and the choice of the route of a request."""

from collections.abc import Iterator

import attrs
from eliot import log_message

from clementinebank.invariants import check, invariant
from clementinebank.routes._model import Route, RoutingConfiguration
from clementinebank.routes._split import SplitBalancer


@invariant('configuration-version-rises', 'R8')
def _is_newer(current: int, following: int) -> bool:
    return following > current


def _prefixes_of(path: str) -> Iterator[str]:
    """Yield the prefixes of a path that end with a slash, longest first."""
    end = path.rfind('/')
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind('/', 0, end)


@attrs.define(eq=False)
class RouteTable:
    """Routes of the configuration in force.

    Parameters
    ----------
    configuration : RoutingConfiguration or None
        In force; ``None`` until one is known.
    """

    configuration: RoutingConfiguration | None = None
    balancer: SplitBalancer = attrs.Factory(SplitBalancer)
    _routes_by_host: dict[str, dict[str, Route]] = attrs.Factory(dict)

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first one."""
        return self.configuration.version if self.configuration else 0

    def activate(self, configuration: RoutingConfiguration) -> bool:
        """Put a newer configuration in force; an older one changes nothing.

        Returns
        -------
        bool
            Whether the configuration is in force now and was not before.
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
        routes_by_host: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            routes_by_host.setdefault(route.host, {})[route.prefix] = route
        self._routes_by_host = routes_by_host
        return True

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, if any."""
        by_prefix = self._routes_by_host.get(host.partition(':')[0].lower())
        if by_prefix is None:
            return None
        for prefix in _prefixes_of(path):
            if prefix in by_prefix:
                return by_prefix[prefix]
        return None

    def choose_services(self, route: Route) -> tuple[str, ...]:
        """Return the services that get one request of the route."""
        if route.gathering is not None:
            return route.gathering.services
        return (self.balancer.choose(route),)
