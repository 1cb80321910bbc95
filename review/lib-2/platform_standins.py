"""Small stand-ins of the platform for the scripts of review 2.

The store, the leafs and the clients run on one asyncio loop of the script. The
instances of the product are separate processes, started with the command and
the settings template of the deploy file. Everything uses loopback addresses.
"""

import asyncio
import base64
import hashlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
ZONES = {'zone-a': 'region-a', 'zone-b': 'region-b', 'zone-c': 'region-c'}
# Bounds of the site kumagawa-finder.
BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_window_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 3000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'max_skew_ms': 12000,
    'retry_ratio': 0.2,
    'budget_window_s': 10,
    'retry_burst': 54,
    'recovery_s': 12,
}
STATUS_TEXTS = {200: 'OK', 421: 'Misdirected Request', 503: 'Unavailable'}


class Record:
    """What was sent, answered and run; one line an event."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def __call__(self, text):
        self._file.write(f'{time.monotonic() - self._began:8.3f} {text}\n')
        self._file.flush()

    def detail(self, text):
        """Record one request that is sent, answered or run."""
        self._file.write(f'{time.monotonic() - self._began:8.3f} {text}\n')


def free_port():
    """Return a port of the loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *rest = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in rest:
        name, colon, text = line.partition(':')
        if colon:
            headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_request(reader):
    """Return method, target, headers and body; None if the peer closed."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(' ', 2)
    body = await reader.readexactly(int(head[1].get('content-length', 0)))
    return method, target, head[1], body


def encode_response(status, headers, body):
    """Return the bytes of a response with its length."""
    lines = [f'HTTP/1.1 {status} {STATUS_TEXTS.get(status, "Other")}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines += [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


class Store:
    """The platform's store: keys, transactions, watches and leases."""

    def __init__(self):
        self.port = free_port()
        self.items = {}
        self.events = []
        self.revision = 5
        self.leases = {}
        self._next_lease = 100
        self._changed = asyncio.Condition()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**22
        )
        self._expiry = asyncio.ensure_future(self._expire())

    async def write(self, key, value, lease=0):
        """Write a key as the operator or a leaf does; None deletes it."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            event = {'key': key, 'revision': self.revision, 'deleted': True}
        else:
            if not isinstance(value, bytes):
                value = json.dumps(value).encode()
            known = self.items.get(key)
            event = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'created': known['created'] if known else self.revision,
                'lease': lease,
            }
            self.items[key] = event
        self.events.append(event)
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    await self._end_lease(lease)

    async def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v['lease'] == lease]:
            await self.write(key, None)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                status, body = await self._answer(*request)
                writer.write(
                    encode_response(
                        status,
                        {'Content-Type': 'application/json'},
                        json.dumps(body).encode(),
                    )
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        path, _, query = target.partition('?')
        fields = {k: v[0] for k, v in parse_qs(query).items()}
        prefix = fields.get('path_prefix', '')
        if path == '/v1/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(prefix) and key > fields.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'has_more': len(keys) > 500,
                'store_revision': self.revision,
            }
        if path == '/v1/kv-watch':
            return await self._watch(
                prefix, int(fields['after']), int(fields['wait_ms'])
            )
        if path == '/v1/kv-lease':
            ttl_ms = json.loads(body)['ttl_ms']
            self._next_lease += 1
            self.leases[self._next_lease] = (
                ttl_ms,
                time.monotonic() + ttl_ms / 1000,
            )
            return 200, {'lease': self._next_lease, 'ttl_ms': ttl_ms}
        if path.startswith('/v1/kv-keep/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][0]
            self.leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {'ttl_ms': ttl_ms}
        if path.startswith('/v1/kv-lease-end/'):
            lease = int(path.rpartition('/')[2])
            if lease not in self.leases:
                return 404, {}
            await self._end_lease(lease)
            return 200, {}
        if path == '/v1/kv-txn':
            return await self._transact(json.loads(body))
        return 404, {}

    async def _watch(self, prefix, after, wait_ms):
        ends_at = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                each
                for each in self.events
                if each['revision'] > after and each['key'].startswith(prefix)
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            async with self._changed:
                try:
                    await asyncio.wait_for(self._changed.wait(), left_s)
                except asyncio.TimeoutError:
                    pass

    async def _transact(self, body):
        for row in body['expected']:
            known = self.items.get(row['key'])
            if (known['revision'] if known else 0) != row['revision']:
                return 412, {'items': [known] if known else []}
        for row in body['puts']:
            if row['lease'] and row['lease'] not in self.leases:
                return 404, {}
        for row in body['puts']:
            value = base64.b64decode(row['value'])
            await self.write(row['key'], value, row['lease'])
        for key in body['deletes']:
            await self.write(key, None)
        return 200, {'revision': self.revision}


class Leaf:
    """A leaf that signs its answers; `respond` may change them.

    `respond` is a coroutine function of the leaf, the target and the request's
    headers. It returns status, further headers and body.
    """

    def __init__(self, record, leaf_id, service, respond=None, zone='zone-a'):
        self.record = record
        self.leaf_id, self.service, self.zone = leaf_id, service, zone
        self.respond = respond
        self.port = free_port()
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.run_ids = []
        self.slots = 16

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=2**20
        )

    async def register(self, store, **changes):
        self.sequence += 1
        entry = {
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'concurrency': self.slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'sequence': self.sequence,
            'born': self.born,
            **changes,
        }
        await store.write(f'servers/{self.leaf_id}', entry)

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                method, target, headers, body = request
                request_id = headers.get('x-request-id', '')
                own = {'X-Request-Id': request_id}
                if headers.get('x-expect-instance') != self.leaf_id:
                    own['X-Instance-Id'] = self.leaf_id
                    writer.write(encode_response(421, own, b''))
                    continue
                self.run_ids.append(request_id)
                self.record.detail(f'{self.leaf_id} runs {request_id}')
                own['X-Server-Stamp'] = f'{self.leaf_id}.{request_id}'
                status, more, answer = 200, {}, self.leaf_id.encode().ljust(16)
                if self.respond is not None:
                    status, more, answer = await self.respond(
                        self, target, headers
                    )
                writer.write(encode_response(status, {**own, **more}, answer))
                await writer.drain()
                if more.get('Connection') == 'close':
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Instance:
    """One process of the product, as the platform starts it."""

    def __init__(self, record, folder, name, store, seeds=(), zone='zone-a'):
        self.record, self.name, self.zone = record, name, zone
        self.store, self.seeds = store, seeds
        self.ports = {
            each: free_port() for each in ('front', 'ready', 'control', 'own')
        }
        self.settings_path = Path(folder) / f'{name}.yaml'
        self.log_path = Path(folder) / f'{name}.log'
        self.process = None

    @property
    def control(self):
        return f'{HOST}:{self.ports["control"]}'

    def fields(self, memory_mb=300):
        ports = self.ports
        return {
            'node': self.name,
            'role': 'gateway',
            'machine_class': 'front',
            'serves': ['front', 'control'],
            'ip': HOST,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': ZONES,
            'listen': {
                key: f'{HOST}:{ports[key]}'
                for key in ('front', 'ready', 'control')
            },
            'internal_ports': [ports['own'], ports['own']],
            'seeds': list(self.seeds) or [self.control],
            'bootstrap': True,
            'limits': {
                'cpu_share': 0.537,
                'cores': 2,
                'memory_mb': memory_mb,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'bounds': BOUNDS,
            'platform': {'address': f'{HOST}:{self.store.port}'},
        }

    async def start(self, memory_mb=300):
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())[
            'roles'
        ]['gateway']
        template = (ROOT / role['template']).read_text()
        self.settings_path.write_text(
            fill_template(template, self.fields(memory_mb))
        )
        kept = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        self._log = self.log_path.open('ab')
        self.process = await asyncio.create_subprocess_exec(
            *role['run'].split(),
            cwd=ROOT,
            env={
                **kept,
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'CLEMENTINEBANK_NODE_FILE': str(self.settings_path),
            },
            stdout=self._log,
            stderr=self._log,
        )
        self.record(f'{self.name}: process started')

    async def wait_ready(self, limit_s=30):
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            try:
                status, _, _ = await asyncio.wait_for(
                    fetch(self.ports['ready'], '/v1/readiness', {}), 1
                )
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.name} did not become ready')

    def send_signal(self, number):
        self.process.send_signal(number)
        self.record(f'{self.name}: {signal.Signals(number).name}')

    @property
    def has_ended(self):
        return self.process is not None and self.process.returncode is not None

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def peak_mb(self):
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        (line,) = [x for x in text.splitlines() if x.startswith('VmHWM')]
        return int(line.split()[1]) * 1024 / 1e6


def fill_template(text, fields):
    """Fill in `{{a.b}}` and `{{a.b|json}}` of the settings template."""

    def fill(match):
        name, _, form = match.group(1).partition('|')
        found = fields
        for part in name.split('.'):
            found = found[int(part) if part.isdigit() else part]
        is_json = form == 'json' or isinstance(found, (dict, list))
        return json.dumps(found) if is_json else str(found)

    return re.sub(r'\{\{([^}]*)\}\}', fill, text)


def route(prefix, **changes):
    return {
        'name': f'r{prefix}',
        'host': 'shop.example',
        'path_prefix': prefix,
        'kind': 'safe',
        'timeout_ms': 4000,
        'slo_ms': 600,
        'priority': 2,
        'max_attempts': 2,
        **changes,
    }


def configuration(version, services, *routes, **limits):
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {
                'name': name,
                'health_path': '/health',
                'max_conns': 100,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            **limits,
        },
    }


def encode_request(target, headers, method='GET', body=b''):
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


async def read_response(reader):
    """Return status, headers and body; EOFError if the answer isn't whole."""
    head = await read_head(reader)
    if head is None:
        raise EOFError('closed without an answer')
    status = int(head[0].split(' ')[1])
    try:
        body = await reader.readexactly(int(head[1].get('content-length', 0)))
    except asyncio.IncompleteReadError:
        raise EOFError('closed within an answer') from None
    return status, head[1], body


async def fetch(port, target, headers, method='GET', body=b''):
    """Send one request over a new connection and return the response."""
    reader, writer = await asyncio.open_connection(HOST, port, limit=2**20)
    try:
        writer.write(
            encode_request(target, {'Host': 'shop.example', **headers}, method, body)
        )
        return await read_response(reader)
    finally:
        writer.close()


def run_case(scenario):
    """Run a scenario and exit as a case does: 0 held, 1 broken, 2 not run.

    The scenario is a coroutine function of the record, a temporary folder,
    whether there is a disruption, and a list for what is to be stopped. It
    returns the reason why the rule was broken, or an empty text.
    """
    folder = Path(sys.argv[1]).resolve()
    record = Record(folder)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def play():
        started = []
        with tempfile.TemporaryDirectory() as temporary:
            try:
                return await asyncio.wait_for(
                    scenario(record, Path(temporary), has_trouble, started), 110
                )
            finally:
                for each in started:
                    await each.stop()
                kept = os.environ.get('KEEP_LOGS')
                if kept:
                    for path in Path(temporary).glob('*.log'):
                        (Path(kept) / path.name).write_bytes(path.read_bytes())

    try:
        broken = asyncio.run(play())
    except Exception as error:
        record(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
        sys.exit(2)
    record(f'result: {broken or "the rule held"}')
    print(broken or 'the rule held')
    sys.exit(1 if broken else 0)
