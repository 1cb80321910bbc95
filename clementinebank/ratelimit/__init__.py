"""Rate limits that leafs name for all instances together."""

from clementinebank.ratelimit._client import LimitClient
from clementinebank.ratelimit._coordinator import LimitCoordinator, TokenBucket
from clementinebank.ratelimit._leaf_limit import (
    TOKEN_LIFETIME_S,
    LeafLimit,
)
from clementinebank.ratelimit._named import (
    NamedLimit,
    named_limit_of,
    read_named_limit,
)
from clementinebank.ratelimit._quota import Quota, QuotaBounds, account_key
from clementinebank.ratelimit._quota_client import QuotaClient
from clementinebank.ratelimit._quota_ledger import QuotaLedger
from clementinebank.ratelimit._quota_table import QuotaTable
from clementinebank.ratelimit._service import (
    ACQUIRE_PATH,
    LimitService,
    OnStatements,
)
from clementinebank.ratelimit._table import (
    LimitStatement,
    LimitTable,
    WaitingRequests,
    equal_share,
)

__all__ = (
    'ACQUIRE_PATH',
    'LeafLimit',
    'LimitClient',
    'LimitCoordinator',
    'LimitService',
    'LimitStatement',
    'LimitTable',
    'NamedLimit',
    'OnStatements',
    'Quota',
    'QuotaBounds',
    'QuotaClient',
    'QuotaLedger',
    'QuotaTable',
    'TOKEN_LIFETIME_S',
    'TokenBucket',
    'WaitingRequests',
    'account_key',
    'equal_share',
    'named_limit_of',
    'read_named_limit',
)
