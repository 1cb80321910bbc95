"""Guards test fleets against each other's ports.

While an instance is down, nothing listens at its port. Another test run on the
same machine that took the port then got the calls of this one.
"""

import subprocess
import sys

import pytest

from tests import harness
from tests.harness import ROOT, find_free_ports, release_ports

FIND_PORT = """
from tests import harness
harness.PORT_RANGE = range({first}, {first} + 2)
harness.find_free_ports(1)
"""


@pytest.fixture
def ports():
    """Reserve two ports that follow each other."""
    reserved = find_free_ports(2)
    while reserved[1] != reserved[0] + 1:
        release_ports(reserved)
        reserved = find_free_ports(2)
    yield reserved
    release_ports(reserved)


def test_port_of_a_stopped_instance_is_not_given_to_another_run(ports):
    """Nothing listens at the reserved ports."""
    another_run = subprocess.run(
        [sys.executable, '-c', FIND_PORT.format(first=ports[0])],
        check=False,
        capture_output=True,
        cwd=ROOT,
        text=True,
    )
    assert 'OSError: only 0 of 1 ports are free' in another_run.stderr


def test_released_port_is_found_again(monkeypatch):
    (port,) = find_free_ports(1)
    release_ports([port])
    monkeypatch.setattr(harness, 'PORT_RANGE', range(port, port + 1))
    assert find_free_ports(1) == [port]
    release_ports([port])
