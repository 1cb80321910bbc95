"""Callers on keep-alive connections that check every answer."""

import http.client
import itertools
import json
import threading
import time

import attrs

GOODS = ('silk', 'wool', 'cotton', 'cedar', 'teak')
TIMEOUT_S = 10
DEADLINE_MS = 3000


@attrs.define
class Tally:
    """What the callers have seen."""

    answered: int = 0
    complete: int = 0
    refused: list = attrs.Factory(list)
    cut: list = attrs.Factory(list)
    foreign: list = attrs.Factory(list)


@attrs.define(eq=False)
class Callers:
    """Threads that search until they are stopped.

    A caller moves to the next port when its connection is refused, as a
    load balancer would move it.
    """

    ports: list
    count: int = 6
    think_s: float = 0.005
    deadline_ms: int = DEADLINE_MS
    tally: Tally = attrs.Factory(Tally)
    _stop: threading.Event = attrs.Factory(threading.Event)
    _threads: list = attrs.Factory(list)

    def __enter__(self):
        """Start the threads."""
        for number in range(self.count):
            thread = threading.Thread(target=self._run, args=(number,))
            self._threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *exc_info):
        """Stop the threads."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, answers, limit_s=20):
        """Wait until this many further answers have come."""
        goal = self.tally.answered + answers
        end = time.monotonic() + limit_s
        while self.tally.answered < goal and time.monotonic() < end:
            time.sleep(0.01)
        assert self.tally.answered >= goal

    def _run(self, number):
        ports = list(self.ports)
        connection = None
        for round_number in itertools.count():
            if self._stop.is_set():
                break
            if connection is None:
                connection, ports = self._connect(ports)
            keep = self._search(connection, number, round_number)
            if not keep:
                connection.close()
                connection = None
            time.sleep(self.think_s)
        if connection is not None:
            connection.close()

    def _connect(self, ports):
        for _ in range(2 * len(ports)):
            connection = http.client.HTTPConnection(
                '127.0.0.1', ports[0], timeout=TIMEOUT_S
            )
            try:
                connection.connect()
            except ConnectionRefusedError:
                ports = [*ports[1:], ports[0]]
            else:
                return connection, ports
        raise AssertionError('no instance accepts connections')

    def _search(self, connection, number, round_number):
        request_id = f'caller-{number}-{round_number}'
        goods = GOODS[(number + round_number) % len(GOODS)]
        limit = 1 + (number * 7 + round_number) % 8
        body = json.dumps({'query': goods, 'limit': limit})
        headers = {
            'Request-Id': request_id,
            'Deadline-Ms': str(self.deadline_ms),
        }
        try:
            connection.request(
                'POST', '/v1/services/pickup-desk/search', body, headers
            )
            response = connection.getresponse()
            data = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.tally.cut.append(repr(error))
            return False
        self._check(response.status, data, request_id, goods, limit)
        return response.getheader('connection') != 'close'

    def _check(self, status, data, request_id, goods, limit):
        if status != 200:
            self.tally.refused.append((status, data['error']['execution']))
            return
        self.tally.answered += 1
        complete = data['coverage']['complete']
        self.tally.complete += int(complete)
        found = {record['fields']['goods'] for record in data['records']}
        is_own = (
            data['request_id'] == request_id
            and found <= {goods}
            and len(data['records']) <= limit
            and (not complete or len(data['records']) == limit)
        )
        if not is_own:
            self.tally.foreign.append((request_id, goods, limit, data))
