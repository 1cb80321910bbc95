"""Guards a fleet of processes against a store that comes back older.

Fault of issue 53: the store came back from a copy some seconds old and gave
its revisions out again. When it had passed the old ones before anyone watched
again, the watches went on from a revision of the history that was gone, and
whatever was written below it was never seen.
"""

import functools
import itertools

import curio
import pytest
from fleet_adapter.tests.standins import configuration, route

from clementinebank.clock import now
from tests.gateway_clients import KeptClients
from tests.gateway_fleet import run_fleet, start_processes

INSTANCES = 3
DATA_CENTRES = ('dc-1', 'dc-2')
CLIENTS_PER_PROCESS = 3
AGE_S = 1.5
AWAY_S = 0.6
LOST_WRITES = 32
NEW_WRITES = 42
# Time after a write, or the return of the store, by which the write must be in
# force: the bound of 3 s and a margin.
IN_FORCE_S = 4
OBSERVED_S = 4


@pytest.fixture(name='run_fleet')
def _run_fleet(tmp_path):
    """Return a function that runs a scenario in two data centres."""
    return functools.partial(
        run_fleet, tmp_path, INSTANCES, data_centres=DATA_CENTRES
    )


async def start_system(platform, processes):
    """Start the store, eight leafs, the processes and their clients."""
    store = platform.store
    store.era = 1
    for number in range(8):
        await add_leaf(platform, f'i-{number}', number)
    await store.put('op/config', configuration(7, route('/a/', service='s1')))
    await store.serve()
    await start_processes(processes)
    paths = itertools.cycle(('/a/x', '/b/x'))
    clients = KeptClients(lambda: ('GET', next(paths)))
    await clients.start(processes, CLIENTS_PER_PROCESS)
    return clients


async def add_leaf(platform, leaf_id, number):
    leaf = await platform.add_leaf(leaf_id, 's1')
    entry = leaf.entry(zone=DATA_CENTRES[number % 2])
    await platform.store.put(f'servers/{leaf_id}', entry)
    return leaf


async def write_heartbeats(platform, count, duration_s=0):
    """Write the entries of four leafs again and again."""
    for number in range(count):
        leaf = platform.leafs[1 + number % 4]
        zone = DATA_CENTRES[(1 + number) % 2]
        entry = leaf.entry(zone=zone, sequence=number + 2)
        await platform.store.put(f'servers/{leaf.leaf_id}', entry)
        await curio.sleep(duration_s / count)


def used_leafs(clients, since):
    """Return the leafs that served requests sent after a time."""
    return {
        each.response.body.decode().strip()
        for each in clients.exchanges
        if each.status == 200 and each.sent_at > since
    }


def test_version_below_the_lost_revisions_comes_into_force(run_fleet):
    """The added route got 404 on all processes until the next version."""

    async def scenario(platform, processes):
        store = platform.store
        clients = await start_system(platform, processes)
        copy = store.copy()
        await write_heartbeats(platform, LOST_WRITES, AGE_S)
        await store.go_away()
        await curio.sleep(AWAY_S)
        store.restore(copy)
        routes = [route(prefix, service='s1') for prefix in ('/a/', '/b/')]
        await store.put('op/config', configuration(8, *routes))
        acknowledged_at = now()
        await write_heartbeats(platform, NEW_WRITES)
        await store.serve()
        await curio.sleep(IN_FORCE_S + OBSERVED_S)
        await clients.stop()
        outcomes = [
            (each.instance_id, each.status)
            for each in clients.exchanges
            if each.path == '/b/x'
            and each.sent_at > acknowledged_at + IN_FORCE_S
        ]
        refused = [each for each in outcomes if each[1] == 404]
        served = {name for name, status in outcomes if status == 200}
        assert not refused, f'404 for {len(refused)} of {len(outcomes)}'
        assert served == {each.instance_id for each in processes}

    run_fleet(scenario)


def test_leafs_below_the_lost_revisions_are_known(run_fleet):
    """A removed leaf was used to the end, and a new one got no request."""

    async def scenario(platform, processes):
        store = platform.store
        clients = await start_system(platform, processes)
        copy = store.copy()
        lost = await add_leaf(platform, 'i-lost', 0)
        await store.delete('servers/i-0')
        await write_heartbeats(platform, LOST_WRITES, AGE_S)
        await store.go_away()
        await curio.sleep(AWAY_S)
        store.restore(copy)
        await store.put('servers/i-lost', lost.entry())
        for number in (0, 1):
            await add_leaf(platform, f'i-new-{number}', number)
        for leaf_id in ('i-0', 'i-5', 'i-6', 'i-7'):
            await store.delete(f'servers/{leaf_id}')
        returned_at = now()
        await write_heartbeats(platform, NEW_WRITES)
        await store.serve()
        await curio.sleep(IN_FORCE_S + OBSERVED_S)
        await clients.stop()
        used = used_leafs(clients, returned_at + IN_FORCE_S)
        missed = {'i-lost', 'i-new-0', 'i-new-1'} - used
        removed = {'i-0', 'i-5', 'i-6', 'i-7'} & used
        assert not (missed or removed), f'{missed=} {removed=}'

    run_fleet(scenario)
