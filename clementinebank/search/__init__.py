"""Search queries that are sent to all shards of an index and merged."""

from clementinebank.dispatch import Finish, Refuse
from clementinebank.search._actions import (
    SearchAnswer,
    SendShardRequest,
)
from clementinebank.search._coverage import Coverage, ShardCoverage
from clementinebank.search._engine import SearchEngine
from clementinebank.search._messages import (
    Record,
    SearchRequest,
    ShardReply,
    decode_search_request,
)
from clementinebank.search._policies import (
    ANSWER_POLICIES,
    WaitPlan,
    answer_policy,
)
from clementinebank.search._query import Query
from clementinebank.search._snapshots import PartitionMap, SnapshotCatalogue

__all__ = (
    'ANSWER_POLICIES',
    'SearchAnswer',
    'Coverage',
    'Finish',
    'PartitionMap',
    'Query',
    'Record',
    'Refuse',
    'SearchEngine',
    'SearchRequest',
    'SendShardRequest',
    'ShardCoverage',
    'ShardReply',
    'SnapshotCatalogue',
    'WaitPlan',
    'answer_policy',
    'decode_search_request',
)
