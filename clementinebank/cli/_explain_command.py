"""The ``explain`` command."""

import argparse
import re
from collections.abc import Iterator
from typing import Any

from result import Err, Ok, Result

from clementinebank.cli._client import Reply
from clementinebank.cli._commands import ExitStatus, Report, command
from clementinebank.cli._instances import add_instances, read_each
from clementinebank.cli._search_command import missing_text
from clementinebank.errors import Failure, Step

NOT_FOUND = 404
DETAILS = ('snapshot', 'coverage', 'error')
REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9_-]{1,64}')


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('request_id', help='id of the request')
    add_instances(parser)


@command(
    'explain',
    'print what became of a request, from the instances that handled it',
    'clementinebank explain req-17 --operators 127.0.0.1:9002 127.0.0.1:9012',
    _configure,
)
def explain(options: argparse.Namespace) -> Result[Report, Failure]:
    """Ask each instance for the traces of a request id."""
    if not REQUEST_ID_PATTERN.fullmatch(options.request_id):
        message = 'must be 1 to 64 of A-Z a-z 0-9 _ -'
        return Err(
            Failure(
                'invalid_argument', message, Step.ACCEPT, field='request_id'
            )
        )
    target = f'/v1/requests/{options.request_id}'
    found: list[dict[str, Any]] = []
    unreachable: list[str] = []
    for address, reply in read_each(options, target).items():
        if isinstance(reply, Err):
            unreachable.append(f'{address}: {reply.err_value.message}')
        elif reply.ok_value.status != NOT_FOUND:
            found.extend(_traces(address, reply.ok_value, unreachable))
    status = _status(found, unreachable)
    data = {
        'request_id': options.request_id,
        'traces': found,
        'unreachable': unreachable,
    }
    return Ok(Report(_text(found, unreachable), data, status))


def _traces(
    address: str, reply: Reply, unreachable: list[str]
) -> list[dict[str, Any]]:
    try:
        return [
            {'instance_id': reply.data['instance_id'], **trace}
            for trace in reply.data['traces']
        ]
    except (KeyError, TypeError):
        unreachable.append(f'{address}: status {reply.status} without traces')
        return []


def _status(found: list[dict[str, Any]], unreachable: list[str]) -> ExitStatus:
    if found:
        return ExitStatus.DONE
    return ExitStatus.UNREACHABLE if unreachable else ExitStatus.REFUSED


def _text(found: list[dict[str, Any]], unreachable: list[str]) -> str:
    lines = []
    for trace in found:
        lines.append(
            f'{trace["instance_id"]}: {trace["service"]} {trace["outcome"]} '
            f'with status {trace["status"]} after '
            f'{trace["elapsed_ms"]:.1f} ms'
        )
        lines.extend(_detail_lines(trace))
        lines.extend(f'  {_event_text(event)}' for event in trace['events'])
    if not found:
        lines.append('no instance that answered knows this request')
    lines.extend(f'not asked: {each}' for each in unreachable)
    return '\n'.join(lines)


def _detail_lines(trace: dict[str, Any]) -> Iterator[str]:
    for name in DETAILS:
        detail = trace.get(name)
        if detail and name == 'coverage':
            yield f'  coverage: {_coverage_text(detail)}'
        elif detail:
            yield f'  {name}: {detail}'


def _coverage_text(coverage: dict[str, Any]) -> str:
    state = 'complete' if coverage['complete'] else 'PARTIAL'
    missing = ''.join(
        f'; missing {missing_text(shard)}' for shard in coverage['missing']
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
