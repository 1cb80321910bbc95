"""Invariants that are asserted in the running program."""

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
