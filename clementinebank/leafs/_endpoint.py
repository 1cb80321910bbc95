"""Endpoint at which a leaf is called."""

import attrs

from clementinebank.validation import Address


@attrs.frozen
class LeafEndpoint:
    """One leaf that can be called.

    Parameters
    ----------
    leaf_id : str
        Unique id of the leaf within its service.
    address : Address
        Address at which the leaf listens.
    data_centre : str
        Data centre of the leaf.
    """

    leaf_id: str
    address: Address
    data_centre: str
