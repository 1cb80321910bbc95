"""Shares of one instance in the limits that the whole fleet has to keep."""

import attrs

# Part of a limit that is divided among the aggregators of a service. The rest
# is divided among all instances, because each may have to gather a request
# itself.
AGGREGATED_PART = 0.5


@attrs.frozen
class FleetShares:
    """Position of one instance in the fleet, from which its shares follow.

    Load pattern that it answers: a fleet in which each instance sees few
    requests. Equal shares of a limit would be too small to serve any of them,
    while nearly the whole limit stays unused.

    Parameters
    ----------
    fleet_size : int
        Number of instances.
    aggregator_count : int
        Number of instances that gather scatter-gather requests for the
        others, 0 if every instance gathers its own.
    is_aggregator : bool
        Whether this instance is one of them.
    """

    fleet_size: int
    aggregator_count: int = 0
    is_aggregator: bool = False

    def share_of(self, limit: float, *, is_aggregated: bool) -> float:
        """Return the share of this instance in a limit of the fleet.

        Parameters
        ----------
        limit : float
            Limit of a service for all instances together.
        is_aggregated : bool
            Whether aggregators make most of the calls to the service.
        """
        if not is_aggregated or not self.aggregator_count:
            return limit / self.fleet_size
        share = (1 - AGGREGATED_PART) * limit / self.fleet_size
        if self.is_aggregator:
            share += AGGREGATED_PART * limit / self.aggregator_count
        return share
