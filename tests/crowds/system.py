"""A gateway process with lowered limits, and its store and leaf.

The store and the leaf run in a thread of the test. The gateway is the
program itself, with the settings of the test.
"""

import os
import socket
import threading
import time
from pathlib import Path

import attrs
import curio
from fleet_adapter.tests.standins import (
    StandInLeaf,
    StandInStore,
    configuration,
    route,
)

from clementinebank.http import HttpLimits, HttpResponse, HttpServer
from tests.gateway_process import (
    HOST,
    MAX_DESCRIPTORS,
    MEMORY_MB,
    GatewayProcess,
)
from tests.harness import (
    POLL_INTERVAL_S,
    STOP_LIMIT_S,
    send_request,
    wait_until,
)

BYTES_PER_MB = 1_000_000
BYTES_PER_KIB = 1024
MAX_BODY_BYTES = 262_144
HEADER_TIMEOUT_MS = 3000
IDLE_TIMEOUT_MS = 15_000
# Path of the route whose answers are long, and their size.
LONG_PATH = '/long/'
# Path of the route whose leaf answers only when it is told to.
HELD_PATH = '/held/'
LONG_ANSWER_BYTES = 900_000
LEAF_CHECK_INTERVAL_S = 0.02
ANSWER = b'i-1'.ljust(16)
# Attempts and patience of an ordinary caller; the patience only ends a test
# whose gateway hangs.
ATTEMPTS = 3
PATIENCE_S = 4
# Time without a change after which a measure is taken to be still.
STILL_S = 0.5


@attrs.define
class System:
    """Gateway process, store and leaf of one test.

    Parameters
    ----------
    directory : Path
        Directory for the settings and the output.
    memory_mb : float
        Memory in the settings of the gateway, in megabytes.
    max_descriptors : int
        Limit of open descriptors of the process.
    long_answers : int
        Long answers that the leaf has given.
    leaf_is_free : threading.Event
        Lets the leaf answer the requests that it holds.
    """

    directory: Path
    memory_mb: float = MEMORY_MB
    max_descriptors: int = MAX_DESCRIPTORS
    gateway: GatewayProcess = None
    store: StandInStore = None
    leafs: list = attrs.Factory(list)
    long_answers: int = 0
    leaf_is_free: threading.Event = attrs.Factory(threading.Event)
    _stop: threading.Event = attrs.Factory(threading.Event)
    _is_serving: threading.Event = attrs.Factory(threading.Event)
    _thread: threading.Thread = None

    @property
    def process(self):
        """Return the process of the gateway."""
        return self.gateway.process

    @property
    def callers(self):
        """Return the port for callers."""
        return self.gateway.callers

    @property
    def peers(self):
        """Return the port for other instances."""
        return self.gateway.peers

    def start(self):
        """Start all parts and wait for an answer to an ordinary request."""
        self._thread = threading.Thread(
            target=curio.run, args=(self._serve_standins,), daemon=True
        )
        self._thread.start()
        assert self._is_serving.wait(STOP_LIMIT_S)
        self.gateway = GatewayProcess(
            self.directory,
            self.store.address,
            memory_mb=self.memory_mb,
            max_descriptors=self.max_descriptors,
        )
        self.gateway.start()
        assert wait_until(lambda: self.request().status == 200)

    def stop(self):
        """End the gateway and the stand-ins."""
        if self.gateway is not None:
            self.gateway.close()
        self.leaf_is_free.set()
        self._stop.set()
        if self._thread is not None:
            self._thread.join(STOP_LIMIT_S)

    def request(self, path='/a/x', body=None, headers=None):
        """Send one ordinary request and return the reply."""
        return send_request(
            self.callers,
            'GET' if body is None else 'POST',
            path,
            body,
            {
                'Host': 'shop.example',
                'X-Request-Id': 'ordinary',
                'X-Deadline-Ms': str(PATIENCE_S * 1000),
                **(headers or {}),
            },
            PATIENCE_S,
        )

    def answers_ordinary_request(self, body=None):
        """Return whether an ordinary caller gets its answer.

        Like all callers, it may be refused and then sends again.
        """
        for _ in range(ATTEMPTS):
            try:
                if self.request(body=body).status == 200:
                    return True
            except (OSError, ValueError):
                continue
        return False

    @property
    def peak_bytes(self):
        """Return the largest memory that the gateway has had."""
        text = Path(f'/proc/{self.process.pid}/status').read_text()
        (line,) = [
            each for each in text.splitlines() if each.startswith('VmHWM')
        ]
        return int(line.split()[1]) * BYTES_PER_KIB

    @property
    def descriptors(self):
        """Return the number of open descriptors of the gateway."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def wait_until_still(self, measure):
        """Wait until a measure hasn't changed for a while."""
        last, still_since = measure(), time.monotonic()
        end = still_since + PATIENCE_S
        while time.monotonic() < min(end, still_since + STILL_S):
            time.sleep(POLL_INTERVAL_S)
            latest = measure()
            if latest != last:
                last, still_since = latest, time.monotonic()

    def check(self, name):
        """Check that the gateway lives, listens, answers, and its memory."""
        peak = self.peak_bytes / BYTES_PER_MB
        print(f'{name}: peak {peak:.1f} MB of {self.memory_mb} MB')
        assert self.process.poll() is None
        assert peak <= self.memory_mb
        assert self.answers_ordinary_request()
        for port in self.gateway.ports:
            socket.create_connection((HOST, port), PATIENCE_S).close()

    async def _serve_standins(self):
        self.store = StandInStore()
        self.leafs = [
            StandInLeaf('i-1', 's1', self._respond),
            StandInLeaf('i-2', 's2', self._hold),
        ]
        for standin in (self.store, *self.leafs):
            server = HttpServer(
                HOST, standin.address.port, standin.handle, HttpLimits()
            )
            await curio.spawn(server.serve, daemon=True)
            while not server.is_listening:
                await curio.sleep(LEAF_CHECK_INTERVAL_S)
        for leaf in self.leafs:
            entry = leaf.entry(concurrency=64)
            await self.store.put(f'servers/{leaf.leaf_id}', entry)
        services = {'/a/': 's1', LONG_PATH: 's1', HELD_PATH: 's2'}
        routes = [
            route(prefix, service=service, timeout_ms=5000)
            for prefix, service in services.items()
        ]
        document = configuration(7, *routes)
        document['services'] = [
            {'name': name, 'max_conns': 200} for name in ('s1', 's2')
        ]
        document['limits'] = {
            'max_header_bytes': 16_384,
            'max_body_bytes': MAX_BODY_BYTES,
            'header_timeout_ms': HEADER_TIMEOUT_MS,
            'idle_timeout_ms': IDLE_TIMEOUT_MS,
        }
        await self.store.put('op/config', document)
        self._is_serving.set()
        while not self._stop.is_set():
            await curio.sleep(0.05)

    async def _respond(self, request, headers):
        for leaf in self.leafs:
            leaf.requests.clear()
        is_long = request.target.startswith(LONG_PATH)
        self.long_answers += is_long
        body = bytes(LONG_ANSWER_BYTES) if is_long else ANSWER
        return HttpResponse(200, headers, body)

    async def _hold(self, request, headers):
        while not self.leaf_is_free.is_set():
            await curio.sleep(LEAF_CHECK_INTERVAL_S)
        return await self._respond(request, headers)
