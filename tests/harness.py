"""Starts the stand-ins and the instances of a process test.

A process test runs every instance and stand-in as a process of its own and
calls them over TCP on the local host.
"""

import fcntl
import http.client
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import uuid
from collections.abc import Iterable
from pathlib import Path
from typing import IO

import attrs
import yaml

START_LIMIT_S = 30
STOP_LIMIT_S = 20
POLL_INTERVAL_S = 0.05
PORT_RANGE = range(15_000, 32_000)
# Files whose locks reserve ports among the test runs on this machine.
LOCKS_PATH = Path(tempfile.gettempdir()) / 'clementinebank-ports'
ROOT = Path(__file__).parent.parent

_locks_by_port: dict[int, IO[str]] = {}


def find_free_ports(count: int) -> list[int]:
    """Return different TCP ports of the local host, reserved for the caller.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, since such a connection could otherwise occupy the port of an
    instance while the instance is restarted. No other test run on this machine
    gets them until ``release_ports`` or the end of this process. The search
    begins at a random port.
    """
    start_index = random.SystemRandom().randrange(len(PORT_RANGE))
    candidates = [*PORT_RANGE[start_index:], *PORT_RANGE[:start_index]]
    reserved = (port for port in candidates if _reserve_port(port))
    ports = list(itertools.islice(reserved, count))
    if len(ports) < count:
        release_ports(ports)
        raise OSError(f'only {len(ports)} of {count} ports are free')
    return ports


def release_ports(ports: Iterable[int]) -> None:
    """Give reserved ports back."""
    for port in ports:
        _locks_by_port.pop(port).close()


def _reserve_port(port: int) -> bool:
    """Lock the file of a port, and return whether the port is free."""
    LOCKS_PATH.mkdir(exist_ok=True)
    lock = (LOCKS_PATH / str(port)).open('w')
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', port))
    except OSError:
        lock.close()
        return False
    _locks_by_port[port] = lock
    return True


@attrs.frozen
class HttpReply:
    """Status, headers with lower-case names, and decoded body of a reply."""

    status: int
    headers: dict
    decoded_body: object


def send_request(port, method, target, body=None, headers=None, timeout_s=10):
    """Send one request to a local port and return its reply.

    Parameters
    ----------
    port : int
        TCP port of the local host.
    method, target : str
        HTTP method, and path with query.
    body : object, optional
        Body, sent as JSON.
    headers : dict, optional
        Headers of the request.
    timeout_s : float
        Limit of each operation on the socket, in seconds.

    Returns
    -------
    HttpReply
        Its ``decoded_body`` is text if the body isn't JSON, None if empty.
    """
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=timeout_s
    )
    try:
        payload = None if body is None else json.dumps(body)
        connection.request(method, target, payload, headers or {})
        response = connection.getresponse()
        content = response.read()
    finally:
        connection.close()
    try:
        decoded_body = json.loads(content) if content else None
    except ValueError:
        decoded_body = content.decode()
    return HttpReply(
        response.status,
        {name.lower(): text for name, text in response.getheaders()},
        decoded_body,
    )


def wait_until(condition, limit_s=START_LIMIT_S):
    """Poll until the condition is true or ``limit_s`` has passed.

    Returns
    -------
    object
        Last value of the condition, None if it raised an OSError. It is false
        if the time has passed.
    """
    end = time.monotonic() + limit_s
    while True:
        try:
            value = condition()
        except OSError:
            value = None
        if value or time.monotonic() > end:
            return value
        time.sleep(POLL_INTERVAL_S)


@attrs.define
class InstancePorts:
    """Ports of the three listeners of one instance."""

    callers: int
    peers: int
    operators: int


@attrs.define
class Fleet:
    """Instances, leafs and platform services of one test, as processes.

    Parameters
    ----------
    directory : Path
        Directory for settings, logs and the document.
    document : dict
        Content of the document by section; the addresses of the leafs are
        filled in at the start.
    instance_count : int
        Number of instances.
    drain_delay_ms : int
        Drain delay in the settings of the instances, in milliseconds.
    extra_settings : dict
        Settings of the instances that differ from those of the harness.
    processes : dict of str to Popen
        Processes by name, ``entry-N`` for instance N.
    instances : list of InstancePorts
        Ports by number of the instance.
    key_value_port, instance_list_port : int
        Ports of the stand-ins of the platform.
    leaf_ports : dict of str to int
        Ports of the leafs by leaf id.
    document_change_id : str
        Change id with which the document is applied.
    """

    directory: Path
    document: dict
    instance_count: int = 2
    drain_delay_ms: int = 300
    extra_settings: dict = attrs.Factory(dict)
    processes: dict = attrs.Factory(dict)
    instances: list = attrs.Factory(list)
    key_value_port: int = 0
    instance_list_port: int = 0
    leaf_ports: dict = attrs.Factory(dict)
    document_change_id: str = attrs.Factory(lambda: str(uuid.uuid4()))
    _ports: list = attrs.Factory(list)

    def start(self):
        """Start all processes and apply the document."""
        self._assign_ports()
        self._spawn(
            'kv', 'standins.kv', '--listen', f'127.0.0.1:{self.key_value_port}'
        )
        self._spawn(
            'list',
            'standins.instance_list',
            '--listen',
            f'127.0.0.1:{self.instance_list_port}',
        )
        path = self.directory / 'document.yaml'
        path.write_text(yaml.safe_dump(self.document, sort_keys=False))
        for section in self.document:
            if section.startswith('service.'):
                name = section.removeprefix('service.')
                self._spawn(
                    f'leafs-{name}',
                    'standins.leaf',
                    '--document',
                    str(path),
                    '--service',
                    name,
                )
        for number in range(self.instance_count):
            self.start_instance(number)
        assert wait_until(
            lambda: send_request(
                self.instance_list_port, 'GET', '/v1/instances'
            )
        )
        self.set_faults(
            self.instance_list_port, instances=self.listed_instances()
        )
        assert wait_until(self._apply_document)

    def listed_instances(self):
        """Return the entries of all instances for the instance list."""
        return [
            {
                'instance_id': f'entry-{number}',
                'address': f'127.0.0.1:{ports.peers}',
                'data_centre': self._data_centre(number),
                'state': 'live',
            }
            for number, ports in enumerate(self.instances)
        ]

    def start_instance(self, number, module='clementinebank.server', name=''):
        """Start an instance, also again after it has ended.

        Parameters
        ----------
        number : int
            Number of the instance.
        module : str
            Module to run as the daemon.
        name : str
            Name in ``processes``; by default ``entry-N`` for instance N.
        """
        ports = self.instances[number]
        settings = {
            'instance_id': f'entry-{number}',
            'data_centre': self._data_centre(number),
            'listen': {
                'callers': f'127.0.0.1:{ports.callers}',
                'peers': f'127.0.0.1:{ports.peers}',
                'operators': f'127.0.0.1:{ports.operators}',
            },
            'platform': {
                'key_value': f'127.0.0.1:{self.key_value_port}',
                'instance_list': f'127.0.0.1:{self.instance_list_port}',
            },
            'log_path': str(self.directory / f'entry-{number}.log'),
            'drain_delay_ms': self.drain_delay_ms,
            **self.extra_settings,
        }
        path = self.directory / f'entry-{number}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self._spawn(
            name or f'entry-{number}',
            module,
            '--settings',
            str(path),
        )

    def search(self, number, service, query='*', **headers):
        """Send a search to one instance and return the reply."""
        return send_request(
            self.instances[number].callers,
            'POST',
            f'/v1/services/{service}/search',
            {'query': query, 'limit': 100},
            headers,
        )

    def set_faults(self, port, **faults):
        """Set faults of the stand-in at this port."""
        return send_request(port, 'POST', '/control', faults)

    def send_signal(self, name, number):
        """Send a signal, given by its number, to a process."""
        self.processes[name].send_signal(number)

    def stop(self):
        """Kill every process that still runs, also a stopped one."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(STOP_LIMIT_S)
        release_ports(self._ports)

    def _assign_ports(self):
        leafs = [
            (leaf_id, leaf)
            for section in self.document.values()
            for leaf_id, leaf in _leafs_of(section)
        ]
        count = 2 + 3 * self.instance_count + len(leafs)
        self._ports = find_free_ports(count)
        ports = iter(self._ports)
        self.key_value_port = next(ports)
        self.instance_list_port = next(ports)
        self.instances = [
            InstancePorts(next(ports), next(ports), next(ports))
            for _ in range(self.instance_count)
        ]
        for leaf_id, leaf in leafs:
            self.leaf_ports[leaf_id] = next(ports)
            leaf['address'] = f'127.0.0.1:{self.leaf_ports[leaf_id]}'

    def _data_centre(self, number):
        names = list(self.document['fleet']['data_centres'])
        return names[number % len(names)]

    def _spawn(self, name, module, *arguments):
        log = (self.directory / f'{name}.out').open('a')
        self.processes[name] = subprocess.Popen(
            [sys.executable, '-m', module, *arguments],
            cwd=ROOT,
            env={**os.environ, 'PYTHONPATH': str(ROOT)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def _apply_document(self):
        sections = {
            name: yaml.safe_dump(section, sort_keys=False)
            for name, section in self.document.items()
        }
        reply = send_request(
            self.instances[0].operators,
            'POST',
            '/v1/document/changes',
            {
                'change_id': self.document_change_id,
                'base_revision': 0,
                'editor': 'harness',
                'sections': sections,
            },
        )
        return reply.status == 200


def _leafs_of(section):
    groups = section.get('groups', {'all': section})
    for group in groups.values():
        yield from group.get('leafs', {}).items()
