"""Typed failures that carry the step and the peer at which they arose."""

import enum
from typing import Any

import attrs


class Execution(enum.Enum):
    """Whether the request of a caller was run by an upstream."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Step(enum.Enum):
    """Step of a request or a change at which a failure arose."""

    SETTINGS = 'settings'
    ACCEPT = 'accept'
    ADMIT = 'admit'
    PIN = 'pin'
    DISPATCH = 'dispatch'
    READ = 'read'
    MERGE = 'merge'
    RESPOND = 'respond'
    CLAIM_SEND = 'claim_send'
    CLAIM_CONFIRM = 'claim_confirm'
    FIRST_BYTE = 'first_byte'
    REPLY_READ = 'reply_read'
    RECORD = 'record'
    VALIDATE = 'validate'
    READ_HEAD = 'read_head'
    SWAP = 'swap'
    CONFIRM = 'confirm'
    DISTRIBUTE = 'distribute'
    ACTIVATE = 'activate'
    PROBE = 'probe'
    DRAIN = 'drain'
    CLOSE = 'close'


@attrs.frozen
class FieldProblem:
    """One invalid field of an untrusted input.

    Parameters
    ----------
    field : str
        Dotted path of the field.
    message : str
        What is wrong, with the value received.
    line : int or None
        One-based line in the source text, where it is known.
    section : str or None
        Section of the operators' document that has the field.
    """

    field: str
    message: str
    line: int | None = None
    section: str | None = None

    def __str__(self) -> str:
        """Return the problem as one line of text."""
        line = '' if self.line is None else f'line {self.line}: '
        section = '' if self.section is None else f'section {self.section}: '
        return f'{line}{section}{self.field}: {self.message}'


@attrs.define(auto_exc=True, eq=False)
class Failure(Exception):  # noqa: N818
    """Failure of one step, used as the error value of results.

    Parameters
    ----------
    code : str
        Stable machine-readable code.
    message : str
        Explanation for a person.
    step : Step
        Step at which the failure arose.
    peer : str or None
        Address or name of the other side, where one is involved.
    field : str or None
        Name of the invalid field, where one is involved.
    execution : Execution
        Whether the caller's request may have been run.
    status : int
        HTTP status for the caller.
    """

    code: str
    message: str
    step: Step
    peer: str | None = None
    field: str | None = None
    execution: Execution = Execution.NOT_RUN
    status: int = 503

    def __str__(self) -> str:
        """Return the failure as one line of text."""
        peer = f' at {self.peer}' if self.peer else ''
        return f'{self.step.value}{peer}: {self.code}: {self.message}'

    def as_json(self) -> dict[str, Any]:
        """Return the error body sent to a caller."""
        return {
            'error': {
                'code': self.code,
                'message': self.message,
                'field': self.field,
                'step': self.step.value,
                'peer': self.peer,
                'execution': self.execution.value,
            },
        }
