"""Actions of a dispatcher and the events that explain them."""

from typing import Any

import attrs

from clementinebank.errors import Failure


@attrs.frozen
class TraceEvent:
    """One event in the course of a request.

    Parameters
    ----------
    offset_ms : float
        Time since the start of the request in milliseconds.
    event : str
        What happened.
    facts : dict
        Snapshot, leafs, reasons and similar values.
    """

    offset_ms: float
    event: str
    facts: dict[str, Any]


@attrs.frozen
class SendCall:
    """Send one attempt of a shard to a leaf."""

    attempt_id: str
    group_id: str
    leaf_id: str


@attrs.frozen
class CancelCall:
    """Cancel an attempt at its leaf."""

    attempt_id: str
    leaf_id: str


@attrs.frozen
class Finish:
    """Answer the caller."""

    answer: Any


@attrs.frozen
class Refuse:
    """Refuse the request of the caller, or state that it failed."""

    failure: Failure


Action = SendCall | CancelCall | Finish | Refuse
