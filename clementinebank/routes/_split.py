"""Distribution of the requests of a route among services by weight."""

import attrs

from clementinebank.routes._model import Route, WeightedService


@attrs.define(eq=False)
class SplitBalancer:
    """Smooth weighted round robin among the services of each route.

    After any number of requests, the count of each service differs from its
    exact share by less than the number of services, so that the proportions
    are right after a few requests.
    """

    _credits_by_services: dict[
        tuple[str, tuple[WeightedService, ...]], list[float]
    ] = attrs.Factory(dict)

    def choose(self, route: Route) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        key = (route.name, route.weighted_services)
        credits = self._credits_by_services.setdefault(
            key, [0 for _ in route.weighted_services]
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
