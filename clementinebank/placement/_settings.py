"""Settings of the placement of work on data centres."""

import attrs

# Names of the policies.
FASTEST = 'fastest'
PRICED = 'priced'


@attrs.frozen
class PlacementSettings:
    """What the operators pay for work that leaves a data centre.

    Prices are shares of the worth of an answer in time, per call.

    Parameters
    ----------
    policy : str
        Name in ``PLACEMENT_POLICIES``.
    data_centre_price : float
        Price of a call to another data centre of the same region.
    region_price : float
        Price of a call to another region.
    max_away_share : float
        Largest share of the calls to a group, 0 to 1, that leaves although
        its leafs at home could take them.
    """

    policy: str = FASTEST
    data_centre_price: float = 0.005
    region_price: float = 0.01
    max_away_share: float = 1.0

    def price(
        self, *, is_same_data_centre: bool, is_same_region: bool
    ) -> float:
        """Return the price of a call by the place of the called leaf."""
        if is_same_data_centre:
            return 0
        return self.data_centre_price if is_same_region else self.region_price


@attrs.frozen
class GroupValue:
    """What an answer of a group is worth, and until when.

    Parameters
    ----------
    objective_s : float
        Time in seconds within which the answer has its full worth.
    weight : float
        Worth of the answer of the group as a share of the whole answer to the
        caller, 0 to 1. It is below 1 for a shard of a gathered answer.
    """

    objective_s: float = 1.0
    weight: float = 1.0
