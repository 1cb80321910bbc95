"""Typed failures with their step, peer and state of execution."""

from clementinebank.errors._failures import (
    Execution,
    Failure,
    FieldProblem,
    Step,
)

__all__ = ('Execution', 'Failure', 'FieldProblem', 'Step')
