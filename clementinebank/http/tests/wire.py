"""Run server connections over socket pairs on the fake clock."""

import json

import attrs
import curio
import h11

from clementinebank.clock import FakeClockKernel
from clementinebank.http import (
    HttpLimits,
    ServerConnection,
    ServerState,
    json_response,
)

SEARCH = b'POST /search HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}'
LIMITS = HttpLimits(max_header_bytes=1000, max_body_bytes=100, max_in_flight=2)


@attrs.define
class Reply:
    """One response, as parsed by the caller."""

    status: int
    headers: dict
    body: bytes

    @property
    def error(self):
        return json.loads(self.body)['error']


@attrs.define(eq=False)
class Wire:
    """The caller's socket of a connection, and the server's side of it.

    ``handled`` lists the requests that have reached the handler.
    """

    sock: object
    connection: ServerConnection
    handled: list
    http: object = attrs.field(factory=lambda: h11.Connection(h11.CLIENT))

    async def send(self, payload):
        await self.sock.sendall(payload)

    async def read_raw(self):
        received = bytearray()
        while chunk := await self.sock.recv(65536):
            received += chunk
        return bytes(received)

    async def replies(self):
        """Half-close the connection and return all responses."""
        await self.sock.shutdown(1)
        return parse_replies(await self.read_raw())


def parse_replies(raw):
    """Split the bytes that a server sent into responses."""
    replies = []
    while raw:
        head, _, rest = raw.partition(b'\r\n\r\n')
        lines = head.decode().split('\r\n')
        headers = {
            name.lower(): text.strip()
            for name, _, text in (line.partition(':') for line in lines[1:])
        }
        length = int(headers.get('content-length', 0))
        status = int(lines[0].split()[1])
        assert len(rest) >= length
        replies.append(Reply(status, headers, rest[:length]))
        raw = rest[length:]
    return replies


async def open_wire(
    handler=None, limits=LIMITS, connection_type=ServerConnection, failures=None
):
    """Connect a caller to a new server connection.

    Without a handler, the n-th request is answered with ``{"number": n}``.
    """
    handled = []

    async def record(request):
        handled.append(request)
        if handler is not None:
            return await handler(request)
        return json_response(200, {'number': len(handled)})

    state = ServerState(
        record, limits, None if failures is None else failures.append
    )
    ours, theirs = curio.socket.socketpair()
    connection = connection_type(theirs, state)
    state.add(connection)
    connection.task = await curio.spawn(connection.run, daemon=True)
    return Wire(ours, connection, handled)


def run_on_fake_clock(corofunc, *arguments):
    """Run a coroutine function in a new kernel on the fake clock."""
    with FakeClockKernel() as kernel:
        return kernel.run(corofunc, *arguments)
