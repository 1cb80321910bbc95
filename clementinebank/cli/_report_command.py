"""The ``report burn`` command."""

import argparse
from functools import partial
from pathlib import Path

from result import Err, Ok, Result

from clementinebank.burn import (
    BurnReport,
    InstanceCounts,
    burn_data,
    burn_html,
    burn_report,
    burn_text,
    decode_instance_counts,
)
from clementinebank.cli._client import Reply
from clementinebank.cli._commands import (
    CommandOutput,
    ExitStatus,
    register_command,
)
from clementinebank.cli._instances import (
    add_several_operators_option,
    get_from_all,
)
from clementinebank.clock import wall_time
from clementinebank.errors import Failure, Step


def _configure(parser: argparse.ArgumentParser) -> None:
    add_several_operators_option(parser)
    parser.add_argument(
        '--html', type=Path, metavar='FILE', help='write an HTML page as well'
    )


@register_command(
    'report burn',
    'report how fast each service spends its error budgets',
    'clementinebank report burn --operators 127.0.0.1:9002 --html burn.html',
    _configure,
)
def burn(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Report the burn of error budgets from the counts of the instances."""
    records = []
    unreachable = []
    for address, reply in get_from_all(options, '/v1/burn').items():
        record = reply.and_then(partial(_decode_record, address))
        if isinstance(record, Err):
            unreachable.append(f'{address} ({record.err_value.message})')
        else:
            records.append(record.ok_value)
    if not records:
        return Err(
            Failure('instance_unreachable', '; '.join(unreachable), Step.READ)
        )
    report = burn_report(records, unreachable, wall_time())
    if options.html is not None:
        written = _write_page(options.html, report)
        if isinstance(written, Err):
            return written
    status = ExitStatus.UNREACHABLE if unreachable else ExitStatus.DONE
    return Ok(CommandOutput(burn_text(report), burn_data(report), status))


def _decode_record(
    address: str, reply: Reply
) -> Result[InstanceCounts, Failure]:
    record = decode_instance_counts(reply.data)
    return record.map_err(
        lambda problems: Failure(
            'invalid_reply',
            '; '.join(str(problem) for problem in problems[:3]),
            Step.READ,
            peer=address,
        )
    )


def _write_page(path: Path, report: BurnReport) -> Result[None, Failure]:
    try:
        path.write_text(burn_html(report))
    except OSError as error:
        return Err(
            Failure('invalid_argument', str(error), Step.READ, field='html')
        )
    return Ok(None)
