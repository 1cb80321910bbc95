"""Guards a fleet of processes against odd entries in the store.

Fault of issue 45: the registration of a leaf had a number far beyond 64 bits.
All processes were restarted, read the entry, failed to decode it and read all
entries again for as long as it stood, so that none got ready.
"""

import functools

import curio
import pytest
from fleet_adapter.tests.standins import StandInLeaf

from clementinebank.clock import now
from clementinebank.http import HttpRequest
from clementinebank.validation import Address
from tests.gateway_fleet import (
    CALL_TIMEOUT_S,
    CHECK_INTERVAL_S,
    RECOVERY_S,
    get_status,
    put_route,
    run_fleet,
    start_platform,
    start_processes,
)
from tests.gateway_process import HOST

INSTANCES = 3
# Time after a change of the configuration by which it must be in force.
CHANGE_S = 3
REQUESTS = 24
# Text that JSON can hold, but no encoding of Unicode.
SURROGATE = '\ud800'
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


@pytest.fixture(name='run_fleet')
def _run_fleet(tmp_path):
    """Return a function that runs a scenario with gateway processes."""
    return functools.partial(run_fleet, tmp_path, INSTANCES)


async def restart_processes(processes):
    """End all processes at once and start them again."""
    for process in processes:
        process.kill()
    await start_processes(processes)


async def count_served(processes, prefix='/a/'):
    """Return how many of ``REQUESTS`` requests are served."""
    served = 0
    for number in range(REQUESTS):
        headers = {
            'host': 'shop.example',
            'x-request-id': f'q{number}',
            'x-deadline-ms': str(CALL_TIMEOUT_S * 1000),
        }
        message = HttpRequest('GET', f'{prefix}x', headers)
        process = processes[number % len(processes)]
        served += await get_status(process.callers, message) == 200
    return served


def logs_invalid_entry(process, key):
    """Return whether the log of a process names an entry as invalid."""
    lines = process.output_path.read_text().splitlines()
    return any(
        '"feed:invalid_entry"' in line and f'"{key}"' in line for line in lines
    )


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
            for field in NUMBER_FIELDS:
                assert logs_invalid_entry(process, f'servers/i-odd-{field}')

    run_fleet(scenario)


async def check_fleet_beside(platform, processes, put_odd_entries):
    """Check that a fleet serves and applies changes beside odd entries.

    They are written while it runs, and stand when it is restarted.
    """
    await start_platform(platform)
    await start_processes(processes)
    await put_odd_entries(platform.store)
    await check_route_comes_into_force(platform, processes, 8, '/b/')
    await restart_processes(processes)
    assert await count_served(processes, '/b/') == REQUESTS
    await check_route_comes_into_force(platform, processes, 9, '/c/')


async def check_route_comes_into_force(platform, processes, version, prefix):
    """Check that all processes serve a route that replaces all others."""
    await put_route(platform.store, version, prefix)
    end = now() + CHANGE_S
    served = 0
    while served < REQUESTS and now() < end:
        await curio.sleep(CHECK_INTERVAL_S)
        served = await count_served(processes, prefix)
    assert served == REQUESTS


def entry_of(leaf_id, **changes):
    """Return a registration at an address where nothing listens."""
    leaf = StandInLeaf(leaf_id, 's1', address=Address(HOST, 1))
    return leaf.entry(**changes)


def relay_record(**changes):
    return {
        'instance_id': 'g-9',
        'address': f'{HOST}:1',
        'fleet_share': 1,
        **changes,
    }


# Values of entries that keep to no form.
ODD_VALUES = {
    'empty': b'',
    'json': b'\xff{',
    'list': ['no mapping'],
    'fields': {},
    'depth': b'[' * 2000 + b']' * 2000,
}
ODD_CONTENT = {
    **{
        f'{prefix}/odd-{name}': content
        for prefix in ('servers', 'op/evacuate', 'relays')
        for name, content in ODD_VALUES.items()
    },
    'servers/odd-service': entry_of('odd-service', service=SURROGATE),
    'servers/odd-zone': entry_of('odd-zone', zone=SURROGATE),
    'relays/odd-name': relay_record(instance_id=SURROGATE),
    'relays/odd-share': relay_record(fleet_share=10**400),
    'relays/odd-cores': relay_record(aggregators={f'{HOST}:1': 10**400}),
}


def test_odd_content_costs_itself_alone(run_fleet):
    async def scenario(platform, processes):
        async def put(store):
            for key, content in ODD_CONTENT.items():
                await store.put(key, content)

        await check_fleet_beside(platform, processes, put)

    run_fleet(scenario)


# Fields that a store should not send, by the key of their item.
ODD_FIELDS = {
    'servers/odd-1': {'value': 'ł'},
    'servers/odd-2': {'value': 3},
    'servers/odd-3': {'value': None},
    'servers/odd-4': {'key': 3},
    'servers/odd-5': {'key': f'servers/{SURROGATE}'},
    'servers/odd-6': {'revision': 2**70},
    'servers/odd-7': {'revision': float('inf')},
    'servers/odd-8': {'revision': -1},
    'servers/odd-9': {'revision': None},
}


def test_odd_items_cost_themselves_alone(run_fleet):
    async def scenario(platform, processes):
        async def put(store):
            store.odd_fields_by_key.update(ODD_FIELDS)
            for key in ODD_FIELDS:
                await store.put(key, {})

        await check_fleet_beside(platform, processes, put)

    run_fleet(scenario)


def test_odd_record_of_the_own_data_centre_is_replaced(run_fleet):
    """Otherwise no relay registers and every instance watches the store."""

    async def scenario(platform, processes):
        await start_platform(platform)
        await platform.store.put('relays/dc-1', b'\xff{')
        await start_processes(processes)
        end = now() + RECOVERY_S
        while platform.store.content_of('relays/dc-1') == b'\xff{':
            assert now() < end, 'no relay has registered'
            await curio.sleep(CHECK_INTERVAL_S)
        assert await count_served(processes) == REQUESTS

    run_fleet(scenario)
