"""Result of a request to accept a change."""

import enum

import attrs

from clementinebank.document._change import SectionConflict
from clementinebank.document._head import HeadRecord
from clementinebank.errors import Failure, FieldProblem


class Outcome(enum.Enum):
    """Outcome of a request to accept a change.

    ``CONFLICT``, ``INVALID`` and ``REFUSED`` guarantee that this request did
    not accept the change and that none of its writes takes effect later.
    ``UNKNOWN`` means that the change may have been accepted.
    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@attrs.frozen
class ChangeResult:
    """Outcome of a request to accept a change, with its reasons.

    Parameters
    ----------
    outcome : Outcome
        Whether the change was accepted.
    change_id : str
        Id of the change.
    head : HeadRecord or None
        Head record that contains the accepted change.
    revision : int or None
        Revision that accepted the change.
    conflicts : tuple of SectionConflict
        Sections that another editor changed since the base revision.
    problems : tuple of FieldProblem
        Problems of the document that would result from the change.
    failure : Failure or None
        Reason for ``REFUSED`` or ``UNKNOWN``.
    """

    outcome: Outcome
    change_id: str
    head: HeadRecord | None = None
    revision: int | None = None
    conflicts: tuple[SectionConflict, ...] = ()
    problems: tuple[FieldProblem, ...] = ()
    failure: Failure | None = None
