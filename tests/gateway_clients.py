"""Clients that keep their connections to gateway processes."""

import attrs
import curio

from clementinebank.clock import now
from clementinebank.http import HttpConnection, HttpProtocolError, HttpRequest
from tests.gateway_fleet import CALL_TIMEOUT_S
from tests.gateway_process import HOST

PAUSE_S = 0.02


@attrs.frozen
class Exchange:
    """One request of a client.

    Parameters
    ----------
    instance_id : str
        Process that got the request.
    request_id, path, sent_at : str, str, float
        Id and path of the request, and runtime time in seconds at which it was
        sent.
    ended_at : float
        Runtime time in seconds of the response or failure.
    response : HttpResponse or None
        Response; ``None`` if none came.
    """

    instance_id: str
    request_id: str
    path: str
    sent_at: float
    ended_at: float
    response: object

    @property
    def status(self):
        """Return the status of the response, ``None`` without a response."""
        return None if self.response is None else self.response.status


@attrs.define(eq=False)
class KeptClients:
    """Clients of some processes, each of which keeps its connection.

    Parameters
    ----------
    choose_request : callable
        Returns the method and path of the next request.
    exchanges : list of Exchange
        Requests that have ended.
    pause_s : float
        Time between a response and the next request.
    """

    choose_request: object
    exchanges: list = attrs.Factory(list)
    pause_s: float = PAUSE_S
    _is_over: bool = False
    _tasks: list = attrs.Factory(list)
    _sent: int = 0

    async def start(self, processes, count):
        """Start this number of clients of each process."""
        for process in processes:
            for _ in range(count):
                self._tasks.append(await curio.spawn(self._send_all, process))

    async def stop(self):
        """End the clients after their last responses."""
        self._is_over = True
        for task in self._tasks:
            await task.join()

    async def _send_all(self, process):
        connection = HttpConnection(HOST, process.callers)
        while not self._is_over:
            await self._send(process, connection)
            await curio.sleep(self.pause_s)
        await connection.close()

    async def _send(self, process, connection):
        self._sent += 1
        request_id = f'{process.instance_id}-q{self._sent}'
        method, path = self.choose_request()
        headers = {
            'host': 'shop.example',
            'x-request-id': request_id,
            'x-deadline-ms': str(CALL_TIMEOUT_S * 1000),
        }
        message = HttpRequest(method, path, headers)
        sent_at = now()
        try:
            async with curio.timeout_after(CALL_TIMEOUT_S):
                if not connection.is_reusable:
                    await connection.connect()
                    sent_at = now()
                response = await connection.request(message)
        except (OSError, HttpProtocolError, curio.TaskTimeout):
            response = None
            await connection.close()
        self.exchanges.append(
            Exchange(
                process.instance_id,
                request_id,
                path,
                sent_at,
                now(),
                response,
            )
        )
