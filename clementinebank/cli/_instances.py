"""Option and calls of commands that ask several instances at once."""

import argparse

import curio
from result import Result

from clementinebank.cli._client import Reply, get_from_each
from clementinebank.cli._operators import operator_addresses, parse_address
from clementinebank.errors import Failure

READ_TIMEOUT_S = 5.0


def add_several_operators_option(
    parser: argparse.ArgumentParser, *, required: bool = True
) -> None:
    """Add the option ``--operators``, which takes one or more addresses."""
    parser.add_argument(
        '--operators',
        action='extend',
        nargs='+',
        required=required,
        type=parse_address,
        metavar='ADDR',
        help='operators listeners of the instances to ask',
    )


def get_from_all(
    options: argparse.Namespace, target: str
) -> dict[str, Result[Reply, Failure]]:
    """Return the reply of each instance given by ``--operators``, by address.

    The instances are asked at the same time.
    """
    return curio.run(
        get_from_each, operator_addresses(options), target, READ_TIMEOUT_S
    )
