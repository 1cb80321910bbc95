"""Typed content of one version of the operators' routing configuration."""

import enum

import attrs

from clementinebank.accounts import ClientAccount

# Limits of a caller's request where the configuration gives none.
DEFAULT_HEADER_BYTES = 16_384
DEFAULT_BODY_BYTES = 2_097_152
DEFAULT_HEADER_TIMEOUT_S = 5.0
DEFAULT_IDLE_TIMEOUT_S = 75.0


class RouteKind(enum.Enum):
    """Whether a request that may have run may be sent again."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'


@attrs.frozen
class WeightedService:
    """Service that gets a weighted share of the requests of a route.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Share of the requests, relative to the weights of the other services.
    """

    service: str
    weight: float


@attrs.frozen
class ScatterGather:
    """Scatter and gather: every request goes to all of several services.

    One leaf of each service gets the request, and the records of their
    responses are merged into one answer.

    Parameters
    ----------
    services : tuple of str
        Names of the services, each of which holds one shard.
    max_records : int
        Largest number of records in a merged answer.
    min_share : float
        Smallest share of the services, 0 to 1, whose records make a success.
    """

    services: tuple[str, ...]
    max_records: int
    min_share: float


@attrs.frozen
class Route:
    """Services and limits for the requests of a host and a path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case, without a port.
    prefix : str
        Start of the path; begins and ends with a slash.
    kind : RouteKind
        Whether a request that may have run may be sent again.
    weighted_services : tuple of WeightedService
        Services among which requests are split by weight; empty for a
        scatter-gather route.
    scatter_gather : ScatterGather or None
        Services that all get every request; ``None`` for a split route.
    timeout_s : float
        Longest time until the final answer, in seconds.
    objective_s : float
        Time within which an answer has its full value, in seconds.
    max_attempts : int
        Number of leafs of each service that may run the same request.
    priority : int
        Priority of the route; 0 is the highest.
    is_public : bool
        Whether requests need no key of a client account.
    regions : frozenset of str or None
        Regions that may run requests of the route; ``None`` allows all.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    weighted_services: tuple[WeightedService, ...] = ()
    scatter_gather: ScatterGather | None = None
    max_attempts: int = 2
    priority: int = 0
    is_public: bool = False
    regions: frozenset[str] | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """Return the services that may get requests of the route."""
        if self.scatter_gather is not None:
            return self.scatter_gather.services
        return tuple(
            weighted_service.service
            for weighted_service in self.weighted_services
        )

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE


@attrs.frozen
class CallerLimits:
    """Limits of what a caller may send and of how long it may take.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest head and largest body of a request, in bytes.
    header_timeout_s, idle_timeout_s : float
        Longest time until the head of a request is received and longest time
        between two requests of a connection, in seconds.
    """

    max_header_bytes: int = DEFAULT_HEADER_BYTES
    max_body_bytes: int = DEFAULT_BODY_BYTES
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_S
    idle_timeout_s: float = DEFAULT_IDLE_TIMEOUT_S


@attrs.frozen
class RoutingConfiguration:
    """All routes at one version.

    Parameters
    ----------
    version : int
        Version number, which rises with every change.
    routes : tuple of Route
        All routes of the configuration.
    connections_by_service : dict of str to int
        Connections that one leaf of a service accepts from all instances.
    cold_rates_by_service : dict of str to float
        Requests a second that a cold leaf of a service takes from all
        instances; services without such a bound are missing.
    limits : CallerLimits
        Limits for the requests of callers.
    accounts : tuple of ClientAccount
        All client accounts; empty if callers need no key.
    """

    version: int
    routes: tuple[Route, ...]
    connections_by_service: dict[str, int]
    limits: CallerLimits = CallerLimits()
    cold_rates_by_service: dict[str, float] = attrs.Factory(dict)
    accounts: tuple[ClientAccount, ...] = ()
