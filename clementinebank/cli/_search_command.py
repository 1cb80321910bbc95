"""The ``search`` command."""

import argparse
from typing import Any

from result import Ok, Result

from clementinebank.cli._client import Reply, call
from clementinebank.cli._commands import (
    CommandOutput,
    ExitStatus,
    register_command,
)
from clementinebank.errors import Failure


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('service', help='name of a search service')
    parser.add_argument('query', help='query text')
    parser.add_argument('--limit', type=int, default=10)
    parser.add_argument('--deadline-ms', type=int)
    parser.add_argument(
        '--callers',
        default='127.0.0.1:9000',
        help='callers listener of an instance',
    )


@register_command(
    'search',
    'run one search and print its records and coverage',
    'clementinebank search pickup-desk silk --callers 127.0.0.1:9000',
    _configure,
)
def search(options: argparse.Namespace) -> Result[CommandOutput, Failure]:
    """Run one search; report its records and which shards are missing."""
    headers = {}
    if options.deadline_ms:
        headers['deadline-ms'] = str(options.deadline_ms)
    reply = call(
        options.callers,
        'POST',
        f'/v1/services/{options.service}/search',
        {'query': options.query, 'limit': options.limit},
        headers=headers,
    )
    return reply.and_then(lambda received: Ok(_search_output(received)))


def _search_output(reply: Reply) -> CommandOutput:
    if reply.status != 200:
        return CommandOutput(
            _error_text(reply.data), reply.data, ExitStatus.REFUSED
        )
    coverage = reply.data['coverage']
    lines = [
        f'{record["score"]:8.3f}  {record["record_id"]}  '
        f'{record["yard"]}  {record["fields"]}'
        for record in reply.data['records']
    ]
    state = 'complete' if coverage['complete'] else 'PARTIAL'
    lines.append(
        f'snapshot {reply.data["snapshot"]}: {state}, '
        f'{coverage["shards_answered"]} of {coverage["shards_asked"]} shards, '
        f'{coverage["partitions_answered"]} of {coverage["partitions"]} '
        f'partitions, revision {reply.data["configuration"]["revision"]}'
    )
    lines.extend(
        f'missing: {missing_shard_text(shard)}' for shard in coverage['missing']
    )
    return CommandOutput('\n'.join(lines), reply.data)


def missing_shard_text(shard: dict[str, Any]) -> str:
    """Return which shard or partitions are missing from a search, and why."""
    if shard['group'] is None:
        count = len(shard['partitions'])
        return f'{count} partitions of unknown groups: {shard["reason"]}'
    return f'{shard["group"]} of {shard["yard"]}: {shard["reason"]}'


def _error_text(data: Any) -> str:
    error = data['error']
    field = f' ({error["field"]})' if error['field'] else ''
    return f'{error["code"]}{field}: {error["message"]} [{error["execution"]}]'
