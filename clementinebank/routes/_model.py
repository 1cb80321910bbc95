"""Typed content of the operators' routes at one version."""

import enum

import attrs

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
    """One part of a split route.

    Parameters
    ----------
    service : str
        Service that gets the part.
    weight : float
        Share of the requests relative to the other parts.
    """

    service: str
    weight: float


@attrs.frozen
class Gathering:
    """A route whose requests go to one leaf of each of several services.

    Parameters
    ----------
    services : tuple of str
        Services, each of which holds one shard.
    max_records : int
        Largest number of records in an answer.
    min_share : float
        Least share of the services that a success includes, 0 to 1.
    """

    services: tuple[str, ...]
    max_records: int
    min_share: float


@attrs.frozen
class Route:
    """Where the requests of a host and a path prefix go.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host in lower case, without a port.
    prefix : str
        Begin of the path; starts and ends with a slash.
    kind : RouteKind
        What may be repeated.
    parts : tuple of WeightedService
        Services among which requests are split; empty for a gathering.
    gathering : Gathering or None
        Set of services that all get the request.
    timeout_s : float
        Longest time until the final answer, in seconds.
    objective_s : float
        Time within which an answer has its full worth, in seconds.
    max_attempts : int
        Leafs that may run one request of a caller, for each service.
    priority : int
        Rank, 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    objective_s: float
    parts: tuple[WeightedService, ...] = ()
    gathering: Gathering | None = None
    max_attempts: int = 2
    priority: int = 0

    @property
    def services(self) -> tuple[str, ...]:
        """Return every service that may get a request of the route."""
        if self.gathering is not None:
            return self.gathering.services
        return tuple(part.service for part in self.parts)

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.kind is RouteKind.SAFE


@attrs.frozen
class CallerLimits:
    """What a caller may send.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Largest request head and body in bytes.
    header_timeout_s, idle_timeout_s : float
        Longest time for the head of a request and between two requests of a
        connection, in seconds.
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
        Rises with every change.
    routes : tuple of Route
        The routes.
    connections_by_service : dict of str to int
        Connections that one leaf of a service accepts from all callers.
    limits : CallerLimits
        What a caller may send.
    """

    version: int
    routes: tuple[Route, ...]
    connections_by_service: dict[str, int]
    limits: CallerLimits = CallerLimits()
