"""Registry of the commands of the operators' tool and their results."""

import argparse
import enum
from collections.abc import Callable
from typing import Any

import attrs
from result import Result

from clementinebank.errors import Failure


class ExitStatus(enum.IntEnum):
    """Exit status of the tool.

    ``REFUSED`` and ``CONFLICT`` state that nothing was changed. ``UNKNOWN``
    states that the outcome is not known, or that an accepted change is not
    confirmed by every instance.
    """

    DONE = 0
    REFUSED = 1
    USAGE = 2
    CONFLICT = 3
    UNKNOWN = 4
    UNREACHABLE = 5


EXIT_STATUS_BY_ERROR_CODE = {
    'invalid_address': ExitStatus.USAGE,
    'invalid_argument': ExitStatus.USAGE,
    'instance_unreachable': ExitStatus.UNREACHABLE,
    'invalid_reply': ExitStatus.UNKNOWN,
}


@attrs.frozen
class CommandOutput:
    """Output and exit status of a command.

    Parameters
    ----------
    text : str
        Output for a person, printed by default.
    data : object
        Output for ``--format json``.
    status : ExitStatus
        Exit status of the tool.
    """

    text: str
    data: Any
    status: ExitStatus = ExitStatus.DONE


def exit_status_of(failure: Failure) -> ExitStatus:
    """Return the exit status of a command that failed."""
    return EXIT_STATUS_BY_ERROR_CODE.get(failure.code, ExitStatus.REFUSED)


CommandFunction = Callable[[argparse.Namespace], Result[CommandOutput, Failure]]
AddArguments = Callable[[argparse.ArgumentParser], None]


@attrs.frozen
class Command:
    """One command of the tool.

    Parameters
    ----------
    name : str
        Words of the command, for example ``document apply``.
    summary : str
        One line of help.
    example : str
        A full command line.
    add_arguments : callable
        Adds the arguments to a parser.
    run : callable
        Runs the command on parsed arguments.
    """

    name: str
    summary: str
    example: str
    add_arguments: AddArguments
    run: CommandFunction


COMMANDS: dict[str, Command] = {}


def register_command(
    name: str, summary: str, example: str, add_arguments: AddArguments
) -> Callable[[CommandFunction], CommandFunction]:
    """Return a decorator that registers a function as a command.

    The decorator raises ``ValueError`` if the name is already registered.
    """

    def register(run: CommandFunction) -> CommandFunction:
        if name in COMMANDS:
            raise ValueError(f'command {name} is registered twice')
        COMMANDS[name] = Command(name, summary, example, add_arguments, run)
        return run

    return register
