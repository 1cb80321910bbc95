"""Callers, a poller in place of the load balancer, and an operator."""

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
from tests.harness import ROOT, call
from tests.soak.checks import GOODS

DEADLINES_MS = (110, 300, 1000)
BOOKING_DEADLINE_MS = 2000
# Longest wait for an answer after its deadline.
ANSWER_ALLOWANCE_S = 10
SEARCH_INTERVAL_S = 0.15
BOOKING_INTERVAL_S = 0.4
POLL_INTERVAL_S = 0.25
CHANGE_INTERVAL_S = 2.0
MAX_ATTEMPTS = 6
CLI_LIMIT_S = 60
REQUESTS_PER_CONNECTION = 10
NEVER_REPEATED_SHARE = 0.3
# Exit statuses of the command-line tool.
RESULT_BY_EXIT_STATUS = {0: 'accepted', 1: 'rejected', 3: 'rejected'}


@attrs.define(eq=False)
class Balancer:
    """Polls every instance as the load balancer does, and notes its state."""

    fleet: object
    seen: object
    stop: threading.Event
    ready: set = attrs.Factory(set)

    def run(self, number):
        """Poll one instance until the run ends."""
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

    def choose(self, rng, but=None):
        """Return a ready instance, if possible another than ``but``."""
        ready = sorted(self.ready)
        others = [number for number in ready if number != but]
        return rng.choice(others or ready or [0])

    def _poll(self, port, number, name, round_number):
        is_ready = call(port, 'GET', '/readyz', timeout_s=1).status == 200
        (self.ready.add if is_ready else self.ready.discard)(number)
        status = call(port, 'GET', '/v1/status', timeout_s=1).data
        self.seen.revisions.append(
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
        origins = call(port, 'GET', '/v1/document', timeout_s=1).data['origins']
        self.seen.sections.append(
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
    """One thread that searches or books over keep-alive connections."""

    fleet: object
    seen: object
    stop: threading.Event
    balancer: Balancer
    number: int
    services: list
    rng: random.Random
    _instance: int = 0
    _uses: int = 0
    _connection: object = None

    def search(self):
        """Search until the run ends."""
        count = 0
        # Differs between runs, so that no other run on this machine can add
        # its queries to those that the leafs of this one have searched.
        run_id = self.fleet.change_id[:8]
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
                self.seen.searches.append(
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
        """Book until the run ends."""
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
                self.seen.bookings.append(
                    {'key': key, 'body': body, 'service': service, **entry}
                )
                if entry['execution'] == 'ran':
                    # A repeat of a recorded booking must not run again.
                    if self.rng.random() > NEVER_REPEATED_SHARE:
                        return
                elif entry['execution'] == 'unknown' and entry['status']:
                    return
            self._move()
            self.stop.wait(0.1)

    def _move(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._instance = self.balancer.choose(self.rng, self._instance)

    def _send(self, target, body, headers, deadline_ms):
        """Send one request; return None if no connection was made."""
        self._uses += 1
        if self._connection is None or (
            self._uses % REQUESTS_PER_CONNECTION == 0
        ):
            self._move()
        begin = time.time()
        entry = {'instance': f'entry-{self._instance}', 'begin': begin}
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                '127.0.0.1',
                self.fleet.instances[self._instance].callers,
                timeout=deadline_ms / 1000 + ANSWER_ALLOWANCE_S,
            )
            try:
                self._connection.connect()
            except OSError:
                self._move()
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
            self._move()
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
class Operator:
    """Applies changes, also two that race, by HTTP or by the tool."""

    fleet: object
    seen: object
    stop: threading.Event
    balancer: Balancer
    rng: random.Random

    def run(self):
        """Change one section after the other until the run ends."""
        sections = [
            name for name in self.fleet.document if name.startswith('service.')
        ]
        round_number = 0
        while not self.stop.wait(CHANGE_INTERVAL_S):
            round_number += 1
            section = self.rng.choice(sections)
            base = self._base()
            if base is None:
                continue
            racers = [
                threading.Thread(
                    target=self._apply,
                    args=(round_number, section, base, number, variant),
                )
                for number, variant in enumerate(self._variants())
            ]
            for racer in racers:
                racer.start()
            for racer in racers:
                racer.join()

    def _variants(self):
        kinds = [self.rng.choice(('http', 'http', 'tool'))]
        if self.rng.random() < 0.3:
            kinds.append('http')
        return [(kind, self.rng.getrandbits(32)) for kind in kinds]

    def _base(self):
        port = self.fleet.instances[self.balancer.choose(self.rng)].operators
        try:
            return call(port, 'GET', '/v1/document', timeout_s=5).data
        except (OSError, http.client.HTTPException):
            return None

    def _apply(self, round_number, section, base, number, variant):
        kind, seed = variant
        rng = random.Random(seed)
        content = yaml.safe_load(base['sections'][section])
        # Callers state their own deadlines, so that this value is harmless.
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
            'kind': kind,
            'begin': time.time(),
            'result': 'unknown',
            'end': float('inf'),
        }
        self.seen.changes.append(entry)
        send = self._send_by_tool if kind == 'tool' else self._send_by_http
        result = send(change, rng, section)
        entry['end'] = time.time()
        entry['result'] = result

    def _send_by_http(self, change, rng, section):
        settled = 'rejected'
        for _ in range(MAX_ATTEMPTS):
            port = self.fleet.instances[self.balancer.choose(rng)].operators
            try:
                reply = call(port, 'POST', '/v1/document/changes', change)
                result = reply.data.get('result', 'refused')
            except ConnectionRefusedError:
                result = 'refused'
            except (OSError, http.client.HTTPException, AttributeError):
                result = 'unknown'
            if result == 'accepted':
                return result
            if result in {'conflict', 'invalid'}:
                return 'rejected'
            if result == 'unknown':
                settled = 'unknown'
            self.stop.wait(0.3)
        return settled

    def _send_by_tool(self, change, rng, section):
        path = self.fleet.directory / f'{change["change_id"]}.yaml'
        path.write_text(
            yaml.safe_dump(
                {section: yaml.safe_load(change['sections'][section])}
            )
        )
        ports = [self.fleet.instances[self.balancer.choose(rng)].operators]
        ports.append(self.fleet.instances[self.balancer.choose(rng)].operators)
        arguments = [
            'document', 'apply', str(path), '--editor', change['editor'],
            '--base', str(change['base_revision']),
            '--change-id', change['change_id'],
        ]  # fmt: skip
        for port in dict.fromkeys(ports):
            arguments += ['--operators', f'127.0.0.1:{port}']
        try:
            done = subprocess.run(
                [sys.executable, '-m', 'clementinebank.cli', *arguments],
                cwd=ROOT,
                capture_output=True,
                timeout=CLI_LIMIT_S,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return 'unknown'
        return RESULT_BY_EXIT_STATUS.get(done.returncode, 'unknown')
