"""Operators' listeners that a command asks."""

import argparse
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from clementinebank.cli._client import Reply, call
from clementinebank.errors import Execution, Failure, Step

DEFAULT_OPERATORS = '127.0.0.1:9002'
HTTP_OK = 200


def address(text: str) -> str:
    """Return a valid ``IP:PORT``, for argparse."""
    host, _, port = text.rpartition(':')
    is_valid = host and port.isascii() and port.isdecimal()
    if not is_valid or int(port) > 65_535:
        raise argparse.ArgumentTypeError(f'must be IP:PORT, got {text!r}')
    return text


def add_operators(parser: argparse.ArgumentParser, use: str) -> None:
    """Add ``--operators``, which may be repeated."""
    parser.add_argument(
        '--operators',
        action='append',
        type=address,
        metavar='IP:PORT',
        help=f'operators listener of an instance; {use} '
        f'(default {DEFAULT_OPERATORS})',
    )


def operators_of(options: argparse.Namespace) -> list[str]:
    """Return the addresses of the command line, each once."""
    return list(dict.fromkeys(options.operators or [DEFAULT_OPERATORS]))


def read_first(
    addresses: Iterable[str], target: str, fields: Iterable[str]
) -> Result[dict[str, Any], Failure]:
    """Read a target from the first instance that answers.

    Parameters
    ----------
    addresses : iterable of str
        Listeners, tried in turn.
    target : str
        HTTP target.
    fields : iterable of str
        Fields that the reply must have.
    """
    found: Result[dict[str, Any], Failure] = Err(
        Failure('invalid_argument', 'no address given', Step.ACCEPT)
    )
    for each in addresses:
        reply = call(each, 'GET', target)
        found = (
            reply
            if isinstance(reply, Err)
            else _body_of(reply.ok_value, fields)
        )
        if isinstance(found, Ok):
            return found
    return found


def _body_of(
    reply: Reply, fields: Iterable[str]
) -> Result[dict[str, Any], Failure]:
    body = reply.data
    is_complete = isinstance(body, dict) and all(
        field in body for field in fields
    )
    if reply.status == HTTP_OK and is_complete:
        return Ok(body)
    return Err(
        Failure(
            'invalid_reply',
            f'status {reply.status}: {reply.data}',
            Step.READ,
            execution=Execution.UNKNOWN,
        )
    )


def read_text(path: Path) -> Result[str, Failure]:
    """Read a document file and keep its line breaks."""
    try:
        return Ok(path.read_bytes().decode())
    except (OSError, UnicodeDecodeError) as error:
        message = f'cannot read {path}: {error}'
        return Err(Failure('invalid_argument', message, Step.ACCEPT))
