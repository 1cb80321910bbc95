"""Registry of the commands of the operators' tool."""

import argparse
import enum
from collections.abc import Callable
from typing import Any

import attrs
from result import Result

from clementinebank.errors import Failure


class ExitStatus(enum.IntEnum):
    """Exit status of the tool."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5


@attrs.frozen
class Report:
    """What a command prints.

    Parameters
    ----------
    text : str
        For a person.
    data : object
        For ``--format json``.
    status : ExitStatus
        Exit status of the tool.
    """

    text: str
    data: Any
    status: ExitStatus = ExitStatus.DONE


Run = Callable[[argparse.Namespace], Result[Report, Failure]]
Configure = Callable[[argparse.ArgumentParser], None]


@attrs.frozen
class Command:
    """One command.

    Parameters
    ----------
    name : str
        Words of the command, for example ``document apply``.
    summary : str
        One line of help.
    example : str
        A full command line.
    configure : callable
        Adds the arguments to a parser.
    run : callable
        Runs the command on parsed arguments.
    """

    name: str
    summary: str
    example: str
    configure: Configure
    run: Run


COMMANDS: dict[str, Command] = {}


def command(
    name: str, summary: str, example: str, configure: Configure
) -> Callable[[Run], Run]:
    """Register a function as a command."""

    def register(run: Run) -> Run:
        if name in COMMANDS:
            raise ValueError(f'command {name} is registered twice')
        COMMANDS[name] = Command(name, summary, example, configure, run)
        return run

    return register
