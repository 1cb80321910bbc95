"""A gateway as a process of its own, with the program of the deployment."""

import os
import resource
import subprocess
import sys
from pathlib import Path

import attrs
import yaml

from clementinebank.validation import Address
from tests.harness import (
    ROOT,
    STOP_LIMIT_S,
    find_free_ports,
    release_ports,
)

HOST = '127.0.0.1'
DATA_CENTRE = 'dc-1'
REGIONS_BY_DATA_CENTRE = {
    'dc-1': 'region-1',
    'dc-2': 'region-2',
    'dc-3': 'region-3',
}
MEMORY_MB = 80
MAX_DESCRIPTORS = 1000


@attrs.define
class GatewayProcess:
    """Settings, ports and process of one gateway.

    Parameters
    ----------
    directory : Path
        Directory for the settings and the output.
    store : Address
        Where the store listens.
    instance_id : str
        Name of the instance.
    seed_ports : list of int
        Ports for other instances of the seeds; its own if there are none.
    memory_mb : float
        Memory in the settings, in megabytes.
    max_descriptors : int
        Limit of open descriptors of the process.
    data_centre : str
        Data centre in the settings.
    bounds : dict of str to float
        Bounds in the settings that differ from the usual ones.
    ports : list of int
        Ports for callers, readiness checks, metrics and other instances.
    """

    directory: Path
    store: Address
    instance_id: str = 'g-1'
    seed_ports: list = attrs.Factory(list)
    memory_mb: float = MEMORY_MB
    max_descriptors: int = MAX_DESCRIPTORS
    data_centre: str = DATA_CENTRE
    bounds: dict = attrs.Factory(dict)
    process: subprocess.Popen = None
    ports: list = attrs.field(factory=lambda: find_free_ports(4))

    @property
    def callers(self):
        """Return the port for callers."""
        return self.ports[0]

    @property
    def readiness(self):
        """Return the port for readiness checks."""
        return self.ports[1]

    @property
    def peers(self):
        """Return the port for other instances."""
        return self.ports[3]

    def start(self):
        """Start the process; its output is appended to that of earlier ones."""
        path = self.directory / f'{self.instance_id}.yaml'
        path.write_text(yaml.safe_dump(self._settings()))
        with self.output_path.open('a') as output:
            self.process = subprocess.Popen(
                [sys.executable, 'platform/gateway.py'],
                cwd=ROOT,
                env={**os.environ, 'CLEMENTINEBANK_NODE_FILE': str(path)},
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=self._limit_descriptors,
            )

    @property
    def output_path(self):
        """Return the path of the log and the other output."""
        return self.directory / f'{self.instance_id}.out'

    def kill(self):
        """End the process at once, if it was started."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(STOP_LIMIT_S)

    def close(self):
        """End the process and give its ports back."""
        self.kill()
        release_ports(self.ports)

    def _limit_descriptors(self):
        limit = self.max_descriptors
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    def _settings(self):
        callers, readiness, metrics, peers = (
            f'{HOST}:{port}' for port in self.ports
        )
        return {
            'instance_id': self.instance_id,
            'data_centre': self.data_centre,
            'listen': {
                'callers': callers,
                'readiness': readiness,
                'metrics': metrics,
                'peers': peers,
            },
            'seeds': [
                f'{HOST}:{port}' for port in self.seed_ports or [self.peers]
            ],
            'control_store': str(self.store),
            'regions_by_data_centre': REGIONS_BY_DATA_CENTRE,
            'resources': {
                'processor_share': 0.5,
                'processor_speed': 2,
                'memory_mb': self.memory_mb,
            },
            'bounds': {
                'drain_ms': 3000,
                'shutdown_s': 2,
                'retry_ratio': 0.2,
                'retry_burst': 50,
                'stable_window_ms': 4000,
                'change_ms': 3000,
                **self.bounds,
            },
        }
