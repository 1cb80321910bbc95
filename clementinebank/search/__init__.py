"""Search over many shards."""

from clementinebank.search._coverage import Coverage, ShardCoverage
from clementinebank.search._engine import SearchEngine
from clementinebank.search._messages import (
    Record,
    SearchRequest,
    ShardReply,
    read_search_body,
)
from clementinebank.search._query import (
    Answer,
    CancelShard,
    Finish,
    Query,
    SendShard,
)
from clementinebank.search._snapshots import PartitionMap, SnapshotCatalogue

__all__ = (
    'Answer',
    'CancelShard',
    'Coverage',
    'Finish',
    'PartitionMap',
    'Query',
    'Record',
    'SearchEngine',
    'SearchRequest',
    'SendShard',
    'ShardCoverage',
    'ShardReply',
    'SnapshotCatalogue',
    'read_search_body',
)
