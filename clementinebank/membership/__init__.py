"""One instance's view of the fleet.

The view merges heartbeats and reports of peers with the platform's instance
list.
"""

from clementinebank.membership._choice import rendezvous_order
from clementinebank.membership._member import (
    ListedInstance,
    Member,
    MemberReport,
    MemberState,
    merge_members,
)
from clementinebank.membership._table import MAX_REPORTS_PER_MESSAGE
from clementinebank.membership._view import (
    WATCHERS_PER_DATA_CENTRE,
    MembershipView,
)

__all__ = (
    'MAX_REPORTS_PER_MESSAGE',
    'WATCHERS_PER_DATA_CENTRE',
    'ListedInstance',
    'Member',
    'MemberReport',
    'MemberState',
    'MembershipView',
    'merge_members',
    'rendezvous_order',
)
