"""Guards a fleet of processes against one of them that stands still.

Fault of review/6: a leaf in need named a rate limit, and then none, while
another instance stood still. The instances that told it so closed the
connection on which they waited, and ended with all their requests.
"""

import signal

import attrs
import curio
from fleet_adapter.tests.standins import configuration, route

from clementinebank.http import (
    HttpConnection,
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
)
from tests.gateway_fleet import (
    CALL_TIMEOUT_S,
    RECOVERY_S,
    is_ready,
    run_fleet,
    start_processes,
)
from tests.gateway_process import HOST

INSTANCES = 3
CYCLES = 3
# Time in which all instances learn of a limit.
LIMITED_S = 1.0
# Connections that are opened while an instance stands still; the others have
# ended their calls to it before the last one.
NEW_CONNECTIONS = 40
KEPT_CONNECTIONS = 4
PAUSE_S = 0.01


@attrs.define
class LimitedLeaf:
    """Leaf that names a rate limit in its responses as long as it has one."""

    limit: str = ''

    async def respond(self, request, headers):
        if self.limit:
            headers['server-limit'] = self.limit
        return HttpResponse(200, headers, b'limited')


@attrs.define
class Callers:
    """Callers of one process, each of which keeps its connection."""

    process: object
    is_over: bool = False
    sent: int = 0
    failures: list = attrs.Factory(list)
    tasks: list = attrs.Factory(list)

    async def start(self):
        """Send requests until ``stop``."""
        for _ in range(KEPT_CONNECTIONS):
            self.tasks.append(await curio.spawn(self._keep_connection))

    async def stop(self):
        """End the callers after their last responses."""
        self.is_over = True
        for task in self.tasks:
            await task.join()

    async def _keep_connection(self):
        connection = HttpConnection(HOST, self.process.callers)
        while not self.is_over:
            await self._send(connection)
        await connection.close()

    async def open_more(self, count):
        """Hold connections that are opened one after the other.

        Each gets the lowest free descriptor of the process.
        """
        opened = [
            HttpConnection(HOST, self.process.callers) for _ in range(count)
        ]
        for connection in opened:
            await self._send(connection)
        for connection in opened:
            await connection.close()

    async def _send(self, connection):
        self.sent += 1
        headers = {
            'host': 'shop.example',
            'x-request-id': f'{self.process.instance_id}-{self.sent}',
            'x-deadline-ms': str(CALL_TIMEOUT_S * 1000),
        }
        message = HttpRequest('GET', '/a/x', headers)
        try:
            if not connection.is_reusable:
                await connection.connect()
            response = await connection.request(message)
        except (OSError, HttpProtocolError) as error:
            await connection.close()
            self.failures.append(repr(error))
        else:
            if response.status != 200:
                self.failures.append(response.status)
        await curio.sleep(PAUSE_S)


def test_limit_that_ends_beside_a_frozen_instance_ends_no_process(tmp_path):
    """Guard kept connections against the end of a process that has no fault."""
    leaf = LimitedLeaf()

    async def scenario(platform, processes):
        await platform.add_leaf('i-1', 's1', leaf.respond)
        await platform.add_leaf('i-2', 's1')
        await platform.store.put(
            'op/config', configuration(7, route('/a/', service='s1'))
        )
        await platform.serve(platform.store)
        await start_processes(processes)
        frozen, *others = processes
        callers = [Callers(process) for process in others]
        for each in callers:
            await each.start()
        for _ in range(CYCLES):
            leaf.limit = '1000'
            await curio.sleep(LIMITED_S)
            frozen.process.send_signal(signal.SIGSTOP)
            leaf.limit = ''
            async with curio.TaskGroup() as group:
                for each in callers:
                    await group.spawn(each.open_more, NEW_CONNECTIONS)
            frozen.process.send_signal(signal.SIGCONT)
            async with curio.timeout_after(RECOVERY_S):
                while not await is_ready(frozen):
                    await curio.sleep(PAUSE_S)
        for each in callers:
            await each.stop()
        assert [each.process.poll() for each in processes] == [None] * INSTANCES
        assert [each.failures for each in callers] == [[], []]

    run_fleet(tmp_path, INSTANCES, scenario)
