"""Actions of a query and the answer they lead to."""

from typing import Any

import attrs

from clementinebank.errors import Failure
from clementinebank.search._coverage import Coverage
from clementinebank.search._messages import Record


@attrs.frozen
class TraceEvent:
    """One event in the course of a query.

    Parameters
    ----------
    offset_ms : float
        Time since the start of the query in milliseconds.
    event : str
        What happened.
    facts : dict
        Snapshot, leafs, reasons and similar values.
    """

    offset_ms: float
    event: str
    facts: dict[str, Any]


@attrs.frozen
class SendShard:
    """Send a shard request to a leaf."""

    attempt_id: str
    group_id: str
    leaf_id: str
    snapshot: str
    partitions: tuple[int, ...]


@attrs.frozen
class CancelShard:
    """Cancel a shard request at its leaf."""

    attempt_id: str
    leaf_id: str


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


@attrs.frozen
class Finish:
    """Answer the caller."""

    answer: Answer


@attrs.frozen
class Refuse:
    """Refuse the request of the caller."""

    failure: Failure


Action = SendShard | CancelShard | Finish | Refuse
