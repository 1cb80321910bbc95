"""Worth of the answers of services, from the routes that use them."""

from clementinebank.placement import GroupValue
from clementinebank.routes import Route, RoutingConfiguration

# An answer earns the square of the share of its shards, so that the last one of
# n shards is worth about 2 / n of it.
SHARD_WORTH_FACTOR = 2.0


def values_of_services(
    configuration: RoutingConfiguration | None,
) -> dict[str, GroupValue]:
    """Return the worth of the answers of each service.

    A service that several routes use counts with the shortest objective and
    the largest weight among them.

    Parameters
    ----------
    configuration : RoutingConfiguration or None
        Routes in force, ``None`` if none are known.
    """
    values_by_service: dict[str, GroupValue] = {}
    for route in configuration.routes if configuration else ():
        weight = _weight_of(route)
        for service in route.services:
            known = values_by_service.get(service)
            values_by_service[service] = GroupValue(
                min(route.objective_s, known.objective_s)
                if known
                else route.objective_s,
                max(weight, known.weight if known else 0),
            )
    return values_by_service


def _weight_of(route: Route) -> float:
    if route.scatter_gather is None:
        return 1
    return min(1, SHARD_WORTH_FACTOR / max(1, len(route.services)))
