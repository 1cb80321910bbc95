"""Guards a fleet of processes against odd entries in the store.

Fault of issue 45: the registration of a leaf had a number far beyond 64 bits.
All processes were restarted, read the entry, failed to decode it and read all
entries again for as long as it stood, so that none got ready.
"""

import json

import curio
import pytest
from fleet_adapter.tests.standins import configuration, route, run_scenario

from clementinebank.clock import now
from clementinebank.http import HttpProtocolError, HttpRequest, fetch
from tests.gateway_process import HOST, GatewayProcess

INSTANCES = 3
# Time after a restart by which a fleet must serve again.
RECOVERY_S = 12
CALL_TIMEOUT_S = 2
REQUESTS = 24
CHECK_INTERVAL_S = 0.05
NUMBER_FIELDS = ('born', 'sequence', 'concurrency', 'cold_left_ms')
ODD_NUMBERS = {
    'beyond 64 bits': 2**70,
    'beyond a float': 10**400,
    'negative and beyond a float': -(10**400),
    'infinite': float('inf'),
    'not a number': float('nan'),
    'text': '3',
    'truth value': True,
    'list': [3],
}


@pytest.fixture
def run_fleet(tmp_path):
    """Return a function that runs a scenario with gateway processes.

    The stand-ins are served by the test itself, so it calls the processes
    without blocking.
    """
    processes = []

    def run(scenario):
        async def run_with_processes(platform):
            for number in range(INSTANCES):
                process = GatewayProcess(
                    tmp_path,
                    platform.store.address,
                    f'g-{number}',
                    [processes[0].peers] if processes else [],
                )
                processes.append(process)
            await scenario(platform, processes)

        run_scenario(run_with_processes)

    yield run
    for process in processes:
        process.close()


async def start_platform(platform):
    """Serve the store and two leafs of the route ``/a/``."""
    for leaf_id in ('i-1', 'i-2'):
        await platform.add_leaf(leaf_id, 's1')
    await platform.store.put(
        'op/config', configuration(7, route('/a/', service='s1'))
    )
    await platform.serve(platform.store)


async def start_processes(processes):
    """Start all processes and wait until they are ready, or for RECOVERY_S."""
    for process in processes:
        process.start()
    end = now() + RECOVERY_S
    for process in processes:
        while not await is_ready(process) and now() < end:
            await curio.sleep(CHECK_INTERVAL_S)


async def restart_processes(processes):
    """End all processes at once and start them again."""
    for process in processes:
        process.kill()
    await start_processes(processes)


async def is_ready(process):
    message = HttpRequest('GET', '/v1/readiness')
    return await get_status(process.ports[1], message) == 200


async def count_served(processes):
    """Return how many of ``REQUESTS`` requests are served."""
    served = 0
    for number in range(REQUESTS):
        headers = {
            'host': 'shop.example',
            'x-request-id': f'q{number}',
            'x-deadline-ms': str(CALL_TIMEOUT_S * 1000),
        }
        message = HttpRequest('GET', '/a/x', headers)
        process = processes[number % len(processes)]
        served += await get_status(process.callers, message) == 200
    return served


async def get_status(port, message):
    """Return the status of the response, ``None`` without a response."""
    try:
        response = await fetch(HOST, port, message, CALL_TIMEOUT_S)
    except (OSError, HttpProtocolError, curio.TaskTimeout):
        return None
    return response.status


def logged_keys(process, message_type):
    """Return the keys that log messages of a type name."""
    messages = map(json.loads, process.output_path.read_text().splitlines())
    return {
        message['key']
        for message in messages
        if message.get('message_type') == message_type
    }


@pytest.mark.parametrize('name', ODD_NUMBERS)
def test_restarted_fleet_serves_beside_an_odd_number(run_fleet, name):
    """The entry names no leaf, and the processes say which entry it is."""

    async def scenario(platform, processes):
        await start_platform(platform)
        await start_processes(processes)
        odd_leaf = await platform.add_leaf('i-odd', 's1')
        for field in NUMBER_FIELDS:
            entry = odd_leaf.entry(**{field: ODD_NUMBERS[name]})
            await platform.store.put(f'servers/i-odd-{field}', entry)
        await platform.store.delete('servers/i-odd')
        await restart_processes(processes)
        assert await count_served(processes) == REQUESTS
        assert not odd_leaf.requests
        for process in processes:
            assert logged_keys(process, 'feed:invalid_entry') >= {
                f'servers/i-odd-{field}' for field in NUMBER_FIELDS
            }

    run_fleet(scenario)
