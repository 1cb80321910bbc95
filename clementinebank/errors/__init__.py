"""Failures with a code, a step, a peer and the state of execution."""

from clementinebank.errors._failures import (
    Execution,
    Failure,
    FieldProblem,
    Step,
)

__all__ = ('Execution', 'Failure', 'FieldProblem', 'Step')
