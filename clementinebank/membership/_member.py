"""Records of one instance, from peers and from the instance list."""

import enum

import attrs

from clementinebank.validation import Address


class MemberState(enum.IntEnum):
    """State of an instance.

    Within one incarnation the state never returns to a lower value.
    """

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
        Address at which the instance listens for peers.
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
    """What an instance knows of itself or of another instance.

    Parameters
    ----------
    instance_id : str
        Unique name in the fleet.
    incarnation : int
        Start time of the process in Unix ms; 0 if the instance is known only
        from the instance list.
    address : Address
        Address at which the instance listens for peers.
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
    """Report of one instance about another.

    Parameters
    ----------
    member : Member
        What the reporting instance knows of the member.
    age_s : float
        Seconds since the member itself sent this heartbeat, which may have
        passed through any number of peers. A heartbeat that is new to the
        receiver may be old, so this age and not the time of arrival decides
        whether the member counts as heard.
    """

    member: Member
    age_s: float


def merge_members(known: Member, report: Member) -> Member:
    """Return the merge of two records of the same instance.

    A higher incarnation wins. Within one incarnation the state, the
    heartbeat and the revision never decrease, so the order in which reports
    arrive does not matter.
    """
    if report.incarnation != known.incarnation:
        return max(known, report, key=_incarnation_of)
    return attrs.evolve(
        max(known, report, key=_heartbeat_of),
        state=max(known.state, report.state),
        revision=max(known.revision, report.revision),
    )


def _incarnation_of(member: Member) -> int:
    return member.incarnation


def _heartbeat_of(member: Member) -> int:
    return member.heartbeat
