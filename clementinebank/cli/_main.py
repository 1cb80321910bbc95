"""Entry point of the operators' tool."""

import argparse
import json
import sys
from typing import Any

from result import Err

from clementinebank.cli import (
    _apply_command,
    _booking_commands,
    _document_commands,
    _explain_command,
    _report_command,
    _search_command,
    _status_command,
)
from clementinebank.cli._advice import advice_for
from clementinebank.cli._commands import COMMANDS, Command, exit_status_of
from clementinebank.errors import Failure

# Importing these modules registers their commands.
COMMAND_MODULES = (
    _apply_command,
    _booking_commands,
    _document_commands,
    _explain_command,
    _report_command,
    _search_command,
    _status_command,
)

EXIT_STATUS_HELP = (
    '0 done, 1 refused or invalid, 2 usage, 3 conflict, 4 unknown outcome or '
    'not confirmed by every instance, 5 unreachable'
)


def main(arguments: list[str] | None = None) -> int:
    """Run one command of the tool and print its output.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        Exit status, see ``ExitStatus``.
    """
    options = _build_parser().parse_args(arguments)
    outcome = options.command.run(options)
    if isinstance(outcome, Err):
        return _print_failure(outcome.err_value, options.format)
    report = outcome.ok_value
    if options.format == 'json':
        sys.stdout.write(f'{json.dumps(report.data, indent=2)}\n')
    else:
        sys.stdout.write(f'{report.text}\n')
    return int(report.status)


def _print_failure(failure: Failure, output_format: str) -> int:
    next_step = advice_for(failure.code)
    if output_format == 'json':
        body = {**failure.as_json(), 'next': next_step}
        sys.stdout.write(f'{json.dumps(body, indent=2)}\n')
    else:
        sys.stderr.write(f'error: {failure}\nnext: {next_step}\n')
    return int(exit_status_of(failure))


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='clementinebank', description='Operate the query tier.'
    )
    subparsers = parser.add_subparsers(required=True, metavar='COMMAND')
    subparsers_by_group: dict[str, Any] = {}
    for command in COMMANDS.values():
        group_name, _, subcommand = command.name.partition(' ')
        if subcommand and group_name not in subparsers_by_group:
            group_parser = subparsers.add_parser(
                group_name, help=f'{group_name} commands'
            )
            subparsers_by_group[group_name] = group_parser.add_subparsers(
                required=True, metavar='COMMAND'
            )
        _add_command(
            subparsers_by_group[group_name] if subcommand else subparsers,
            command,
        )
    return parser


def _add_command(subparsers: Any, command: Command) -> None:
    parser = subparsers.add_parser(
        command.name.rpartition(' ')[2],
        help=command.summary,
        description=command.summary,
        epilog=f'example: {command.example}; exit status: {EXIT_STATUS_HELP}',
    )
    parser.add_argument('--format', choices=('text', 'json'), default='text')
    command.add_arguments(parser)
    parser.set_defaults(command=command)
