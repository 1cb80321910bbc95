"""Shard request and answer of a query."""

import attrs

from clementinebank.dispatch import SendCall
from clementinebank.search._coverage import Coverage
from clementinebank.search._messages import Record


@attrs.frozen
class SendShardRequest(SendCall):
    """Request to a leaf to search partitions of one snapshot."""

    snapshot: str
    partitions: tuple[int, ...]


@attrs.frozen
class SearchAnswer:
    """Answer to a caller's search.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    snapshot : str or None
        Snapshot from which all records come; ``None`` if none is known.
    records : tuple of Record
        Records with the highest scores, highest first.
    coverage : Coverage
        Partitions and shards that the answer covers.
    """

    request_id: str
    snapshot: str | None
    records: tuple[Record, ...]
    coverage: Coverage
