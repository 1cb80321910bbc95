"""What a leaf states about itself in the service registry."""

import attrs

from clementinebank.validation import Address


@attrs.frozen
class LeafRecord:
    """One registered leaf.

    Parameters
    ----------
    leaf_id : str
        Id of the leaf; a restarted leaf may keep it.
    incarnation : int
        Unix time of the start in milliseconds; 0 if it is not stated.
    sequence : int
        Number of the statement within the incarnation.
    service : str
        Service of the leaf.
    address : Address
        Where the leaf listens.
    data_centre : str
        Data centre of the leaf.
    slots : int
        Requests that it serves at the same time.
    is_draining : bool
        Whether it takes no new work.
    cold_s : float
        Time for which it is still slow after its start, in seconds.
    """

    leaf_id: str
    incarnation: int
    sequence: int
    service: str
    address: Address
    data_centre: str
    slots: int
    is_draining: bool = False
    cold_s: float = 0

    @property
    def key(self) -> str:
        """Return the name of this incarnation."""
        return f'{self.leaf_id}@{self.incarnation}'

    @property
    def order(self) -> tuple[int, int]:
        """Return what rises with each statement of a leaf."""
        return (self.incarnation, self.sequence)
