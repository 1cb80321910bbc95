"""Option and calls of commands that ask several instances at once."""

import argparse

import curio
from result import Result

from clementinebank.cli._client import Reply, call_each
from clementinebank.cli._operators import address, operators_of
from clementinebank.errors import Failure

READ_TIMEOUT_S = 5.0


def add_instances(
    parser: argparse.ArgumentParser, *, required: bool = True
) -> None:
    """Add the option ``--operators``, which takes one or more addresses."""
    parser.add_argument(
        '--operators',
        action='extend',
        nargs='+',
        required=required,
        type=address,
        metavar='ADDR',
        help='operators listeners of the instances to ask',
    )


def read_each(
    options: argparse.Namespace, target: str
) -> dict[str, Result[Reply, Failure]]:
    """Return the reply of each instance given by ``--operators``, by address.

    The instances are asked at the same time.
    """
    return curio.run(call_each, operators_of(options), target, READ_TIMEOUT_S)
