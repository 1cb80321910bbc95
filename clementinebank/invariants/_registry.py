"""Registry of the invariants that are asserted in the running program."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

Predicate = Callable[..., bool]


@attrs.frozen
class Invariant:
    """A named rule that must hold whenever it is checked.

    Parameters
    ----------
    name : str
        Stable name, used in logs and metrics.
    requirement : str
        Requirement of the design page, ``R1`` to ``R8``.
    predicate : callable
        Returns true while the rule holds.
    """

    name: str
    requirement: str
    predicate: Predicate


INVARIANTS: dict[str, Invariant] = {}
VIOLATIONS_BY_NAME: Counter[str] = Counter()


def invariant(name: str, requirement: str) -> Callable[[Predicate], Predicate]:
    """Register a predicate as an invariant."""

    def register(predicate: Predicate) -> Predicate:
        if name in INVARIANTS:
            raise ValueError(f'invariant {name} is registered twice')
        INVARIANTS[name] = Invariant(name, requirement, predicate)
        return predicate

    return register


def check(name: str, request_id: str, **facts: Any) -> bool:
    """Check one invariant, count and log a violation.

    Parameters
    ----------
    name : str
        Name of a registered invariant.
    request_id : str
        Request or change under which the check runs.
    **facts
        Arguments of the predicate.

    Returns
    -------
    bool
        Whether the invariant holds.

    Raises
    ------
    KeyError
        If no invariant has this name.
    """
    if INVARIANTS[name].predicate(**facts):
        return True
    VIOLATIONS_BY_NAME[name] += 1
    log_message(
        message_type='invariant:violated',
        invariant=name,
        requirement=INVARIANTS[name].requirement,
        request_id=request_id,
        facts={key: repr(fact) for key, fact in facts.items()},
    )
    return False
