"""Status of the document and the fleet for operators."""

from typing import Any

from clementinebank.clock import now
from clementinebank.distribution._follower import DocumentFollower


def follower_status(follower: DocumentFollower) -> dict[str, Any]:
    """Return the document's state and the view of the fleet as JSON values.

    Parameters
    ----------
    follower : DocumentFollower
        Follower of this instance.

    Returns
    -------
    dict of str to object
        Revision, digests, alarm and currency of the document, and the
        watchers and members in this instance's view.
    """
    exchange = follower.exchange
    time = now()
    age = exchange.currency.age_s(time)
    view = exchange.view
    members = {
        instance_id: {
            'incarnation': member.incarnation,
            'address': str(member.address),
            'data_centre': member.data_centre,
            'state': member.state.name.lower(),
            'revision': member.revision,
            'heard': instance_id == view.own.instance_id
            or view.is_heard(instance_id, time),
        }
        for instance_id, member in sorted(view.members_by_id.items())
    }
    return {
        'revision': exchange.state.revision,
        'digest': exchange.state.digest.hex(),
        'section_digests': {
            name: digest.hex()
            for name, digest in exchange.state.digests.items()
        },
        'alarm': exchange.state.alarm,
        'restored_heads': follower.head_reader.restored_heads,
        'currency': {
            'state': exchange.currency_state(time).value,
            'head_age_s': None if age is None else round(age, 3),
        },
        'watchers': view.watchers(view.own.data_centre, time),
        'members': members,
        'view_digest': view.digest().hex(),
    }
