"""Distribution of the configuration document to every instance.

Instances read the head record from the key-value service, exchange deltas
with peers, write the record back after a restore of the service and track how
current the document in force is.
"""

from clementinebank.distribution._create import create_follower
from clementinebank.distribution._currency import (
    CONFIRMED_LIMIT_S,
    PAUSE_LIMIT_S,
    Currency,
    CurrencyState,
)
from clementinebank.distribution._digest import (
    document_digest,
    section_digest,
    section_digests,
)
from clementinebank.distribution._exchange import Exchange
from clementinebank.distribution._follower import (
    DocumentFollower,
    PeerTransport,
)
from clementinebank.distribution._messages import DocumentDelta, SyncMessage
from clementinebank.distribution._state import DocumentState
from clementinebank.distribution._status import follower_status

__all__ = (
    'CONFIRMED_LIMIT_S',
    'PAUSE_LIMIT_S',
    'Currency',
    'CurrencyState',
    'DocumentDelta',
    'DocumentFollower',
    'DocumentState',
    'Exchange',
    'PeerTransport',
    'SyncMessage',
    'create_follower',
    'document_digest',
    'follower_status',
    'section_digest',
    'section_digests',
)
