"""The ``book`` and ``bookings`` commands."""

import argparse
import getpass
import json
from typing import Any

from result import Ok, Result

from clementinebank.booking import KEY_HEADER, new_key
from clementinebank.cli._client import Reply, call
from clementinebank.cli._commands import (
    CommandOutput,
    ExitStatus,
    register_command,
)
from clementinebank.clock import wall_time
from clementinebank.errors import Failure

STATUS_OK = 200
STATUS_CONFLICT = 409


def _configure_book(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('service', help='name of a booking service')
    parser.add_argument('body', help='JSON object')
    parser.add_argument(
        '--key', help='idempotency key, a UUIDv7; a new one by default'
    )
    parser.add_argument('--deadline-ms', type=int)
    parser.add_argument(
        '--callers',
        default='127.0.0.1:9000',
        help='callers listener of an instance',
    )


@register_command(
    'book',
    'send one booking and print its outcome',
    'clementinebank book claim-counter \'{"rug": "R-17"}\'',
    _configure_book,
)
def book(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Send one booking and report its outcome."""
    try:
        body = json.loads(options.body)
    except ValueError as error:
        text = f'body: invalid JSON: {error}'
        return Ok(CommandOutput(text, {'problems': [text]}, ExitStatus.USAGE))
    key = options.key or new_key(wall_time())
    headers = {KEY_HEADER.lower(): key}
    if options.deadline_ms:
        headers['deadline-ms'] = str(options.deadline_ms)
    reply = call(
        options.callers,
        'POST',
        f'/v1/services/{options.service}/requests',
        body,
        headers=headers,
    )
    return reply.map(lambda received: _book_output(key, received))


def _book_output(key: str, reply: Reply) -> CommandOutput:
    if 'error' in reply.data:
        execution = reply.data['error']['execution']
        status = (
            ExitStatus.UNKNOWN if execution == 'unknown' else ExitStatus.REFUSED
        )
        text = f'key {key}: {_error_text(reply.data)}'
        return CommandOutput(text, reply.data, status)
    source = 'recorded earlier' if reply.data['repeated'] else 'ran now'
    recorded = '' if reply.data['recorded'] else ', NOT RECORDED'
    outcome = json.dumps(reply.data['outcome'])
    text = f'key {key}: {source}{recorded}: {outcome}'
    return CommandOutput(text, reply.data)


def _configure_operators(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--operators',
        default='127.0.0.1:9002',
        help='operators listener of an instance',
    )


def _configure_list(parser: argparse.ArgumentParser) -> None:
    _configure_operators(parser)
    parser.add_argument('--service', help='only this service')
    parser.add_argument(
        '--all', action='store_true', help='list resolved claims as well'
    )


@register_command(
    'bookings list',
    'list unresolved bookings',
    'clementinebank bookings list --operators 127.0.0.1:9002',
    _configure_list,
)
def list_bookings(
    options: argparse.Namespace,
) -> Result[CommandOutput, Failure]:
    """List the unresolved claims, or with ``--all`` every claim."""
    parameters = ['all=1'] if options.all else []
    if options.service:
        parameters.append(f'service={options.service}')
    query = '&'.join(parameters)
    reply = call(options.operators, 'GET', f'/v1/bookings?{query}')
    return reply.map(_list_output)


def _list_output(reply: Reply) -> CommandOutput:
    if reply.status != STATUS_OK:
        return _refusal_output(reply)
    bookings = reply.data['bookings']
    lines = [
        f'{booking["service"]}  {booking["key"]}  {booking["state"]}  '
        f'{booking["age_s"]:.0f} s  {booking["instance_id"]}'
        for booking in bookings
    ]
    lines.extend(f'UNREADABLE {key}' for key in reply.data['unreadable'])
    unresolved = sum(booking['state'] == 'claimed' for booking in bookings)
    whole = '' if reply.data['whole'] else ', LIST IS NOT WHOLE'
    lines.append(f'{unresolved} unresolved{whole}')
    return CommandOutput('\n'.join(lines), reply.data)


def _configure_show(parser: argparse.ArgumentParser) -> None:
    _configure_operators(parser)
    parser.add_argument('service', help='name of a booking service')
    parser.add_argument('key', help='idempotency key')


@register_command(
    'bookings show',
    'show one booking with its history',
    'clementinebank bookings show claim-counter '
    '01890a5d-ac96-774b-bcce-b302099a8057',
    _configure_show,
)
def show(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Show one claim with its history."""
    target = f'/v1/bookings/{options.service}/{options.key}'
    return call(options.operators, 'GET', target).map(_claim_output)


def _configure_settle(parser: argparse.ArgumentParser) -> None:
    _configure_show(parser)
    parser.add_argument(
        '--as', dest='resolution', required=True, choices=('ran', 'not_run')
    )
    parser.add_argument(
        '--why',
        required=True,
        help='reason, stored in the history of the booking',
    )
    parser.add_argument(
        '--who', help='who resolves the booking; default: the current user'
    )


@register_command(
    'bookings settle',
    'resolve one unresolved booking after a check at its leaf',
    'clementinebank bookings settle claim-counter '
    '01890a5d-ac96-774b-bcce-b302099a8057 --as ran --why "seen in the ledger"',
    _configure_settle,
)
def settle(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Resolve one claim as run or not run, with the reason of the operator."""
    reply = call(
        options.operators,
        'POST',
        f'/v1/bookings/{options.service}/{options.key}/settle',
        {
            'resolution': options.resolution,
            'who': options.who or getpass.getuser(),
            'why': options.why,
        },
    )
    return reply.map(_claim_output)


def _claim_output(reply: Reply) -> CommandOutput:
    if reply.status != STATUS_OK:
        return _refusal_output(reply)
    claim = reply.data
    lines = [
        f'{claim["service"]} {claim["key"]}: {claim["state"]}',
        f'claimed {claim["age_s"]:.0f} s ago by {claim["instance_id"]}, '
        f'attempt {claim["attempt_id"]}',
    ]
    if claim['outcome']:
        lines.append(f'outcome: {json.dumps(claim["outcome"])}')
    if claim['resolution']:
        lines.append(f'resolution: {claim["resolution"]}')
    lines.extend(
        f'{each["at"]:.3f} {each["who"]}: {each["event"]} {each["why"]}'.strip()
        for each in claim['history']
    )
    return CommandOutput('\n'.join(lines), claim)


def _refusal_output(reply: Reply) -> CommandOutput:
    error = reply.data['error']
    is_conflict = reply.status == STATUS_CONFLICT
    if error['execution'] == 'unknown':
        status = ExitStatus.UNKNOWN
    else:
        status = ExitStatus.CONFLICT if is_conflict else ExitStatus.REFUSED
    return CommandOutput(_error_text(reply.data), reply.data, status)


def _error_text(data: Any) -> str:
    error = data['error']
    field = f' ({error["field"]})' if error['field'] else ''
    return f'{error["code"]}{field}: {error["message"]} [{error["execution"]}]'
