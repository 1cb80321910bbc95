"""Registered leafs as groups of a router, one for each service."""

from collections.abc import Mapping

import attrs

from clementinebank.leafs import LeafEndpoint, LeafRecord


@attrs.frozen
class LeafGroup:
    """Leafs of one service.

    Parameters
    ----------
    group_id : str
        Name of the service.
    leafs_by_id : dict of str to LeafEndpoint
        Leafs by ``LeafRecord.incarnation_id``.
    """

    group_id: str
    leafs_by_id: dict[str, LeafEndpoint]


@attrs.frozen
class LeafTopology:
    """Groups of all services.

    Parameters
    ----------
    groups_by_id : dict of str to LeafGroup
        Groups by the name of their service.
    slots : int
        Upper bound of the slots of a leaf.
    extra_load : float
        Extra requests, such as retries and hedges, allowed for each request.
    """

    groups_by_id: dict[str, LeafGroup]
    slots: int
    extra_load: float


def create_topology(
    records_by_id: Mapping[str, LeafRecord], slots: int, extra_load: float
) -> LeafTopology:
    """Return the registered leafs grouped by their service.

    Parameters
    ----------
    records_by_id : mapping of str to LeafRecord
        Records of the registered leafs.
    slots : int
        Upper bound of the slots of a leaf.
    extra_load : float
        Extra requests allowed for each request.
    """
    leafs_by_service: dict[str, dict[str, LeafEndpoint]] = {}
    for record in records_by_id.values():
        leafs = leafs_by_service.setdefault(record.service, {})
        leafs[record.incarnation_id] = LeafEndpoint(
            record.incarnation_id, record.address, record.data_centre
        )
    groups = {
        service: LeafGroup(service, leafs)
        for service, leafs in leafs_by_service.items()
    }
    return LeafTopology(groups, slots, extra_load)
