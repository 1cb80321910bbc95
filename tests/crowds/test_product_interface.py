"""Guards against crowds of bodies at the listener of the product's daemon."""

import re
from pathlib import Path

from tests.crowds.crowd import Client, Crowd
from tests.crowds.payloads import head
from tests.harness import wait_until

CROWD = 120
BODY_BYTES = 2_000_000
MAX_BYTES = 200_000_000
SEARCH_PATH = '/v1/services/pickup-desk/search'


def _peak_bytes(fleet):
    pid = fleet.processes['entry-0'].pid
    text = Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmHWM:\s*(\d+)', text).group(1)) * 1024


def test_bodies_that_stop_short(alone, fleet):
    assert wait_until(lambda: _is_answered(fleet))
    payload = head(SEARCH_PATH, f'Content-Length: {BODY_BYTES}')
    payload += bytes(BODY_BYTES - 1)
    clients = [Client(payload) for _ in range(CROWD)]
    with Crowd(fleet.instances[0].callers, clients) as crowd:
        crowd.push()
        assert wait_until(lambda: _is_answered(fleet))
        peak = _peak_bytes(fleet)
        print(f'daemon: peak {peak / 1e6:.1f} MB of {MAX_BYTES / 1e6} MB')
        assert peak <= MAX_BYTES
    assert fleet.processes['entry-0'].poll() is None
    assert wait_until(lambda: _is_answered(fleet))


def _is_answered(fleet):
    return fleet.search(0, 'pickup-desk').status == 200
