"""The ``report burn`` command."""

import argparse
from pathlib import Path

from result import Err, Ok, Result

from clementinebank.cli._client import call
from clementinebank.cli._commands import ExitStatus, Report, command
from clementinebank.clock import wall_time
from clementinebank.errors import Failure, Step
from clementinebank.metrics import (
    BurnReport,
    InstanceRecord,
    burn_data,
    burn_html,
    burn_report,
    burn_text,
    decode_instance_record,
)


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--operators',
        nargs='+',
        required=True,
        metavar='ADDR',
        help='operators listeners of all live instances',
    )
    parser.add_argument(
        '--html', type=Path, metavar='FILE', help='write an HTML page as well'
    )


@command(
    'report burn',
    'report how fast each service spends its error budgets',
    'clementinebank report burn --operators 127.0.0.1:9002 --html burn.html',
    _configure,
)
def burn(options: argparse.Namespace) -> Result[Report, Failure]:
    """Collect the records of the instances and report on them."""
    records = []
    unreachable = []
    for address in options.operators:
        record = _fetch(address)
        if isinstance(record, Err):
            unreachable.append(f'{address} ({record.err_value.message})')
        else:
            records.append(record.ok_value)
    if not records:
        return Err(
            Failure(
                'no_instance', '; '.join(unreachable), Step.READ, status=503
            )
        )
    report = burn_report(records, unreachable, wall_time())
    if options.html is not None:
        written = _write(options.html, report)
        if isinstance(written, Err):
            return written
    status = ExitStatus.UNREACHABLE if unreachable else ExitStatus.DONE
    return Ok(Report(burn_text(report), burn_data(report), status))


def _fetch(address: str) -> Result[InstanceRecord, Failure]:
    reply = call(address, 'GET', '/v1/burn')
    if isinstance(reply, Err):
        return reply
    record = decode_instance_record(reply.ok_value.data)
    return record.map_err(
        lambda problems: Failure(
            'invalid_reply',
            '; '.join(str(problem) for problem in problems[:3]),
            Step.READ,
            peer=address,
        )
    )


def _write(path: Path, report: BurnReport) -> Result[None, Failure]:
    try:
        path.write_text(burn_html(report))
    except OSError as error:
        return Err(
            Failure('cannot_write', str(error), Step.RESPOND, field='--html')
        )
    return Ok(None)
