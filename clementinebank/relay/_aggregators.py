"""Choice of the instances of a data centre that gather for the others."""

import hashlib
from collections.abc import Collection

import attrs

from clementinebank.validation import Address

# Fewest aggregators of a data centre. If one of them fails, the other carries
# its load and what is known of the leafs is not lost.
MIN_AGGREGATORS = 2
# A data centre with fewer instances has no aggregators: its instances are few
# enough to share connections and extra requests evenly.
MIN_MEMBERS = 6
# Share of the processors of a data centre that its aggregators have together.
# Most of the processor time of a request is spent on its calls to leafs.
CAPACITY_SHARE = 0.15


@attrs.frozen
class FleetMember:
    """Instance that may gather answers for other instances.

    Parameters
    ----------
    address : Address
        Where the instance answers other instances.
    cores : float
        Processor of the instance, in cores.
    """

    address: Address
    cores: float


def choose_aggregators(
    members: Collection[FleetMember], current: Collection[FleetMember] = ()
) -> tuple[FleetMember, ...]:
    """Return the members that gather for all, the largest ones first.

    Of equally large members, those that are aggregators now come first,
    because they know the leafs and hold connections to them; the others follow
    by rendezvous hashing.

    Parameters
    ----------
    members : collection of FleetMember
        Instances of one data centre.
    current : collection of FleetMember
        Aggregators of the data centre until now.

    Returns
    -------
    tuple of FleetMember
        Empty if the data centre needs no aggregators.
    """
    if len(members) < MIN_MEMBERS:
        return ()
    ordered = sorted(
        members,
        key=lambda member: (
            -member.cores,
            member not in current,
            _rendezvous_hash(member.address),
        ),
    )
    required_cores = CAPACITY_SHARE * sum(member.cores for member in members)
    chosen: list[FleetMember] = []
    for member in ordered:
        cores = sum(each.cores for each in chosen)
        if len(chosen) >= MIN_AGGREGATORS and cores >= required_cores:
            break
        chosen.append(member)
    return tuple(chosen)


def _rendezvous_hash(address: Address) -> bytes:
    return hashlib.blake2b(str(address).encode(), digest_size=8).digest()
