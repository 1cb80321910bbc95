"""Invariants that are checked while the program runs."""

from clementinebank.invariants._registry import (
    INVARIANTS,
    VIOLATIONS_BY_NAME,
    Invariant,
    check,
    invariant,
)

__all__ = (
    'INVARIANTS',
    'VIOLATIONS_BY_NAME',
    'Invariant',
    'check',
    'invariant',
)
