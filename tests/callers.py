"""Callers that search over keep-alive connections and check every answer."""

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
class SearchResults:
    """Results of the searches of all callers.

    Parameters
    ----------
    answered, complete : int
        Number of answers with status 200, and of the complete ones of them.
    refused : list of tuple
        Status and ``execution`` of each answer with another status.
    unanswered : list of str
        Error of each search that was cut or got no valid response.
    mismatched : list of tuple
        Request id, goods, limit and body of each answer that does not belong
        to its request.
    """

    answered: int = 0
    complete: int = 0
    refused: list = attrs.Factory(list)
    unanswered: list = attrs.Factory(list)
    mismatched: list = attrs.Factory(list)


@attrs.define(eq=False)
class Callers:
    """Threads that send searches, from entry to exit of the context.

    When the connection of a caller is refused, it uses the next port, as a
    load balancer would choose another instance.

    Parameters
    ----------
    ports : list of int
        Ports of the instances.
    count : int
        Number of threads.
    think_s : float
        Pause of a thread between two searches, in seconds.
    deadline_ms : int
        Deadline of each search, in milliseconds.
    results : SearchResults
        Results of all threads.
    """

    ports: list
    count: int = 6
    think_s: float = 0.005
    deadline_ms: int = DEADLINE_MS
    results: SearchResults = attrs.Factory(SearchResults)
    _stop: threading.Event = attrs.Factory(threading.Event)
    _threads: list = attrs.Factory(list)

    def __enter__(self):
        """Start the threads and return the callers."""
        for number in range(self.count):
            thread = threading.Thread(target=self._run, args=(number,))
            self._threads.append(thread)
            thread.start()
        return self

    def __exit__(self, *exc_info):
        """Stop the threads and wait until they have ended."""
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def wait_for(self, answers, limit_s=20):
        """Wait until this many more searches have been answered.

        Raises
        ------
        AssertionError
            If they haven't been answered after ``limit_s`` seconds.
        """
        target_count = self.results.answered + answers
        end = time.monotonic() + limit_s
        while self.results.answered < target_count and time.monotonic() < end:
            time.sleep(0.01)
        assert self.results.answered >= target_count

    def _run(self, number):
        ports = list(self.ports)
        connection = None
        for round_number in itertools.count():
            if self._stop.is_set():
                break
            if connection is None:
                connection, ports = self._connect(ports)
            is_reusable = self._search(connection, number, round_number)
            if not is_reusable:
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
            self.results.unanswered.append(repr(error))
            return False
        self._check(response.status, data, request_id, goods, limit)
        return response.getheader('connection') != 'close'

    def _check(self, status, data, request_id, goods, limit):
        if status != 200:
            self.results.refused.append((status, data['error']['execution']))
            return
        self.results.answered += 1
        complete = data['coverage']['complete']
        self.results.complete += int(complete)
        found = {record['fields']['goods'] for record in data['records']}
        is_own_answer = (
            data['request_id'] == request_id
            and found <= {goods}
            and len(data['records']) <= limit
            and (not complete or len(data['records']) == limit)
        )
        if not is_own_answer:
            self.results.mismatched.append((request_id, goods, limit, data))
