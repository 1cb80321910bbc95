"""Stand-in for one or more leafs of one service, with generated records."""

import argparse
import json
from collections import Counter, deque
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
from standins._control import serve_with_control, sleep_ms

PARTITIONS_PER_GROUP = 2
RECORDS_PER_PARTITION = 5
# In the query "wool#request-7", the part before it selects the records and
# the part after it only identifies the request.
QUERY_SEPARATOR = '#'
# Arrival times that are kept.
MAX_WORK_ARRIVALS = 2000
GOODS = ('silk', 'wool', 'cotton', 'cedar', 'teak')


@attrs.define
class LeafFaults:
    """Behaviour that a test sets through the control endpoint.

    Parameters
    ----------
    delay_ms : float
        Delay of every search and execution, in milliseconds.
    state : str
        State in the status reply: ``serving``, ``draining`` or ``cold``. A
        draining leaf refuses work with 503.
    load : float
        Load in the status reply.
    shed : bool
        Whether searches and executions are refused with 429.
    reply : str
        Fault of the replies: ``good`` (none), ``malformed`` (body is no
        JSON), ``crossed`` (request id that no request has), ``previous``
        (request id and body of the previous search), ``previous_body`` (only
        the body of the previous search) or ``wrong_snapshot``.
    sequences : list of int
        Sequence numbers of the snapshots that the leaf serves.
    execute_reply : str
        ``good``, or ``cut`` to close the connection after an execution
        without a reply.
    execute_reply_delay_ms : float
        Delay between an execution and its reply, in milliseconds.
    refuse_executions : bool
        Whether executions are refused with 429 and not run.
    dead : bool
        Whether every connection is closed without a reply.
    partitions_per_group : dict of str to int
        Number of partitions of each group by the sequence number of the
        snapshot, where it differs from ``PARTITIONS_PER_GROUP``. The sequence
        numbers are strings, as all names of a JSON object.
    rate_limit : str
        Rate limit that every reply names; none if it is empty.
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
    rate_limit: str = ''


@attrs.define(eq=False)
class StandInLeaf:
    """Leaf that answers with generated records and counts what it has run.

    Parameters
    ----------
    service : ServiceSettings
        Service of the leaf.
    group : GroupSettings
        Group of the leaf.
    leaf : LeafEndpoint
        Id, address and data centre of the leaf.
    faults : LeafFaults
        Behaviour to inject.
    executions_by_key : Counter of str
        Number of executions by idempotency key.
    cancelled_call_ids : set of str
        Last path elements of the DELETE requests received, which name the
        cancelled requests.
    in_flight : int
        Searches and executions that are running.
    previous_search_response : HttpResponse, optional
        Response to the previous search.
    identified_queries : set of str
        Queries run that contain ``QUERY_SEPARATOR``.
    drain_signalled_at : float, optional
        Unix time in seconds of the first reply or refusal that signalled the
        drain; None while the leaf isn't draining.
    drain_arrivals : list of dict
        Searches and executions that arrived during a drain: ``at`` (Unix
        time) and ``since_s`` (seconds since the drain was signalled).
    work_arrivals : deque of float
        Unix times of the latest searches and executions.
    """

    service: ServiceSettings
    group: GroupSettings
    leaf: LeafEndpoint
    faults: LeafFaults = attrs.Factory(LeafFaults)
    executions_by_key: Counter[str] = attrs.Factory(Counter)
    cancelled_call_ids: set[str] = attrs.Factory(set)
    in_flight: int = 0
    previous_search_response: HttpResponse | None = None
    identified_queries: set[str] = attrs.Factory(set)
    drain_signalled_at: float | None = None
    drain_arrivals: list[dict[str, Any]] = attrs.Factory(list)
    work_arrivals: deque[float] = attrs.Factory(
        lambda: deque(maxlen=MAX_WORK_ARRIVALS)
    )

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Return the response to one request, with the id of the request.

        The faults ``crossed``, ``previous`` and ``previous_body`` change the
        id or the body.
        """
        response = await self._route(request)
        request_id = request.headers.get('request-id', '')
        if self.faults.reply == 'crossed' and request.method == 'POST':
            request_id = 'another-request'
        headers = {**response.headers, 'request-id': request_id}
        if self.faults.rate_limit:
            headers['rate-limit'] = self.faults.rate_limit
        response = attrs.evolve(response, headers=headers)
        if request.path != '/v1/search':
            return response
        previous_response = self.previous_search_response
        self.previous_search_response = response
        if previous_response is None:
            return response
        if self.faults.reply == 'previous':
            return previous_response
        if self.faults.reply == 'previous_body':
            return attrs.evolve(response, body=previous_response.body)
        return response

    async def _route(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/observed':
            return json_response(200, self._observations())
        if self.faults.dead:
            raise ConnectionResetError('cut by an injected fault')
        if request.path == '/executions':
            return json_response(200, dict(self.executions_by_key))
        if request.method == 'DELETE':
            self.cancelled_call_ids.add(request.path.rpartition('/')[2])
            return json_response(202, {})
        if request.path == '/v1/status':
            return json_response(200, self._status())
        return await self._handle_work(request)

    async def _handle_work(self, request: HttpRequest) -> HttpResponse:
        self.work_arrivals.append(wall_time())
        self._record_drain(request.path)
        refusal = self._refuse()
        if refusal:
            return refusal
        self.in_flight += 1
        try:
            await sleep_ms(self.faults.delay_ms)
            if request.path == '/v1/search':
                return self._search(request)
            if request.path == '/v1/execute':
                return await self._execute(request)
        finally:
            self.in_flight -= 1
        return json_response(404, {'code': 'unknown_path', 'ran': False})

    def _refuse(self) -> HttpResponse | None:
        if self.faults.state == 'draining':
            return json_response(503, {'code': 'draining', 'ran': False})
        if self.faults.shed or self.in_flight >= self.service.slots:
            return json_response(429, {'code': 'shed', 'ran': False})
        return None

    def _record_drain(self, path: str) -> None:
        """Record the start of a drain and the work that arrives during it."""
        if self.faults.state != 'draining':
            self.drain_signalled_at = None
            return
        time = wall_time()
        if self.drain_signalled_at is None:
            self.drain_signalled_at = time
        if path in {'/v1/search', '/v1/execute'}:
            since_s = time - self.drain_signalled_at
            self.drain_arrivals.append({'at': time, 'since_s': since_s})

    def _observations(self) -> dict[str, Any]:
        return {
            'executions': dict(self.executions_by_key),
            'searched': sorted(self.identified_queries),
            'drain_arrivals': self.drain_arrivals,
            'work_arrivals': list(self.work_arrivals),
        }

    def _status(self) -> dict[str, Any]:
        self._record_drain('/v1/status')
        return {
            'state': self.faults.state,
            'load': self.faults.load,
            'snapshots': [
                {
                    'snapshot': f's-{sequence}',
                    'sequence': sequence,
                    'partition_count': len(self.service.groups_by_id)
                    * self._partitions_per_group(sequence),
                    'partitions': self._partitions(sequence),
                }
                for sequence in self.faults.sequences
            ],
        }

    def _partitions_per_group(self, sequence: int) -> int:
        return self.faults.partitions_per_group.get(
            str(sequence), PARTITIONS_PER_GROUP
        )

    def _partitions(self, sequence: int) -> list[int]:
        index = sorted(self.service.groups_by_id).index(self.group.group_id)
        count = self._partitions_per_group(sequence)
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
        search = json.loads(request.body)
        if QUERY_SEPARATOR in search['query']:
            self.identified_queries.add(search['query'])
        return json_response(
            200,
            {
                'request_id': request.headers.get('request-id'),
                'snapshot': snapshot,
                'partitions': search['partitions'],
                'records': [
                    record
                    for partition in search['partitions']
                    for record in self._records(
                        partition, search['query'], snapshot
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
        await sleep_ms(self.faults.execute_reply_delay_ms)
        if self.faults.execute_reply == 'cut':
            # The HTTP server closes the connection when a handler raises this.
            raise ConnectionResetError('cut by an injected fault')
        return json_response(
            200,
            {'ran': True, 'outcome': {'booked': json.loads(request.body)}},
        )


async def run_leafs(leafs: list[StandInLeaf]) -> None:
    """Serve all leafs, each at its own address, until cancelled."""
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
    """Run the leafs of one service of a document file, by default all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--document', type=Path, required=True)
    parser.add_argument('--service', required=True)
    parser.add_argument(
        '--leaf',
        action='append',
        help='leaf id, may be repeated; default: all leafs',
    )
    options = parser.parse_args()
    text = options.document.read_text()
    sections = parse_file(text).unwrap().texts_by_section
    document = parse_document(sections, 1).unwrap()
    service = document.services_by_name[options.service]
    run_service(
        run_leafs,
        [
            StandInLeaf(service, group, leaf)
            for group in service.groups_by_id.values()
            for leaf in group.leafs_by_id.values()
            if not options.leaf or leaf.leaf_id in options.leaf
        ],
    )


if __name__ == '__main__':
    main()
