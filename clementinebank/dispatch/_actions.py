"""Actions of a request and the trace events that explain them."""

from typing import Any

import attrs

from clementinebank.errors import Failure


@attrs.frozen
class TraceEvent:
    """Event in the trace of a request.

    Parameters
    ----------
    offset_ms : float
        Time since the start of the request in milliseconds.
    event : str
        Name of the event.
    facts : dict
        Values that belong to the event, for example the leaf or the reason.
    """

    offset_ms: float
    event: str
    facts: dict[str, Any]


@attrs.frozen
class SendCall:
    """Action that sends one attempt of a shard to a leaf."""

    attempt_id: str
    group_id: str
    leaf_id: str


@attrs.frozen
class CancelCall:
    """Action that cancels an attempt at its leaf."""

    attempt_id: str
    leaf_id: str


@attrs.frozen
class Finish:
    """Action that answers the caller."""

    answer: Any


@attrs.frozen
class Refuse:
    """Action that tells the caller that the request was refused or failed."""

    failure: Failure


Action = SendCall | CancelCall | Finish | Refuse
