"""Connection pools and status probes of leafs."""

from clementinebank.upstream._call import LeafCall, LeafReply
from clementinebank.upstream._exchange import ExchangeRecord
from clementinebank.upstream._pool import LeafPool
from clementinebank.upstream._pools import LeafPools
from clementinebank.upstream._protocol import (
    LeafProtocol,
    SearchLeafProtocol,
    repeated_reason,
)
from clementinebank.upstream._status import (
    LeafStatus,
    ServedSnapshot,
    decode_status,
)

__all__ = (
    'ExchangeRecord',
    'LeafCall',
    'LeafPool',
    'LeafPools',
    'LeafProtocol',
    'LeafReply',
    'LeafStatus',
    'SearchLeafProtocol',
    'ServedSnapshot',
    'decode_status',
    'repeated_reason',
)
