"""One instance as its peers and the instance list describe it."""

import enum

import attrs

from clementinebank.validation import Address


class MemberState(enum.IntEnum):
    """State of an instance; within one incarnation it only increases."""

    LIVE = 0
    LEAVING = 1
    GONE = 2


@attrs.frozen
class ListedInstance:
    """One entry of the platform's instance list.

    Parameters
    ----------
    instance_id : str
        Unique name in the fleet.
    address : Address
        Peers listener.
    data_centre : str
        Data centre of the instance.
    is_leaving : bool
        Whether the platform is removing the instance.
    """

    instance_id: str
    address: Address
    data_centre: str
    is_leaving: bool = False


@attrs.frozen
class Member:
    """What is known of one instance.

    Parameters
    ----------
    instance_id : str
        Unique name in the fleet.
    incarnation : int
        Start time of the process in Unix ms; 0 if only the list named it.
    address : Address
        Peers listener.
    data_centre : str
        Data centre of the instance.
    state : MemberState
        State within this incarnation.
    revision : int
        Document revision that the instance reported last.
    heartbeat : int
        Counter that the instance increases each second.
    """

    instance_id: str
    incarnation: int
    address: Address
    data_centre: str
    state: MemberState = MemberState.LIVE
    revision: int = 0
    heartbeat: int = 0


@attrs.frozen
class MemberReport:
    """One instance's report of another.

    Parameters
    ----------
    member : Member
        What the reporter knows.
    age_s : float
        Seconds since the member itself was heard, over any number of peers.
        A heartbeat that is merely new to the receiver may be old, so the
        age and not the arrival decides whether the member is heard.
    """

    member: Member
    age_s: float


def merge_members(known: Member, news: Member) -> Member:
    """Return the union of two reports of one instance.

    A higher incarnation wins. Within one incarnation the state, the
    heartbeat and the revision never decrease, so the order in which reports
    arrive does not matter.
    """
    if news.incarnation != known.incarnation:
        return max(known, news, key=_incarnation_of)
    return attrs.evolve(
        max(known, news, key=_heartbeat_of),
        state=max(known.state, news.state),
        revision=max(known.revision, news.revision),
    )


def _incarnation_of(member: Member) -> int:
    return member.incarnation


def _heartbeat_of(member: Member) -> int:
    return member.heartbeat
