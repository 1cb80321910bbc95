"""What is needed to call a leaf."""

import attrs

from clementinebank.validation import Address


@attrs.frozen
class LeafSettings:
    """One leaf that can be called.

    Parameters
    ----------
    leaf_id : str
        Unique name in the service.
    address : Address
        Where the leaf listens.
    data_centre : str
        Data centre of the leaf.
    """

    leaf_id: str
    address: Address
    data_centre: str
