"""Record by which a leaf registers itself in the service registry."""

import attrs

from clementinebank.validation import Address


@attrs.frozen
class LeafRecord:
    """Registration of one leaf.

    Parameters
    ----------
    leaf_id : str
        Id of the leaf; a restarted leaf may keep it.
    incarnation : int
        Unix time of the leaf's start in milliseconds; 0 if unknown.
    sequence : int
        Number of the record, which rises within an incarnation.
    service : str
        Service of the leaf.
    address : Address
        Address at which the leaf listens.
    data_centre : str
        Data centre of the leaf.
    slots : int
        Requests that the leaf serves at the same time.
    is_draining : bool
        Whether the leaf accepts no new requests.
    cold_s : float
        Time for which the leaf is still slow after its start, in seconds.
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
    def incarnation_id(self) -> str:
        """Return the id of this incarnation, ``leaf_id@incarnation``."""
        return f'{self.leaf_id}@{self.incarnation}'

    @property
    def sort_key(self) -> tuple[int, int]:
        """Return the sort key that rises with each new record of a leaf."""
        return (self.incarnation, self.sequence)
