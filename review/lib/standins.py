"""Stand-ins of the platform for the scripts of this review.

One process holds the store, the leafs and the clients; the gateways run as
separate processes with the command and the template of the deploy folder.
Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
START = time.monotonic()


def now():
    """Return the seconds since the start of the script."""
    return time.monotonic() - START


def free_ports(count):
    """Return free TCP ports of the loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.file = open(Path(folder) / 'record.txt', 'w')

    def write(self, text):
        self.file.write(f'{now():9.3f} {text}\n')

    def close(self):
        self.file.close()


async def read_message(reader):
    """Return start line, headers and body of one HTTP/1.1 message, or None."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    length = int(headers.get('content-length', 0))
    try:
        body = await reader.readexactly(length) if length else b''
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def encode_response(status, headers, body=b''):
    """Return the bytes of a response with a length."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store:
    """The platform's store: revisions, watches, leases, conditional writes."""

    def __init__(self, history_s=20):
        self.items = {}
        self.events = []
        # Time of each event; older ones than ``history_s`` are dropped.
        self.event_times = []
        self.history_s = history_s
        self.dropped_revision = 0
        self.revision = 10
        self.leases = {}
        self.last_lease = 100
        self.changed = asyncio.Event()
        self.port = free_ports(1)[0]
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, HOST, self.port, limit=1 << 22
        )
        self.expiry = asyncio.create_task(self._expire())

    def put(self, key, content, lease=0):
        """Write a key as the operator or a leaf does; return the ack's time."""
        raw = content if isinstance(content, bytes) else json.dumps(content).encode()
        self._write(key, base64.b64encode(raw).decode(), lease)
        return now()

    def delete(self, key):
        """Delete a key; return the time of the acknowledgement."""
        self.revision += 1
        self.items.pop(key, None)
        self._add_event({'key': key, 'revision': self.revision, 'deleted': True})
        return now()

    def _write(self, key, value, lease):
        self.revision += 1
        created = self.items.get(key, {}).get('created', self.revision)
        item = {'key': key, 'value': value, 'revision': self.revision,
                'created': created, 'lease': lease}
        self.items[key] = item
        self._add_event(item)

    def _add_event(self, event):
        self.events.append(event)
        self.event_times.append(now())
        while self.event_times[0] < now() - self.history_s:
            self.event_times.pop(0)
            self.dropped_revision = self.events.pop(0)['revision']
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.05)
            for lease, (ttl, end) in list(self.leases.items()):
                if now() >= end:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.delete(key)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                line, _, body = message
                method, target, _ = line.split(' ')
                status, answer = await self._handle(method, target, body)
                await asyncio.sleep(0.004)
                writer.write(encode_response(
                    status, {'Content-Type': 'application/json'},
                    json.dumps(answer).encode()))
                await writer.drain()
        self.writers.discard(writer)
        writer.close()

    async def _handle(self, method, target, body):
        url = urlsplit(target)
        query = {n: t[0] for n, t in parse_qs(url.query, keep_blank_values=True).items()}
        path = url.path
        if path == '/v1/kv-key':
            item = self.items.get(query['key'])
            if item is None:
                return 404, {'store_revision': self.revision}
            return 200, {**item, 'store_revision': self.revision}
        if path == '/v1/kv-range':
            keys = sorted(k for k in self.items
                          if k.startswith(query.get('path_prefix', ''))
                          and k > query.get('after', ''))
            return 200, {'items': [self.items[k] for k in keys[:500]],
                         'has_more': len(keys) > 500,
                         'store_revision': self.revision}
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-txn':
            return self._transact(json.loads(body))
        if path == '/v1/kv-lease':
            self.last_lease += 1
            ttl = json.loads(body)['ttl_ms'] / 1000
            self.leases[self.last_lease] = (ttl, now() + ttl)
            return 200, {'lease': self.last_lease, 'ttl_ms': int(ttl * 1000)}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/v1/kv-keep/'):
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
        else:
            self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('path_prefix', '')
        end = now() + int(query['wait_ms']) / 1000
        while True:
            changed = self.changed
            while self.event_times and self.event_times[0] < now() - self.history_s:
                self.event_times.pop(0)
                self.dropped_revision = self.events.pop(0)['revision']
            if after < self.dropped_revision:
                return 410, {}
            events = [e for e in self.events
                      if e['revision'] > after and e['key'].startswith(prefix)]
            if events or now() >= end:
                return 200, {'events': events, 'store_revision': self.revision}
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0, end - now()))

    def _transact(self, body):
        for row in body.get('expected', ()):
            known = self.items.get(row['key'], {'key': row['key'], 'revision': 0})
            if known['revision'] != row['revision']:
                return 412, {'items': [known]}
        for row in body.get('puts', ()):
            lease = row.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            self._write(row['key'], row['value'], lease)
        for key in body.get('deletes', ()):
            self.delete(key)
        return 200, {'revision': self.revision}


class Leaf:
    """Leaf with slots and a short queue; it signs its answers.

    ``runs_by_id`` counts how often it began to work on each request.
    """

    def __init__(self, leaf_id, service, zone, record, *, slots=4, queue=4,
                 work_ms=20.0, body=b'', rng=None):
        self.leaf_id = leaf_id
        self.service = service
        self.zone = zone
        self.record = record
        self.slots = slots
        self.queue = queue
        self.work_ms = work_ms
        self.body = body or (leaf_id.encode() * 16)[:32]
        self.rng = rng or random.Random(leaf_id)
        self.port = free_ports(1)[0]
        self.running = 0
        self.waiting = 0
        self.runs_by_id = {}
        self.arrivals = []
        self.refusals = 0
        self.semaphore = asyncio.Semaphore(slots)
        self.sequence = 1
        self.born = int(time.time() * 1000)
        # Share of the answers that the leaf sends a second time, late.
        self.extra_late_share = 0.0
        # Whether such a copy breaks off in its head, at a random byte.
        self.breaks_off = False
        self.extras = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def entry(self, **changes):
        """Return the registration of the leaf."""
        return {'service': self.service, 'address': f'{HOST}:{self.port}',
                'zone': self.zone, 'version': 'v1', 'concurrency': self.slots,
                'state': 'ready', 'cold_left_ms': 0, 'sequence': self.sequence,
                'born': self.born, **changes}

    async def _serve(self, reader, writer):
        # Copy of an answer that is sent again, where the next one is due.
        late = b''
        connection = writer.get_extra_info('peername')[1]
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if late:
                    writer.write(late)
                    late = b''
                answer = await self._handle(message, connection)
                writer.write(answer)
                if self.rng.random() < self.extra_late_share:
                    late = answer
                    if self.breaks_off:
                        late = answer[:self.rng.randrange(1, answer.index(b'\r\n\r\n'))]
                    self.extras += 1
                    self.record.write(
                        f'will send the answer to {message[1].get("x-request-id")} '
                        f'again, late, on connection {connection}')
                await writer.drain()
        writer.close()

    def _headers(self, request_id):
        return {'X-Request-Id': request_id, 'X-Server-Load':
                f'{self.running},{self.waiting},{self.slots}'}

    async def _handle(self, message, connection):
        line, headers, body = message
        request_id = headers.get('x-request-id', '')
        common = self._headers(request_id)
        if not request_id:
            return encode_response(400, {**common, 'X-Not-Executed': '1'})
        if headers.get('x-expect-instance', self.leaf_id) != self.leaf_id:
            return encode_response(421, common)
        self.arrivals.append((now(), request_id))
        self.record.write(
            f'arrives {request_id} at {self.leaf_id} on connection {connection}')
        if self.semaphore.locked() and self.waiting >= self.queue:
            self.refusals += 1
            self.record.write(f'refused {request_id} by {self.leaf_id} (not executed)')
            return encode_response(503, {'X-Not-Executed': 'full', **common})
        limit = now() + int(headers.get('x-deadline-ms', 10000)) / 1000
        self.waiting += 1
        try:
            await asyncio.wait_for(self.semaphore.acquire(), max(0.001, limit - now()))
        except asyncio.TimeoutError:
            return encode_response(503, {**common, 'X-Not-Executed': 'deadline'})
        finally:
            self.waiting -= 1
        self.running += 1
        self.runs_by_id[request_id] = self.runs_by_id.get(request_id, 0) + 1
        self.record.write(f'runs {request_id} at {self.leaf_id}')
        try:
            await asyncio.sleep(self.work_ms * self.rng.uniform(0.6, 1.4) / 1000)
        finally:
            self.running -= 1
            self.semaphore.release()
        stamp = f'{self.leaf_id}.{request_id}.{self.rng.getrandbits(32):08x}'
        return encode_response(
            200, {**self._headers(request_id), 'X-Server-Stamp': stamp}, self.body)


class Proxy:
    """Path of one gateway to the store; ``mode`` is pass, reset or silent."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.port = free_ports(1)[0]
        self.mode = 'pass'
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def set_mode(self, mode):
        """Change the mode; a reset also ends the open connections."""
        self.mode = mode
        if mode == 'reset':
            for writer in list(self.writers):
                self._reset(writer)

    def _reset(self, writer):
        sock = writer.get_extra_info('socket')
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                struct.pack('ii', 1, 0))
        writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == 'reset':
            self._reset(writer)
            return
        self.writers.add(writer)
        out_reader, out_writer = await asyncio.open_connection(
            HOST, self.target_port)
        await asyncio.gather(self._copy(reader, out_writer),
                             self._copy(out_reader, writer))
        self.writers.discard(writer)

    async def _copy(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while chunk := await reader.read(65536):
                while self.mode == 'silent':
                    await asyncio.sleep(0.02)
                writer.write(chunk)
                await writer.drain()
        with contextlib.suppress(ConnectionError, OSError, RuntimeError):
            writer.close()


class Gateways:
    """The project's gateways, one process each."""

    def __init__(self, store, count, zones, regions, bounds, folder, proxies=None):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = next(iter(deploy['roles'].values()))
        self.command = role['run'].split(' ')
        self.template = (ROOT / role['template']).read_text()
        self.folder = Path(folder)
        self.nodes = []
        # One path to the store for each gateway, if given.
        store_ports = [each.port for each in proxies or [store] * count]
        ports = free_ports(4 * count)
        for index in range(count):
            front, ready, control, internal = ports[4 * index: 4 * index + 4]
            self.nodes.append({
                'node': f'front-{zones[index % len(zones)]}-{index + 1}',
                'role': 'gateway', 'machine_class': 'front',
                'serves': ['front', 'control'], 'ip': HOST,
                'zone': zones[index % len(zones)],
                'region': regions[zones[index % len(zones)]], 'zones': regions,
                'listen': {'front': f'{HOST}:{front}', 'ready': f'{HOST}:{ready}',
                           'control': f'{HOST}:{control}'},
                'internal_ports': [internal, internal],
                'bootstrap': True, 'tolerated': False,
                'limits': {'cpu_share': 0.537, 'cores': 2, 'memory_mb': 300,
                           'max_fds': 4100, 'link_mbps': 1000.0, 'disk_mb': 0},
                'bounds': bounds,
                'platform': {'address': f'{HOST}:{store_ports[index]}', 'form': 'kv'},
                'front_port': front, 'ready_port': ready,
            })
        # One seed in each zone, as the platform names at most three machines.
        seeds = {}
        for node in self.nodes:
            seeds.setdefault(node['zone'], node['listen']['control'])
        for node in self.nodes:
            node['seeds'] = list(seeds.values())[:3]
        self.processes = []

    async def start(self):
        environment = {name: os.environ[name] for name in ('PATH', 'HOME', 'LANG')
                       if name in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        for node in self.nodes:
            settings = self.folder / f"{node['node']}.yaml"
            settings.write_text(render(self.template, node))
            log = open(self.folder / f"{node['node']}.log", 'wb')
            process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, stdout=log, stderr=log,
                env={**environment, 'CLEMENTINEBANK_NODE_FILE': str(settings)})
            self.processes.append(process)

    async def wait_until_ready(self, limit_s=20):
        end = now() + limit_s
        for node in self.nodes:
            while not await self._is_ready(node['ready_port']):
                if now() > end:
                    raise TimeoutError(f"{node['node']} is not ready")
                await asyncio.sleep(0.05)

    async def _is_ready(self, port):
        try:
            status, _, _ = await exchange(port, 'GET', '/v1/readiness', {}, b'', 1)
        except (OSError, asyncio.TimeoutError):
            return False
        return status == 200

    async def stop(self):
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            await process.wait()


def render(template, fields):
    """Fill the placeholders ``{{a.b}}`` and ``{{a|json}}`` of a template."""
    def replace(match):
        name, _, form = match.group(1).partition('|')
        value = fields
        for part in name.split('.'):
            value = value[int(part)] if isinstance(value, list) else value[part]
        if form == 'json' or isinstance(value, (dict, list)):
            return json.dumps(value)
        return str(value)
    return re.sub(r'\{\{([^{}]+)\}\}', replace, template)


async def exchange(port, method, target, headers, body, limit_s):
    """Send one request on a new connection; return status, headers, body."""
    async def run():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            await send(writer, method, target, headers, body)
            return await receive(reader)
        finally:
            writer.close()
    return await asyncio.wait_for(run(), limit_s)


async def send(writer, method, target, headers, body):
    """Write one request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines += [f'{name}: {text}' for name, text in
              {'Host': 'shop.example', **headers}.items()]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    writer.write(('\r\n'.join(lines) + '\r\n\r\n').encode() + body)
    await writer.drain()


async def receive(reader):
    """Read one response; ``ConnectionError`` if there is no whole one."""
    message = await read_message(reader)
    if message is None:
        raise ConnectionError('the connection ended without an answer')
    line, headers, body = message
    return int(line.split(' ')[1]), headers, body


def run_script(folder, main):
    """Run a script; exit 1 if the rule broke, 0 if it held, 2 on an error."""
    record = Record(folder)

    async def guarded():
        with tempfile.TemporaryDirectory() as temporary:
            return await main(record, temporary)

    try:
        broken = asyncio.run(guarded())
    except Exception as error:  # noqa: BLE001
        record.write(f'the case could not run: {error!r}')
        print(f'could not run: {error!r}')
        code = 2
    else:
        code = 1 if broken else 0
    record.close()
    raise SystemExit(code)
