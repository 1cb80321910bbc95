"""Decoding of what single entries hold."""

from collections.abc import Callable
from typing import TypeVar

from eliot import write_traceback
from result import Err, Result

from clementinebank.errors import FieldProblem
from clementinebank.relay._model import Entry

Decoded = TypeVar('Decoded')


def decode_content(
    entry: Entry,
    decode: Callable[[Entry], Result[Decoded, list[FieldProblem]]],
) -> Result[Decoded, list[FieldProblem]]:
    """Return what an entry holds, or its problems.

    An exception of the decoder is a problem of this entry alone: it must not
    keep the other entries from being read.

    Parameters
    ----------
    entry : Entry
        Entry that exists.
    decode : callable
        Returns what the entry holds, or its problems.
    """
    try:
        return decode(entry)
    except Exception as error:
        write_traceback()
        name = type(error).__name__
        return Err([FieldProblem('$', f'decoding it ended with {name}')])
