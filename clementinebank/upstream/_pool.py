"""Connection pool of one instance to one leaf."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs
import curio
from eliot import write_traceback
from result import Err, Ok, Result

from clementinebank.clock import now, run_before
from clementinebank.errors import Failure, Step
from clementinebank.http import (
    BufferLimit,
    HttpConnection,
    HttpProtocolError,
    HttpResponse,
)
from clementinebank.leafs import LeafEndpoint
from clementinebank.upstream._call import LeafCall, LeafReply
from clementinebank.upstream._connection import LeafConnection
from clementinebank.upstream._exchange import CONNECTION_AVOIDED
from clementinebank.upstream._protocol import LeafProtocol, SearchLeafProtocol

# Time after the deadline of a call in which its late reply is still read, so
# that the connection can be used again; after it the connection is closed.
LATE_REPLY_LIMIT_S = 1.0
CANCEL_TIMEOUT_S = 0.5


@attrs.define(eq=False)
class LeafPool:
    """Connections to one leaf, at most ``max_connections``.

    Each connection has a task. Calls wait in one queue for the next free
    connection.

    Parameters
    ----------
    leaf : LeafEndpoint
        The leaf.
    max_connections : int
        Connections that this instance may hold to the leaf.
    protocol : LeafProtocol
        Tells how replies are matched and calls are cancelled.
    connect_timeout_s : float
        Time limit for opening a connection, in seconds.
    on_connected : callable or None
        Receives the leaf and the duration of each connect in seconds.
    buffers : BufferLimit
        Bounds of the response bodies that are being read.
    keeps_connections : bool
        Whether a connection stays open after its call.
    answer_counts : Counter of str
        Answers that were told apart from the one that was due, and sends for
        which an open connection was not used.
    connection_count : int
        Number of connection tasks.
    is_retired : bool
        Whether the pool accepts no more calls.
    """

    leaf: LeafEndpoint
    max_connections: int
    protocol: LeafProtocol = attrs.Factory(SearchLeafProtocol)
    connect_timeout_s: float = float('inf')
    on_connected: Callable[[LeafEndpoint, float], None] | None = None
    buffers: BufferLimit = attrs.Factory(BufferLimit)
    keeps_connections: bool = True
    answer_counts: Counter[str] = attrs.Factory(Counter)
    connection_count: int = 0
    is_retired: bool = False
    _calls: Any = attrs.field(factory=curio.Queue)
    _idle_by_id: dict[int, LeafConnection] = attrs.Factory(dict)
    _generation: int = 0
    _calls_by_id: dict[str, LeafCall] = attrs.Factory(dict)

    async def submit(self, call: LeafCall) -> None:
        """Queue a call for the next free connection.

        A retired pool has no connections left, so the call fails at once as
        not run.
        """
        call.submitted_at = now()
        if self.is_retired:
            await self._refuse(call)
            return
        self._calls_by_id[call.call_id] = call
        await self._calls.put(call)
        waiting = self._calls.qsize()
        if (
            waiting > len(self._idle_by_id)
            and self.connection_count < self.max_connections
        ):
            self.connection_count += 1
            await curio.spawn(self._run_connection, daemon=True)

    async def cancel(self, call_id: str) -> None:
        """Cancel a call.

        A call that is not sent yet fails as expired. For a call that was
        sent, the leaf gets the cancel message of the protocol, and the
        connection stays in use until the late reply is read, so that no other
        call can receive it. If the protocol has no such message, the
        connection is aborted.
        """
        call = self._calls_by_id.get(call_id)
        if call is None or call.is_cancelled:
            return
        call.is_cancelled = True
        if not call.is_sent:
            return
        message = self.protocol.cancel_request(call_id)
        if message is None:
            if call.connection is not None:
                call.connection.abort()
            return
        await self.submit(
            LeafCall(
                f'cancel-{call_id}',
                message,
                now() + CANCEL_TIMEOUT_S,
                _ignore_reply,
            )
        )

    async def retire(self) -> None:
        """Accept no more calls and close each connection when it is free.

        Calls that are already queued are still run.
        """
        self.is_retired = True
        for _ in range(self.connection_count):
            await self._calls.put(None)

    async def resize(self, max_connections: int) -> None:
        """Change the number of connections; surplus ones end when free."""
        surplus = self.connection_count - max_connections
        self.max_connections = max_connections
        for _ in range(surplus):
            await self._calls.put(None)

    def invalidate_connections(self) -> None:
        """Use none of the open connections for further calls.

        A connection that is in use still reads its reply. The next call opens
        a new connection.
        """
        self._generation += 1

    async def close_idle(self) -> None:
        """Close idle connections now, and each other one after its reply."""
        self.invalidate_connections()
        for connection_id in list(self._idle_by_id):
            # The connection may have got a call during the last close.
            connection = self._idle_by_id.get(connection_id)
            if connection is not None:
                await connection.close()

    async def _refuse(self, call: LeafCall) -> None:
        """Fail a call that was submitted after the pool was retired."""
        message = 'the connection pool of the leaf is retired'
        failure = call.failure(
            'pool_retired', message, Step.DISPATCH, self.leaf
        )
        await call.on_reply(
            LeafReply(call.call_id, self.leaf.leaf_id, Err(failure), 0)
        )

    async def _run_connection(self) -> None:
        """Run queued calls over one connection until the pool is retired."""
        connection = LeafConnection(
            self._new_connection(), self.protocol, self.answer_counts
        )
        generation = self._generation
        try:
            while True:
                call = await self._next_call(connection)
                if call is None:
                    break
                # Checked before the call, so that it uses no outdated
                # connection, and after it, so that the connections to a
                # draining leaf are closed.
                generation = await self._close_if_outdated(
                    connection, generation
                )
                await self._run_call(connection, call)
                if not (connection.is_reusable and self.keeps_connections):
                    await connection.close()
                generation = await self._close_if_outdated(
                    connection, generation
                )
        finally:
            self.connection_count -= 1
            await connection.close()

    async def _close_if_outdated(
        self, connection: LeafConnection, generation: int
    ) -> int:
        """Close a connection of an older generation; the next call reopens it.

        Returns
        -------
        int
            The current generation.
        """
        if generation != self._generation:
            await connection.close()
        return self._generation

    async def _next_call(self, connection: LeafConnection) -> LeafCall | None:
        """Wait for a call; ``None`` ends the connection of a retired pool."""
        connection_id = id(connection)
        self._idle_by_id[connection_id] = connection
        try:
            return await self._calls.get()
        finally:
            self._idle_by_id.pop(connection_id)

    async def _run_call(
        self, connection: LeafConnection, call: LeafCall
    ) -> None:
        """Run a call and deliver its reply, which happens exactly once.

        An unexpected error ends the call only, so that neither the connection
        nor the place that the caller holds at the leaf is lost.
        """
        call.connection = connection
        try:
            outcome = await self._exchange(connection, call)
        except Exception as error:
            outcome = Err(call.unexpected(error, self.leaf))
        except BaseException:
            ended = Err(call.ended(self.leaf))
            async with curio.disable_cancellation():
                await self._end_call(connection, call, ended)
            raise
        await self._end_call(connection, call, outcome)

    async def _end_call(
        self,
        connection: LeafConnection,
        call: LeafCall,
        outcome: Result[HttpResponse, Failure],
    ) -> None:
        if isinstance(outcome, Err) or self.protocol.requires_close(
            outcome.ok_value
        ):
            await connection.close()
        call.connection = None
        # Another call may have the same id if a client repeats one.
        if self._calls_by_id.get(call.call_id) is call:
            self._calls_by_id.pop(call.call_id)
        reply = LeafReply(
            call.call_id,
            self.leaf.leaf_id,
            outcome,
            now() - call.submitted_at,
            connection.exchange if call.is_sent else None,
        )
        try:
            await call.on_reply(reply)
        except Exception:
            write_traceback()

    async def _exchange(
        self, connection: LeafConnection, call: LeafCall
    ) -> Result[HttpResponse, Failure]:
        """Send a call and return its response, or why there is none."""
        if call.is_cancelled or now() >= call.deadline:
            return Err(call.expired(self.leaf))
        step = Step.DISPATCH
        try:
            if not await self._send(connection, call):
                return Err(call.expired(self.leaf))
            step = Step.READ
            response: HttpResponse = await run_before(
                call.deadline + LATE_REPLY_LIMIT_S,
                connection.receive_answer,
                call.echoed_id,
                call.request,
            )
        except curio.TaskTimeout:
            message = 'the call timed out'
            return Err(call.failure('leaf_timeout', message, step, self.leaf))
        except (OSError, HttpProtocolError) as error:
            return Err(call.broken(error, step, self.leaf))
        return Ok(response)

    async def _send(self, connection: LeafConnection, call: LeafCall) -> bool:
        """Send the request, over a new connection if necessary.

        Returns
        -------
        bool
            Whether the request was sent; false if the call expired or was
            cancelled while the connection was opened.
        """
        if not connection.can_carry(call.echoed_id):
            if connection.is_reusable:
                self.answer_counts[CONNECTION_AVOIDED] += 1
            started = now()
            limit = min(call.deadline, started + self.connect_timeout_s)
            await run_before(limit, connection.connect)
            if self.on_connected is not None:
                self.on_connected(self.leaf, now() - started)
            # The call can expire or be cancelled during the connect.
            if call.is_cancelled or now() >= call.deadline:
                return False
        connection.begin_exchange(call.echoed_id)
        call.is_sent = True
        await run_before(call.deadline, connection.send, call.request)
        return True

    def _new_connection(self) -> HttpConnection:
        address = self.leaf.address
        return HttpConnection(
            address.host,
            address.port,
            max_body_bytes=self.buffers.max_body_bytes,
            buffers=self.buffers,
            allows_close_delimited=self.protocol.allows_close_delimited,
        )


async def _ignore_reply(reply: LeafReply) -> None:
    """Ignore the reply to a cancel message; nothing depends on it."""
