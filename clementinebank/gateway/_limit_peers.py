"""Instances that coordinate rate limits, and those that are told of them."""

import attrs

from clementinebank.leafs import LeafDirectory
from clementinebank.relay import RelayDirectory
from clementinebank.routing import rendezvous_subset
from clementinebank.validation import Address


@attrs.frozen
class LimitPeers:
    """Choice of the instances with which limits are exchanged.

    Parameters
    ----------
    data_centre : str
        Data centre of this instance.
    address : Address
        Where this instance answers other instances.
    relays : RelayDirectory
        Registered relays.
    leaf_directory : LeafDirectory
        Registered leafs.
    """

    data_centre: str
    address: Address
    relays: RelayDirectory
    leaf_directory: LeafDirectory

    def find_coordinator(self, key: str) -> Address | None:
        """Return the relay that grants the requests under a limit.

        For a leaf it is the relay of its data centre. For another key, or
        without such a relay, it is one that all instances choose alike.

        Parameters
        ----------
        key : str
            Limited leaf, or another key of a limit.

        Returns
        -------
        Address or None
            Where the relay answers; ``None`` while no relay is known.
        """
        records = self.relays.records_by_data_centre
        data_centre = self.leaf_directory.data_centre_of(key)
        if data_centre not in records:
            for chosen in rendezvous_subset(key, records, 1):
                data_centre = chosen
        record = records.get(data_centre)
        return record.address if record else None

    def listeners(self) -> set[Address]:
        """Return the relays that this instance tells of new limits.

        An instance tells its relay, and that one all other relays.
        """
        records = self.relays.records_by_data_centre
        own_relay = records.get(self.data_centre)
        if own_relay is None or own_relay.address == self.address:
            return {record.address for record in records.values()}
        return {own_relay.address}
