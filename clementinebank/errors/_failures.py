"""Failures with the step and the peer at which they occurred."""

import enum
from typing import Any

import attrs


class Execution(enum.Enum):
    """Whether an upstream has run the request of a caller."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Step(enum.Enum):
    """Step of a request or a change at which a failure occurred."""

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
    """One invalid field of an untrusted input, such as a document.

    Parameters
    ----------
    field : str
        Dotted path of the field.
    message : str
        What is wrong with the field, with the value received.
    line : int or None
        One-based line in the source text, if known.
    section : str or None
        Section of the operators' document that contains the field.
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
    """Failure of one step, raised or returned as the error of a ``Result``.

    Parameters
    ----------
    code : str
        Stable machine-readable code.
    message : str
        Explanation for people.
    step : Step
        Step at which the failure occurred.
    peer : str or None
        Address or name of the process on the other side, if one is involved.
    field : str or None
        Name of the invalid field, if there is one.
    execution : Execution
        Whether an upstream has run the request of the caller.
    status : int
        HTTP status of the response to the caller.
    retry_after_s : float or None
        Seconds after which the caller may try again, ``None`` if the state of
        the upstreams doesn't tell.
    """

    code: str
    message: str
    step: Step
    peer: str | None = None
    field: str | None = None
    execution: Execution = Execution.NOT_RUN
    status: int = 503
    retry_after_s: float | None = None

    def __str__(self) -> str:
        """Return the failure as one line of text."""
        peer = f' at {self.peer}' if self.peer else ''
        return f'{self.step.value}{peer}: {self.code}: {self.message}'

    def as_json(self) -> dict[str, Any]:
        """Return the JSON error body of the response to a caller."""
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
