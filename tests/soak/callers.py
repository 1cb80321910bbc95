"""Load of a soak: callers, a poller of readiness and a document editor."""

import http.client
import json
import random
import subprocess
import sys
import threading
import time
import uuid

import attrs
import yaml

from clementinebank.booking import new_key
from tests.harness import ROOT, send_request
from tests.soak.checks import GOODS

DEADLINES_MS = (110, 300, 1000)
BOOKING_DEADLINE_MS = 2000
# How long after its deadline a caller still waits for an answer. Longer than
# any answer should take, so that a late one is measured and not cut.
ANSWER_ALLOWANCE_S = 10
SEARCH_INTERVAL_S = 0.15
BOOKING_INTERVAL_S = 0.4
POLL_INTERVAL_S = 0.25
CHANGE_INTERVAL_S = 2.0
MAX_ATTEMPTS = 6
CLI_LIMIT_S = 60
REQUESTS_PER_CONNECTION = 10
# Share of the bookings that are sent once, whatever the answer. Successful
# bookings of the others are sent again in the same share of cases.
NEVER_REPEATED_SHARE = 0.3
# Result of a change by exit status of the command-line tool; any other status
# means that the outcome is unknown.
RESULT_BY_EXIT_STATUS = {0: 'accepted', 1: 'rejected', 3: 'rejected'}


@attrs.define(eq=False)
class ReadinessPoller:
    """Polls the instances, as a load balancer would, and records their state.

    Parameters
    ----------
    fleet : Fleet
        Instances to poll.
    observed : Observations
        Receives the revisions and the document sections of the instances.
    stop : threading.Event
        Set at the end of the run.
    ready : set of int
        Numbers of the instances whose last poll found them ready.
    """

    fleet: object
    observed: object
    stop: threading.Event
    ready: set = attrs.Factory(set)

    def run(self, number):
        """Poll the instance with this number until the run ends."""
        port = self.fleet.instances[number].operators
        name = f'entry-{number}'
        round_number = 0
        while not self.stop.is_set():
            try:
                self._poll(port, number, name, round_number)
            except (OSError, http.client.HTTPException):
                self.ready.discard(number)
            round_number += 1
            self.stop.wait(POLL_INTERVAL_S)

    def choose_instance(self, rng, excluded=None):
        """Return the number of a ready instance, at random.

        ``excluded`` is returned only if no other instance is ready, and 0 if
        none is ready.
        """
        ready = sorted(self.ready)
        others = [number for number in ready if number != excluded]
        return rng.choice(others or ready or [0])

    def _poll(self, port, number, name, round_number):
        is_ready = (
            send_request(port, 'GET', '/readyz', timeout_s=1).status == 200
        )
        (self.ready.add if is_ready else self.ready.discard)(number)
        status = send_request(
            port, 'GET', '/v1/status', timeout_s=1
        ).decoded_body
        self.observed.revisions.append(
            {
                'instance': name,
                'incarnation': status['members'][name]['incarnation'],
                'revision': status['revision'],
                'at': time.time(),
            }
        )
        if round_number % 4 or not status['revision']:
            return
        asked_at = time.time()
        origins = send_request(
            port, 'GET', '/v1/document', timeout_s=1
        ).decoded_body['origins']
        self.observed.sections.append(
            {
                'instance': name,
                'at': asked_at,
                'change_ids': {
                    section: origin['change_id']
                    for section, origin in origins.items()
                },
            }
        )


@attrs.define(eq=False)
class Caller:
    """Searches or books over keep-alive connections, in a thread of its own.

    Parameters
    ----------
    fleet : Fleet
        Instances to call.
    observed : Observations
        Receives one entry for each search or attempt of a booking.
    stop : threading.Event
        Set when the load ends.
    poller : ReadinessPoller
        Chooses the instance to call.
    number : int
        Number of the caller, part of its request ids.
    services : list of str
        Services to choose from.
    rng : random.Random
        Source of all random choices.
    """

    fleet: object
    observed: object
    stop: threading.Event
    poller: ReadinessPoller
    number: int
    services: list
    rng: random.Random
    _instance: int = 0
    _request_count: int = 0
    _connection: object = None

    def search(self):
        """Send searches until the load ends."""
        count = 0
        # Differs between runs, so that a query of another run on this machine
        # that reaches these leafs isn't taken for a query of this run.
        run_id = self.fleet.document_change_id[:8]
        while not self.stop.is_set():
            count += 1
            request_id = f'search-{run_id}-{self.number}-{count}'
            goods = self.rng.choice(GOODS)
            query = f'{goods}#{request_id}'
            service = self.rng.choice(self.services)
            deadline_ms = self.rng.choice(DEADLINES_MS)
            entry = self._send(
                f'/v1/services/{service}/search',
                {'query': query, 'limit': 1000},
                {'Request-Id': request_id},
                deadline_ms,
            )
            if entry is not None:
                self.observed.searches.append(
                    {
                        'id': request_id,
                        'service': service,
                        'query': query,
                        'deadline_ms': deadline_ms,
                        **entry,
                    }
                )
            self.stop.wait(SEARCH_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    def book(self):
        """Send bookings, and repeats of them, until the load ends."""
        while not self.stop.is_set():
            self._book(self.rng.choice(self.services))
            self.stop.wait(BOOKING_INTERVAL_S * self.rng.uniform(0.5, 1.5))

    def _book(self, service):
        key = new_key(time.time())
        body = {'key': key}
        is_repeated = self.rng.random() > NEVER_REPEATED_SHARE
        for _ in range(MAX_ATTEMPTS if is_repeated else 1):
            entry = self._send(
                f'/v1/services/{service}/requests',
                body,
                {'Idempotency-Key': key},
                BOOKING_DEADLINE_MS,
            )
            if entry is not None:
                self.observed.bookings.append(
                    {'key': key, 'body': body, 'service': service, **entry}
                )
                if entry['execution'] == 'ran':
                    # Some successful bookings are sent again, since a repeat
                    # of a recorded booking must not run a second time.
                    if self.rng.random() > NEVER_REPEATED_SHARE:
                        return
                elif entry['execution'] == 'unknown' and entry['status']:
                    return
            self._switch_instance()
            self.stop.wait(0.1)

    def _switch_instance(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._instance = self.poller.choose_instance(self.rng, self._instance)

    def _send(self, target, body, headers, deadline_ms):
        """Send one request and return what was observed of it.

        Returns
        -------
        dict or None
            The instance, the times, the status (None if the request was cut
            or not answered), the execution and the body; None if no
            connection was made.
        """
        self._request_count += 1
        if self._connection is None or (
            self._request_count % REQUESTS_PER_CONNECTION == 0
        ):
            self._switch_instance()
        started_at = time.time()
        entry = {'instance': f'entry-{self._instance}', 'begin': started_at}
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                '127.0.0.1',
                self.fleet.instances[self._instance].callers,
                timeout=deadline_ms / 1000 + ANSWER_ALLOWANCE_S,
            )
            try:
                self._connection.connect()
            except OSError:
                self._switch_instance()
                return None
        try:
            self._connection.request(
                'POST',
                target,
                json.dumps(body),
                {**headers, 'Deadline-Ms': str(deadline_ms)},
            )
            response = self._connection.getresponse()
            data = json.loads(response.read())
        except (OSError, http.client.HTTPException, ValueError) as error:
            self._switch_instance()
            return {
                **entry,
                'end': time.time(),
                'status': None,
                'execution': 'unknown',
                'data': repr(error),
            }
        if response.getheader('connection') == 'close':
            self._connection.close()
            self._connection = None
        error = data.get('error') if response.status != 200 else None
        return {
            **entry,
            'end': time.time(),
            'status': response.status,
            'execution': error['execution'] if error else 'ran',
            'data': data,
        }


@attrs.define(eq=False)
class DocumentEditor:
    """Changes service sections of the document, one or two at the same time.

    Each change is sent over HTTP or by the command-line tool.

    Parameters
    ----------
    fleet : Fleet
        Instances that accept the changes.
    observed : Observations
        Receives one entry for each change.
    stop : threading.Event
        Set when the load ends.
    poller : ReadinessPoller
        Chooses the instance to call.
    rng : random.Random
        Source of all random choices.
    """

    fleet: object
    observed: object
    stop: threading.Event
    poller: ReadinessPoller
    rng: random.Random

    def run(self):
        """Change a random section at regular intervals until the load ends.

        Two changes of one round have the same base and section, so that they
        race with each other.
        """
        sections = [
            name for name in self.fleet.document if name.startswith('service.')
        ]
        round_number = 0
        while not self.stop.wait(CHANGE_INTERVAL_S):
            round_number += 1
            section = self.rng.choice(sections)
            base = self._read_document()
            if base is None:
                continue
            threads = [
                threading.Thread(
                    target=self._apply_change,
                    args=(round_number, section, base, number, route),
                )
                for number, route in enumerate(self._choose_routes())
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()

    def _choose_routes(self):
        routes = [self.rng.choice(('http', 'http', 'tool'))]
        if self.rng.random() < 0.3:
            routes.append('http')
        return [(route_kind, self.rng.getrandbits(32)) for route_kind in routes]

    def _read_document(self):
        port = self.fleet.instances[
            self.poller.choose_instance(self.rng)
        ].operators
        try:
            return send_request(
                port, 'GET', '/v1/document', timeout_s=5
            ).decoded_body
        except (OSError, http.client.HTTPException):
            return None

    def _apply_change(self, round_number, section, base, number, route):
        route_kind, seed = route
        rng = random.Random(seed)
        content = yaml.safe_load(base['sections'][section])
        # The value tells the changes apart. It has no effect on the load, since
        # every caller sends its own deadline.
        content['deadline_ms'] = 1000 + 2 * round_number + number
        text = yaml.safe_dump(content, sort_keys=False)
        change = {
            'change_id': str(uuid.UUID(int=rng.getrandbits(128), version=4)),
            'base_revision': base['revision'],
            'editor': f'operator-{number}',
            'sections': {section: text},
        }
        entry = {
            'change_id': change['change_id'],
            'round': round_number,
            'section': section,
            'text': text,
            'kind': route_kind,
            'begin': time.time(),
            'result': 'unknown',
            'end': float('inf'),
        }
        self.observed.changes.append(entry)
        send = (
            self._send_by_tool if route_kind == 'tool' else self._send_by_http
        )
        result = send(change, rng, section)
        entry['end'] = time.time()
        entry['result'] = result

    def _send_by_http(self, change, rng, section):
        undecided_result = 'rejected'
        for _ in range(MAX_ATTEMPTS):
            port = self.fleet.instances[
                self.poller.choose_instance(rng)
            ].operators
            try:
                reply = send_request(
                    port, 'POST', '/v1/document/changes', change
                )
                result = reply.decoded_body.get('result', 'refused')
            except ConnectionRefusedError:
                result = 'refused'
            except (OSError, http.client.HTTPException, AttributeError):
                result = 'unknown'
            if result == 'accepted':
                return result
            if result in {'conflict', 'invalid'}:
                return 'rejected'
            if result == 'unknown':
                undecided_result = 'unknown'
            self.stop.wait(0.3)
        return undecided_result

    def _send_by_tool(self, change, rng, section):
        path = self.fleet.directory / f'{change["change_id"]}.yaml'
        path.write_text(
            yaml.safe_dump(
                {section: yaml.safe_load(change['sections'][section])}
            )
        )
        ports = [
            self.fleet.instances[self.poller.choose_instance(rng)].operators
        ]
        ports.append(
            self.fleet.instances[self.poller.choose_instance(rng)].operators
        )
        arguments = [
            'document', 'apply', str(path), '--editor', change['editor'],
            '--base', str(change['base_revision']),
            '--change-id', change['change_id'],
        ]  # fmt: skip
        for port in dict.fromkeys(ports):
            arguments += ['--operators', f'127.0.0.1:{port}']
        try:
            process = subprocess.run(
                [sys.executable, '-m', 'clementinebank.cli', *arguments],
                cwd=ROOT,
                capture_output=True,
                timeout=CLI_LIMIT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return 'unknown'
        return RESULT_BY_EXIT_STATUS.get(process.returncode, 'unknown')
