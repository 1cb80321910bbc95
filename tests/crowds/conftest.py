"""Starts one gateway at a time for the tests against crowds."""

import fcntl

import pytest

from tests.crowds.system import System
from tests.harness import LOCKS_PATH

LOCK_NAME = 'crowds'


@pytest.fixture
def alone():
    """Hold the lock that lets one such test run at a time."""
    LOCKS_PATH.mkdir(exist_ok=True)
    with (LOCKS_PATH / LOCK_NAME).open('w') as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


@pytest.fixture
def create_system(alone, tmp_path):
    """Return a function that starts a system; each ends with the test."""
    started = []

    def create(**options):
        system = System(tmp_path, **options)
        started.append(system)
        system.start()
        return system

    yield create
    for system in started:
        system.stop()


@pytest.fixture
def system(create_system):
    """Return a system with the lowered limits of all tests."""
    return create_system()
