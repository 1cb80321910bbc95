"""Distribution of control entries from the store to all instances.

One registered relay in each data centre watches the store; the other
instances read changes from the relays, so that calls to the store grow with
the number of data centres and not with the number of instances.
"""

from clementinebank.relay._aggregators import (
    FleetMember,
    choose_aggregators,
)
from clementinebank.relay._client import RelayClient
from clementinebank.relay._content import decode_content
from clementinebank.relay._directory import (
    KEY_PREFIX,
    RelayDirectory,
    RelayRecord,
)
from clementinebank.relay._log import EntryLog, RemovalBounds
from clementinebank.relay._model import (
    CONFLICT,
    EARLIER_ERA,
    HISTORY_LOST,
    LEASE_ENDED,
    ChangeBatch,
    ControlFeed,
    ControlStore,
    Entry,
    SourcedFeed,
    StoredState,
    StorePosition,
    era_failure_code,
    watch_confirmed_at,
)
from clementinebank.relay._registration import RelayRegistration
from clementinebank.relay._service import WATCH_PATH, RelayService
from clementinebank.relay._sources import FreshnessBounds, RelayedFeed

__all__ = (
    'CONFLICT',
    'EARLIER_ERA',
    'HISTORY_LOST',
    'KEY_PREFIX',
    'LEASE_ENDED',
    'WATCH_PATH',
    'ChangeBatch',
    'ControlFeed',
    'ControlStore',
    'Entry',
    'EntryLog',
    'FleetMember',
    'FreshnessBounds',
    'RelayClient',
    'RelayDirectory',
    'RelayRecord',
    'RelayRegistration',
    'RelayService',
    'RelayedFeed',
    'RemovalBounds',
    'SourcedFeed',
    'StorePosition',
    'StoredState',
    'choose_aggregators',
    'decode_content',
    'era_failure_code',
    'watch_confirmed_at',
)
