"""Stand-in for one or more leafs of one service."""

import argparse
import json
from collections import Counter
from pathlib import Path
from typing import Any

import attrs
import curio

from clementinebank.clock import run_service, wall_time
from clementinebank.document import (
    GroupSettings,
    LeafEndpoint,
    ServiceSettings,
    parse_document,
    parse_file,
)
from clementinebank.http import HttpRequest, HttpResponse, json_response
from standins._control import pause, serve_with_control

PARTITIONS_PER_GROUP = 2
RECORDS_PER_PARTITION = 5
# What follows it in a query names the request and selects no records.
QUERY_SEPARATOR = '#'
GOODS = ('silk', 'wool', 'cotton', 'cedar', 'teak')


@attrs.define
class LeafFaults:
    """Behaviour that a test can set.

    Parameters
    ----------
    delay_ms : float
        Delay of every search and execution.
    state : str
        Reported state: ``serving``, ``draining`` or ``cold``.
    load : float
        Reported load.
    shed : bool
        Refuse work with 429.
    reply : str
        ``good``, ``malformed``, ``crossed`` (id of no request),
        ``previous`` (id and body of the search before),
        ``previous_body`` (only the body) or ``wrong_snapshot``.
    sequences : list of int
        Snapshots served, by sequence number.
    execute_reply : str
        ``good``, or ``cut`` to close the connection after an execution.
    execute_reply_delay_ms : float
        Delay between an execution and its reply.
    refuse_executions : bool
        Refuse executions with 429 without running them.
    dead : bool
        Close every connection without an answer.
    partitions_per_group : dict of str to int
        Partitions of each group by sequence number (as text, since the names
        of a JSON object are text), where they differ from the default.
    """

    delay_ms: float = 1
    state: str = 'serving'
    load: float = 0
    shed: bool = False
    reply: str = 'good'
    sequences: list[int] = attrs.Factory(lambda: [1])
    execute_reply: str = 'good'
    execute_reply_delay_ms: float = 0
    refuse_executions: bool = False
    dead: bool = False
    partitions_per_group: dict[str, int] = attrs.Factory(dict)


@attrs.define(eq=False)
class Leaf:
    """One leaf with generated records.

    Parameters
    ----------
    service : ServiceSettings
        Service of the leaf.
    group : GroupSettings
        Group of the leaf.
    leaf : LeafEndpoint
        The leaf itself.
    """

    service: ServiceSettings
    group: GroupSettings
    leaf: LeafEndpoint
    faults: LeafFaults = attrs.Factory(LeafFaults)
    executions_by_key: Counter[str] = attrs.Factory(Counter)
    cancelled: set[str] = attrs.Factory(set)
    in_flight: int = 0
    previous: HttpResponse | None = None
    searched: set[str] = attrs.Factory(set)
    drain_signalled_at: float | None = None
    drain_arrivals: list[dict[str, Any]] = attrs.Factory(list)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one call, echoing its id."""
        response = await self._route(request)
        request_id = request.headers.get('request-id', '')
        if self.faults.reply == 'crossed' and request.method == 'POST':
            request_id = 'another-request'
        response = attrs.evolve(
            response, headers={**response.headers, 'request-id': request_id}
        )
        if request.path != '/v1/search':
            return response
        previous = self.previous
        self.previous = response
        if previous is None:
            return response
        if self.faults.reply == 'previous':
            return previous
        if self.faults.reply == 'previous_body':
            return attrs.evolve(response, body=previous.body)
        return response

    async def _route(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/observed':
            return json_response(200, self._observed())
        if self.faults.dead:
            raise ConnectionResetError('cut by an injected fault')
        if request.path == '/executions':
            return json_response(200, dict(self.executions_by_key))
        if request.method == 'DELETE':
            self.cancelled.add(request.path.rpartition('/')[2])
            return json_response(202, {})
        if request.path == '/v1/status':
            return json_response(200, self._status())
        return await self._work(request)

    async def _work(self, request: HttpRequest) -> HttpResponse:
        self._note_drain(request.path)
        refusal = self._refusal()
        if refusal:
            return refusal
        self.in_flight += 1
        try:
            await pause(self.faults.delay_ms)
            if request.path == '/v1/search':
                return self._search(request)
            if request.path == '/v1/execute':
                return await self._execute(request)
        finally:
            self.in_flight -= 1
        return json_response(404, {'code': 'unknown_path', 'ran': False})

    def _refusal(self) -> HttpResponse | None:
        if self.faults.state == 'draining':
            return json_response(503, {'code': 'draining', 'ran': False})
        if self.faults.shed or self.in_flight >= self.service.slots:
            return json_response(429, {'code': 'shed', 'ran': False})
        return None

    def _note_drain(self, path: str) -> None:
        """Record when the drain was first signalled and what came later."""
        if self.faults.state != 'draining':
            self.drain_signalled_at = None
            return
        time = wall_time()
        if self.drain_signalled_at is None:
            self.drain_signalled_at = time
        if path in {'/v1/search', '/v1/execute'}:
            since_s = time - self.drain_signalled_at
            self.drain_arrivals.append({'at': time, 'since_s': since_s})

    def _observed(self) -> dict[str, Any]:
        return {
            'executions': dict(self.executions_by_key),
            'searched': sorted(self.searched),
            'drain_arrivals': self.drain_arrivals,
        }

    def _status(self) -> dict[str, Any]:
        self._note_drain('/v1/status')
        return {
            'state': self.faults.state,
            'load': self.faults.load,
            'snapshots': [
                {
                    'snapshot': f's-{sequence}',
                    'sequence': sequence,
                    'partition_count': len(self.service.groups_by_id)
                    * self._per_group(sequence),
                    'partitions': self._partitions(sequence),
                }
                for sequence in self.faults.sequences
            ],
        }

    def _per_group(self, sequence: int) -> int:
        return self.faults.partitions_per_group.get(
            str(sequence), PARTITIONS_PER_GROUP
        )

    def _partitions(self, sequence: int) -> list[int]:
        index = sorted(self.service.groups_by_id).index(self.group.group_id)
        count = self._per_group(sequence)
        return list(range(index * count, (index + 1) * count))

    def _search(self, request: HttpRequest) -> HttpResponse:
        snapshot = request.headers.get('snapshot', '')
        if snapshot not in {f's-{each}' for each in self.faults.sequences}:
            return json_response(
                409, {'code': 'snapshot_unavailable', 'ran': False}
            )
        if self.faults.reply == 'malformed':
            return HttpResponse(200, {}, b'{"records": 7')
        if self.faults.reply == 'wrong_snapshot':
            snapshot = 's-0'
        asked = json.loads(request.body)
        if QUERY_SEPARATOR in asked['query']:
            self.searched.add(asked['query'])
        return json_response(
            200,
            {
                'request_id': request.headers.get('request-id'),
                'snapshot': snapshot,
                'partitions': asked['partitions'],
                'records': [
                    record
                    for partition in asked['partitions']
                    for record in self._records(
                        partition, asked['query'], snapshot
                    )
                ],
            },
        )

    def _records(
        self, partition: int, query: str, snapshot: str
    ) -> list[dict[str, Any]]:
        wanted, separator, _ = query.partition(QUERY_SEPARATOR)
        found = []
        for number in range(RECORDS_PER_PARTITION):
            goods = GOODS[number % len(GOODS)]
            if wanted in {goods, '*'}:
                found.append(
                    {
                        'record_id': f'{partition:04d}-{number}',
                        'partition': partition,
                        'yard': self.group.yard,
                        'score': 1 / (1 + partition),
                        'fields': {
                            'goods': goods,
                            **({'query': query} if separator else {}),
                            'snapshot': snapshot,
                        },
                    }
                )
        return found

    async def _execute(self, request: HttpRequest) -> HttpResponse:
        if self.faults.refuse_executions:
            return json_response(429, {'code': 'shed', 'ran': False})
        key = request.headers.get('idempotency-key', '')
        self.executions_by_key[key] += 1
        await pause(self.faults.execute_reply_delay_ms)
        if self.faults.execute_reply == 'cut':
            # The server closes a connection whose transport has failed.
            raise ConnectionResetError('cut by an injected fault')
        return json_response(
            200,
            {'ran': True, 'outcome': {'booked': json.loads(request.body)}},
        )


async def run_leafs(leafs: list[Leaf]) -> None:
    """Serve all leafs until the task is cancelled."""
    async with curio.TaskGroup() as group:
        for each in leafs:
            address = each.leaf.address
            await group.spawn(
                serve_with_control,
                address.host,
                address.port,
                each.handle,
                each.faults,
            )


def main() -> None:
    """Run the chosen leafs of one service of a document file."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--document', type=Path, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument('--leaf', action='append', help='default: all')
    options = parser.parse_args()
    text = options.document.read_text()
    sections = parse_file(text).unwrap().texts_by_section
    document = parse_document(sections, 1).unwrap()
    service = document.services_by_name[options.service]
    run_service(
        run_leafs,
        [
            Leaf(service, group, leaf)
            for group in service.groups_by_id.values()
            for leaf in group.leafs_by_id.values()
            if not options.leaf or leaf.leaf_id in options.leaf
        ],
    )


if __name__ == '__main__':
    main()
