"""Actions of a query and the answer they lead to."""

import attrs

from clementinebank.dispatch import SendCall
from clementinebank.search._coverage import Coverage
from clementinebank.search._messages import Record


@attrs.frozen
class SendShard(SendCall):
    """Send a shard request of a snapshot to a leaf."""

    snapshot: str
    partitions: tuple[int, ...]


@attrs.frozen
class Answer:
    """Answer to a caller.

    Parameters
    ----------
    request_id : str
        Id of the request.
    snapshot : str or None
        The one snapshot from which all records come.
    records : tuple of Record
        Best records, best first.
    coverage : Coverage
        What the answer covers.
    """

    request_id: str
    snapshot: str | None
    records: tuple[Record, ...]
    coverage: Coverage
