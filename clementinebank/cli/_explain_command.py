"""The ``explain`` command."""

import argparse
import re
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from result import Err, Ok, Result

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
from clementinebank.cli._logged_requests import (
    LogLine,
    find_logged_requests,
    logged_request_text,
    read_log,
    request_not_logged,
)
from clementinebank.cli._search_command import missing_shard_text
from clementinebank.errors import Failure, Step

STATUS_NOT_FOUND = 404
STANDARD_INPUT = '-'
# Fields of a trace that are printed in this order if they have a value.
DETAIL_FIELDS = ('snapshot', 'coverage', 'error')
REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9_-]{1,64}')


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('request_id', help='id of the request')
    add_several_operators_option(parser, required=False)
    parser.add_argument(
        '--log',
        action='extend',
        nargs='+',
        metavar='FILE',
        help='logs of instances to read instead; - is standard input',
    )


@register_command(
    'explain',
    'print what became of a request, from its instances or their logs',
    'clementinebank explain req-17 --operators 127.0.0.1:9002 127.0.0.1:9012',
    _configure,
)
def explain(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Report what instances or their logs have recorded about a request."""
    if not REQUEST_ID_PATTERN.fullmatch(options.request_id):
        message = (
            f'request id {options.request_id!r} must be 1 to 64 characters '
            'from A-Z a-z 0-9 _ -'
        )
        return Err(
            Failure(
                'invalid_argument', message, Step.ACCEPT, field='request_id'
            )
        )
    if options.log:
        return _explain_from_logs(options.request_id, options.log)
    if not options.operators:
        message = 'one of --operators and --log is needed'
        return Err(
            Failure('invalid_argument', message, Step.ACCEPT, field='operators')
        )
    return _explain_from_instances(options)


def _explain_from_logs(
    request_id: str, names: list[str]
) -> Result[CommandOutput, Failure]:
    lines: list[LogLine] = []
    for name in names:
        try:
            lines.extend(_read_log_file(name))
        except (OSError, UnicodeDecodeError) as error:
            message = f'cannot read log {name}: {error}'
            return Err(
                Failure('invalid_argument', message, Step.READ, field='log')
            )
    logged_requests = find_logged_requests(request_id, lines)
    if not logged_requests:
        return Err(request_not_logged(request_id))
    text = '\n'.join(
        logged_request_text(logged_request)
        for logged_request in logged_requests
    )
    data = {
        'request_id': request_id,
        'stories': [
            attrs.asdict(logged_request) for logged_request in logged_requests
        ],
    }
    return Ok(CommandOutput(text, data, ExitStatus.DONE))


def _read_log_file(name: str) -> list[LogLine]:
    if name == STANDARD_INPUT:
        return list(read_log(name, sys.stdin))
    with Path(name).open(encoding='utf-8') as stream:
        return list(read_log(name, stream))


def _explain_from_instances(
    options: argparse.Namespace,
) -> Result[CommandOutput, Failure]:
    target = f'/v1/requests/{options.request_id}'
    traces: list[dict[str, Any]] = []
    unreachable: list[str] = []
    for address, reply in get_from_all(options, target).items():
        if isinstance(reply, Err):
            unreachable.append(f'{address}: {reply.err_value.message}')
        elif reply.ok_value.status != STATUS_NOT_FOUND:
            traces.extend(_traces_in(address, reply.ok_value, unreachable))
    status = _exit_status(traces, unreachable)
    data = {
        'request_id': options.request_id,
        'traces': traces,
        'unreachable': unreachable,
    }
    return Ok(CommandOutput(_traces_text(traces, unreachable), data, status))


def _traces_in(
    address: str, reply: Reply, unreachable: list[str]
) -> list[dict[str, Any]]:
    """Return the traces of a reply with the id of its instance.

    If the reply has no traces, its address is added to ``unreachable``.
    """
    try:
        return [
            {'instance_id': reply.data['instance_id'], **trace}
            for trace in reply.data['traces']
        ]
    except (KeyError, TypeError):
        unreachable.append(f'{address}: status {reply.status} without traces')
        return []


def _exit_status(
    traces: list[dict[str, Any]], unreachable: list[str]
) -> ExitStatus:
    if traces:
        return ExitStatus.DONE
    return ExitStatus.UNREACHABLE if unreachable else ExitStatus.REFUSED


def _traces_text(traces: list[dict[str, Any]], unreachable: list[str]) -> str:
    lines = []
    for trace in traces:
        lines.append(
            f'{trace["instance_id"]}: {trace["service"]} {trace["outcome"]} '
            f'with status {trace["status"]} after '
            f'{trace["elapsed_ms"]:.1f} ms'
        )
        lines.extend(_detail_lines(trace))
        lines.extend(f'  {_event_text(event)}' for event in trace['events'])
    if not traces:
        lines.append('no instance that answered knows this request')
    lines.extend(f'not asked: {each}' for each in unreachable)
    return '\n'.join(lines)


def _detail_lines(trace: dict[str, Any]) -> Iterator[str]:
    for name in DETAIL_FIELDS:
        detail = trace.get(name)
        if detail and name == 'coverage':
            yield f'  coverage: {_coverage_text(detail)}'
        elif detail:
            yield f'  {name}: {detail}'


def _coverage_text(coverage: dict[str, Any]) -> str:
    state = 'complete' if coverage['complete'] else 'PARTIAL'
    missing = ''.join(
        f'; missing {missing_shard_text(shard)}'
        for shard in coverage['missing']
    )
    return (
        f'{state}, {coverage["shards_answered"]} of '
        f'{coverage["shards_asked"]} shards, '
        f'{coverage["partitions_answered"]} of {coverage["partitions"]} '
        f'partitions{missing}'
    )


def _event_text(event: dict[str, Any]) -> str:
    offset_ms = event.get('offset_ms', 0)
    facts = event.get('facts') or {}
    details = ' '.join(f'{name}={fact}' for name, fact in facts.items())
    return f'{offset_ms:9.2f} ms  {event.get("event", "")}  {details}'
