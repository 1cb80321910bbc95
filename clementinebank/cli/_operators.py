"""The option ``--operators`` and reads from the listeners it names."""

import argparse
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from clementinebank.cli._client import Reply, call
from clementinebank.errors import Execution, Failure, Step

DEFAULT_OPERATORS = '127.0.0.1:9002'
STATUS_OK = 200


def parse_address(text: str) -> str:
    """Return the text if it has the form ``IP:PORT``; a type for argparse."""
    host, _, port = text.rpartition(':')
    is_valid = host and port.isascii() and port.isdecimal()
    if not is_valid or int(port) > 65_535:
        raise argparse.ArgumentTypeError(f'must be IP:PORT, got {text!r}')
    return text


def add_operators_option(
    parser: argparse.ArgumentParser, use_help: str
) -> None:
    """Add the option ``--operators``, which may be repeated.

    Parameters
    ----------
    parser : argparse.ArgumentParser
        Parser of the command.
    use_help : str
        How the command uses several addresses, for the help text.
    """
    parser.add_argument(
        '--operators',
        action='append',
        type=parse_address,
        metavar='IP:PORT',
        help=f'operators listener of an instance; {use_help} '
        f'(default {DEFAULT_OPERATORS})',
    )


def operator_addresses(options: argparse.Namespace) -> list[str]:
    """Return the addresses given by ``--operators`` without duplicates.

    Without the option this is the default address.
    """
    return list(dict.fromkeys(options.operators or [DEFAULT_OPERATORS]))


def get_from_first(
    addresses: Iterable[str], target: str, fields: Iterable[str]
) -> Result[dict[str, Any], Failure]:
    """Read a target from the first instance that replies as expected.

    Parameters
    ----------
    addresses : iterable of str
        Addresses of operators listeners, tried in turn.
    target : str
        HTTP target.
    fields : iterable of str
        Fields that the body of the reply must have.

    Returns
    -------
    Result[dict[str, Any], Failure]
        Body of the first reply with status 200 and all fields, or the
        failure of the last address.
    """
    outcome: Result[dict[str, Any], Failure] = Err(
        Failure('invalid_argument', 'no operators listener given', Step.ACCEPT)
    )
    for listener in addresses:
        reply = call(listener, 'GET', target)
        outcome = (
            reply
            if isinstance(reply, Err)
            else _checked_body(reply.ok_value, fields)
        )
        if isinstance(outcome, Ok):
            return outcome
    return outcome


def _checked_body(
    reply: Reply, fields: Iterable[str]
) -> Result[dict[str, Any], Failure]:
    """Return the body if the status is 200 and it has all fields."""
    body = reply.data
    is_complete = isinstance(body, dict) and all(
        field in body for field in fields
    )
    if reply.status == STATUS_OK and is_complete:
        return Ok(body)
    return Err(
        Failure(
            'invalid_reply',
            f'unexpected reply with status {reply.status}: {reply.data}',
            Step.READ,
            execution=Execution.UNKNOWN,
        )
    )


def read_document_text(path: Path) -> Result[str, Failure]:
    """Return the text of a document file with its line breaks unchanged."""
    try:
        return Ok(path.read_bytes().decode())
    except (OSError, UnicodeDecodeError) as error:
        message = f'cannot read {path}: {error}'
        return Err(Failure('invalid_argument', message, Step.ACCEPT))
