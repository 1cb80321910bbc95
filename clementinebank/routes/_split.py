"""Distribution of the requests of a route among services by weight."""

from collections.abc import Iterable

import attrs

from clementinebank.routes._model import Route, WeightedService

SplitKey = tuple[str, tuple[WeightedService, ...]]


@attrs.define(eq=False)
class SplitBalancer:
    """Smooth weighted round robin among the services of each route.

    After any number of requests, the count of each service differs from its
    exact share by less than the number of services, so that the proportions
    are right after a few requests.
    """

    _credits_by_services: dict[SplitKey, list[float]] = attrs.Factory(dict)

    def retain(self, routes: Iterable[Route]) -> None:
        """Forget the counts of all other routes and weights."""
        keys = {_key_of(route) for route in routes}
        for key in self._credits_by_services.keys() - keys:
            self._credits_by_services.pop(key)

    def choose(self, route: Route) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credits_by_services.setdefault(
            _key_of(route), [0 for _ in route.weighted_services]
        )
        total = sum(
            weighted_service.weight
            for weighted_service in route.weighted_services
        )
        for index, weighted_service in enumerate(route.weighted_services):
            credits[index] += weighted_service.weight / total
        chosen_index = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen_index] -= 1
        return route.weighted_services[chosen_index].service


def _key_of(route: Route) -> SplitKey:
    return route.name, route.weighted_services
