"""Result of a change."""

import enum

import attrs

from clementinebank.document._change import SectionConflict
from clementinebank.document._head import HeadRecord
from clementinebank.errors import Failure, FieldProblem


class Outcome(enum.Enum):
    """Result of a change.

    ``CONFLICT``, ``INVALID`` and ``REFUSED`` state that the change is not
    accepted by this request and will not be accepted late.
    """

    ACCEPTED = 'accepted'
    CONFLICT = 'conflict'
    INVALID = 'invalid'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@attrs.frozen
class ChangeResult:
    """Result of a change with its reasons.

    Parameters
    ----------
    outcome : Outcome
        Result.
    change_id : str
        Id of the change.
    head : HeadRecord or None
        Record that contains an accepted change.
    revision : int or None
        Revision that accepted the change.
    conflicts : tuple of SectionConflict
        Sections that another editor changed.
    problems : tuple of FieldProblem
        Invalid fields of the document that the change would give.
    failure : Failure or None
        Reason of ``REFUSED`` and ``UNKNOWN``.
    """

    outcome: Outcome
    change_id: str
    head: HeadRecord | None = None
    revision: int | None = None
    conflicts: tuple[SectionConflict, ...] = ()
    problems: tuple[FieldProblem, ...] = ()
    failure: Failure | None = None
