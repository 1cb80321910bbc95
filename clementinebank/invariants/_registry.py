"""Registry of the invariants that are checked while the program runs."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
from eliot import log_message

Predicate = Callable[..., bool]


@attrs.frozen
class Invariant:
    """Named rule that must hold whenever it is checked.

    Parameters
    ----------
    name : str
        Stable name, used in logs and metrics.
    requirement : str
        Requirement that the rule protects: ``R1`` to ``R8`` of the design
        page.
    predicate : callable
        Returns true while the rule holds.
    """

    name: str
    requirement: str
    predicate: Predicate


INVARIANTS: dict[str, Invariant] = {}
VIOLATIONS_BY_NAME: Counter[str] = Counter()


def invariant(name: str, requirement: str) -> Callable[[Predicate], Predicate]:
    """Return a decorator that registers a predicate as an invariant.

    Parameters
    ----------
    name : str
        Stable name, used in logs and metrics.
    requirement : str
        Requirement that the rule protects, ``R1`` to ``R8``.

    Raises
    ------
    ValueError
        If the name is registered already; raised by the decorator.
    """

    def register(predicate: Predicate) -> Predicate:
        if name in INVARIANTS:
            raise ValueError(f'invariant {name} is registered twice')
        INVARIANTS[name] = Invariant(name, requirement, predicate)
        return predicate

    return register


def check(name: str, request_id: str, **facts: Any) -> bool:
    """Check one invariant; count and log a violation.

    Parameters
    ----------
    name : str
        Name of a registered invariant.
    request_id : str
        Id of the request or change that is being processed, for the log.
    **facts
        Arguments of the predicate, logged with a violation.

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
