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

    _credits_by_parts: dict[
        tuple[str, tuple[WeightedService, ...]], list[float]
    ] = attrs.Factory(dict)

    def choose(self, route: Route) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.parts) == 1:
            return route.parts[0].service
        key = (route.name, route.parts)
        credits = self._credits_by_parts.setdefault(
            key, [0 for _ in route.parts]
        )
        total = sum(part.weight for part in route.parts)
        for index, part in enumerate(route.parts):
            credits[index] += part.weight / total
        chosen_index = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen_index] -= 1
        return route.parts[chosen_index].service
