"""Fleets of gateway processes, served by the stand-ins of a test."""

import contextlib

import curio
from fleet_adapter.tests.standins import configuration, route, run_scenario

from clementinebank.clock import now
from clementinebank.http import HttpProtocolError, HttpRequest, fetch
from tests.gateway_process import DATA_CENTRE, HOST, GatewayProcess

# Time after a restart by which a fleet must serve again.
RECOVERY_S = 12
CALL_TIMEOUT_S = 2
CHECK_INTERVAL_S = 0.05


def run_fleet(
    tmp_path, instance_count, scenario, data_centres=(DATA_CENTRE,), bounds=None
):
    """Run a scenario with gateway processes, which it starts itself.

    The processes are in these data centres in turn.

    The stand-ins are served by the test itself, so it calls the processes
    without blocking.
    """
    with contextlib.ExitStack() as stack:

        async def run_with_processes(platform):
            processes = []
            for number in range(instance_count):
                process = GatewayProcess(
                    tmp_path,
                    platform.store.address,
                    f'g-{number}',
                    [processes[0].peers] if processes else [],
                    data_centre=data_centres[number % len(data_centres)],
                    bounds=bounds or {},
                )
                stack.callback(process.close)
                processes.append(process)
            await scenario(platform, processes)

        run_scenario(run_with_processes)


async def start_platform(platform):
    """Serve the store and two leafs of the route ``/a/``."""
    for leaf_id in ('i-1', 'i-2'):
        await platform.add_leaf(leaf_id, 's1')
    await put_route(platform.store, 7, '/a/')
    await platform.serve(platform.store)


async def put_route(store, version, prefix):
    """Write a configuration with one route."""
    await store.put(
        'op/config', configuration(version, route(prefix, service='s1'))
    )


async def start_processes(processes):
    """Start all processes and wait until they are ready, or for RECOVERY_S."""
    for process in processes:
        process.start()
    end = now() + RECOVERY_S
    for process in processes:
        while not await is_ready(process) and now() < end:
            await curio.sleep(CHECK_INTERVAL_S)


async def is_ready(process):
    message = HttpRequest('GET', '/v1/readiness')
    return await get_status(process.readiness, message) == 200


async def get_status(port, message):
    """Return the status of the response, ``None`` without a response."""
    try:
        response = await fetch(HOST, port, message, CALL_TIMEOUT_S)
    except (OSError, HttpProtocolError, curio.TaskTimeout):
        return None
    return response.status
