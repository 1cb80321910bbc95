"""Construction of the follower of the document from the settings."""

from clementinebank.clock import wall_time
from clementinebank.coordination import InstanceList, KeyValueService
from clementinebank.distribution._exchange import Exchange
from clementinebank.distribution._follower import (
    DocumentFollower,
    OnActivated,
    PeerTransport,
)
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.membership import Member, MembershipView
from clementinebank.settings import InstanceSettings

MS_PER_S = 1000


def create_follower(
    settings: InstanceSettings,
    key_value: KeyValueService,
    instance_list: InstanceList,
    transport: PeerTransport,
    on_activated: OnActivated,
) -> DocumentFollower:
    """Return a document follower for a new incarnation of this instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of this instance.
    key_value : KeyValueService
        Service that stores the head record.
    instance_list : InstanceList
        The platform's list of instances.
    transport : PeerTransport
        Calls to peers.
    on_activated : callable
        Coroutine function that is called after each activation.
    """
    own = Member(
        settings.instance_id,
        int(wall_time() * MS_PER_S),
        settings.peers,
        settings.data_centre,
    )
    exchange = Exchange(MembershipView(own))
    return DocumentFollower(
        exchange,
        HeadReader(key_value, exchange),
        instance_list,
        transport,
        on_activated,
    )
