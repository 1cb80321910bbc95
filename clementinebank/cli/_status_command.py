"""The ``status`` command."""

import argparse
from collections.abc import Iterator
from typing import Any

import curio
from result import Err, Ok, Result

from clementinebank.cli._client import Reply, get_from_each
from clementinebank.cli._commands import (
    CommandOutput,
    ExitStatus,
    register_command,
)
from clementinebank.cli._operators import (
    add_operators_option,
    operator_addresses,
)
from clementinebank.errors import Failure

STATUS_TIMEOUT_S = 3.0
STATUS_TARGET = '/v1/status'


def _configure(parser: argparse.ArgumentParser) -> None:
    add_operators_option(parser, 'repeat it to ask several instances')


@register_command(
    'status',
    'show the state and the revision of instances',
    'clementinebank status --operators 127.0.0.1:9002',
    _configure,
)
def status(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Report the state of every instance given by ``--operators``."""
    replies = curio.run(
        get_from_each,
        operator_addresses(options),
        STATUS_TARGET,
        STATUS_TIMEOUT_S,
    )
    lines = [_status_text(address, reply) for address, reply in replies.items()]
    instances = [
        _status_entry(address, reply) for address, reply in replies.items()
    ]
    revisions = {
        entry['revision'] for entry in instances if entry.get('revision')
    }
    if len(revisions) > 1:
        revisions_text = ', '.join(
            str(revision) for revision in sorted(revisions)
        )
        lines.append(f'instances differ in their revision: {revisions_text}')
    unanswered = sum(isinstance(reply, Err) for reply in replies.values())
    if unanswered:
        lines.append(f'{unanswered} of {len(replies)} instances did not answer')
    return Ok(
        CommandOutput(
            '\n'.join(lines),
            {'instances': instances},
            ExitStatus.UNREACHABLE if unanswered else ExitStatus.DONE,
        )
    )


def revision_of(reply: Result[Reply, Failure]) -> int | None:
    """Return the revision in force on an instance from its status reply.

    This is ``None`` after a failed call or if the reply states no revision.
    """
    if isinstance(reply, Err) or not isinstance(reply.ok_value.data, dict):
        return None
    revision = reply.ok_value.data.get('revision')
    return revision if isinstance(revision, int) else None


def _status_entry(
    address: str, reply: Result[Reply, Failure]
) -> dict[str, Any]:
    if isinstance(reply, Err):
        return {'address': address, **reply.err_value.as_json()}
    body = reply.ok_value.data
    return {'address': address, **(body if isinstance(body, dict) else {})}


def _status_text(address: str, reply: Result[Reply, Failure]) -> str:
    if isinstance(reply, Err):
        return f'{address}: {reply.err_value}'
    entry = _status_entry(address, reply)
    ready = 'ready' if entry.get('ready') else 'NOT READY'
    lines = [
        f'{address}: {entry.get("instance_id")} in '
        f'{entry.get("data_centre")}, {ready}, {entry.get("phase")}, '
        f'revision {entry.get("revision", "unknown")}, '
        f'{_currency_text(entry)}',
        f'  services: {", ".join(entry.get("services") or ["none"])}',
    ]
    lines.extend(_member_lines(entry))
    if entry.get('alarm'):
        lines.append(f'  ALARM: {entry["alarm"]}')
    return '\n'.join(lines)


def _currency_text(entry: dict[str, Any]) -> str:
    currency = entry.get('currency') or {}
    age_s = currency.get('head_age_s')
    head_text = 'head not read' if age_s is None else f'head read {age_s} s ago'
    return f'{currency.get("state", "currency unknown")} ({head_text})'


def _member_lines(entry: dict[str, Any]) -> Iterator[str]:
    for instance_id, member in (entry.get('members') or {}).items():
        heard = 'heard' if member['heard'] else 'NOT HEARD'
        yield (
            f'  member {instance_id} in {member["data_centre"]}: '
            f'{member["state"]}, {heard}, revision {member["revision"]}'
        )
