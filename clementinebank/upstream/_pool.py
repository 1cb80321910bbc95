"""Connections of one instance to one leaf."""

from collections.abc import Awaitable, Callable
from typing import Any, cast

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.clock import now, run_before
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import (
    HttpConnection,
    HttpProtocolError,
    HttpRequest,
    HttpResponse,
)
from clementinebank.leafs import LeafSettings
from clementinebank.upstream._protocol import LeafProtocol, SearchLeafProtocol

# A reply that comes later than this after its deadline costs a connection.
LATE_REPLY_LIMIT_S = 1.0
CANCEL_TIMEOUT_S = 0.5


@attrs.frozen
class LeafReply:
    """End of one call to a leaf.

    Parameters
    ----------
    call_id : str
        Id of the call.
    leaf_id : str
        Leaf that was called.
    outcome : Result
        The response, or the failure with its step and execution.
    elapsed_s : float
        Time since the call was submitted, in seconds.
    """

    call_id: str
    leaf_id: str
    outcome: Result[HttpResponse, Failure]
    elapsed_s: float


Deliver = Callable[[LeafReply], Awaitable[None]]


@attrs.define(eq=False)
class LeafCall:
    """One request to a leaf.

    Parameters
    ----------
    call_id : str
        Unique id of the call.
    request : HttpRequest
        What is sent.
    deadline : float
        Runtime time in seconds after which nothing is started.
    deliver : callable
        Coroutine function that receives the reply exactly once.
    echoed_id : str
        Id that the leaf must echo; the id of the call by default.
    """

    call_id: str
    request: HttpRequest
    deadline: float
    deliver: Deliver
    submitted_at: float = 0
    is_sent: bool = False
    is_cancelled: bool = False
    echoed_id: str = attrs.field()

    @echoed_id.default
    def _use_call_id(self) -> str:
        return self.call_id


@attrs.define(eq=False)
class LeafPool:
    """At most ``share`` connections to one leaf, one task for each.

    Parameters
    ----------
    leaf : LeafSettings
        The leaf.
    share : int
        Connections that this instance may hold to the leaf.
    protocol : LeafProtocol
        How replies are matched and calls are cancelled.
    connect_timeout_s : float
        Longest time of a connect in seconds.
    on_connected : callable or None
        Receives the leaf and the time of each connect in seconds.
    """

    leaf: LeafSettings
    share: int
    protocol: LeafProtocol = attrs.Factory(SearchLeafProtocol)
    connect_timeout_s: float = float('inf')
    on_connected: Callable[[LeafSettings, float], None] | None = None
    open_connections: int = 0
    is_retired: bool = False
    _calls: Any = attrs.field(factory=curio.Queue)
    _idle_by_number: dict[int, HttpConnection] = attrs.Factory(dict)
    _generation: int = 0
    _calls_by_id: dict[str, LeafCall] = attrs.Factory(dict)
    _connections_by_call: dict[str, HttpConnection] = attrs.Factory(dict)

    async def submit(self, call: LeafCall) -> None:
        """Queue a call for the next free connection.

        A retired pool has no connection that could take it; the call then
        fails at once as not run.
        """
        call.submitted_at = now()
        if self.is_retired:
            await self._refuse(call)
            return
        self._calls_by_id[call.call_id] = call
        await self._calls.put(call)
        waiting = self._calls.qsize()
        if (
            waiting > len(self._idle_by_number)
            and self.open_connections < self.share
        ):
            self.open_connections += 1
            await curio.spawn(self._run_connection, daemon=True)

    async def cancel(self, call_id: str) -> None:
        """Cancel a call: unsent it is dropped, sent the leaf is told.

        Where the protocol has a message for it, the connection stays in use
        until the late reply was read, so that no other call can see it.
        Otherwise the connection is ended.
        """
        call = self._calls_by_id.get(call_id)
        if call is None or call.is_cancelled:
            return
        call.is_cancelled = True
        if not call.is_sent:
            return
        message = self.protocol.cancel_request(call_id)
        if message is None:
            self._connections_by_call[call_id].abort()
            return
        await self.submit(
            LeafCall(
                f'cancel-{call_id}',
                message,
                now() + CANCEL_TIMEOUT_S,
                _discard,
            )
        )

    async def retire(self) -> None:
        """Close every connection after its reply; accept no more calls."""
        self.is_retired = True
        for _ in range(self.open_connections):
            await self._calls.put(None)

    def distrust(self) -> None:
        """Let no further call use a connection that is open now.

        A connection that is in use still reads its reply.
        """
        self._generation += 1

    async def close_idle(self) -> None:
        """Close idle connections now and the others after their reply."""
        self.distrust()
        for number in list(self._idle_by_number):
            # It may have got a call while another one was closed.
            connection = self._idle_by_number.get(number)
            if connection is not None:
                await connection.close()

    async def _refuse(self, call: LeafCall) -> None:
        message = 'the leaf was removed from the document'
        failure = self._failure('pool_retired', message, Step.DISPATCH, call)
        await call.deliver(
            LeafReply(call.call_id, self.leaf.leaf_id, Err(failure), 0)
        )

    async def _run_connection(self) -> None:
        connection = self._new_connection()
        generation = self._generation
        try:
            while True:
                call = await self._next_call(connection)
                if call is None:
                    break
                # Checked before the call and, so that a leaf that drains
                # loses its connections, also after it.
                generation = await self._renew(connection, generation)
                await self._run_call(connection, call)
                if not connection.is_reusable:
                    await connection.close()
                generation = await self._renew(connection, generation)
        finally:
            self.open_connections -= 1
            await connection.close()

    async def _renew(self, connection: HttpConnection, generation: int) -> int:
        """Close a connection of an older generation; the next call opens it."""
        if generation != self._generation:
            await connection.close()
        return self._generation

    async def _next_call(self, connection: HttpConnection) -> LeafCall | None:
        number = id(connection)
        self._idle_by_number[number] = connection
        try:
            return await self._calls.get()
        finally:
            self._idle_by_number.pop(number)

    async def _run_call(
        self, connection: HttpConnection, call: LeafCall
    ) -> None:
        self._connections_by_call[call.call_id] = connection
        outcome = await self._exchange(connection, call)
        if isinstance(outcome, Err) or self.protocol.ends_connection(
            outcome.ok_value
        ):
            await connection.close()
        self._connections_by_call.pop(call.call_id)
        self._calls_by_id.pop(call.call_id, None)
        await call.deliver(
            LeafReply(
                call.call_id,
                self.leaf.leaf_id,
                outcome,
                now() - call.submitted_at,
            )
        )

    async def _exchange(
        self, connection: HttpConnection, call: LeafCall
    ) -> Result[HttpResponse, Failure]:
        if call.is_cancelled or now() >= call.deadline:
            return Err(self._expired(call))
        step = Step.DISPATCH
        try:
            if not await self._send(connection, call):
                return Err(self._expired(call))
            step = Step.READ
            response = await self._receive(connection, call)
        except curio.TaskTimeout:
            message = 'no reply in time'
            return Err(self._failure('leaf_timeout', message, step, call))
        except (OSError, HttpProtocolError) as error:
            return Err(self._failure('leaf_broken', str(error), step, call))
        if self.protocol.echoed_id(response) != call.echoed_id:
            message = 'the reply is of another request'
            return Err(self._failure('leaf_mismatch', message, step, call))
        return Ok(response)

    async def _receive(
        self, connection: HttpConnection, call: LeafCall
    ) -> HttpResponse:
        """Return the response; a late one to an earlier call is passed over."""
        limit = call.deadline + LATE_REPLY_LIMIT_S
        response: HttpResponse = await run_before(limit, connection.receive)
        is_own = self.protocol.echoed_id(response) == call.echoed_id
        if is_own or not self.protocol.sends_late_responses:
            return response
        return cast(
            HttpResponse,
            await run_before(limit, connection.receive_next, call.request),
        )

    async def _send(self, connection: HttpConnection, call: LeafCall) -> bool:
        """Send the request, or return that the call has ended before."""
        if not connection.is_reusable:
            started = now()
            limit = min(call.deadline, started + self.connect_timeout_s)
            await run_before(limit, connection.connect)
            if self.on_connected is not None:
                self.on_connected(self.leaf, now() - started)
            # Connecting takes time, in which the call can end.
            if call.is_cancelled or now() >= call.deadline:
                return False
        call.is_sent = True
        await run_before(call.deadline, connection.send, call.request)
        return True

    def _expired(self, call: LeafCall) -> Failure:
        message = 'cancelled or expired before it was sent'
        return self._failure('expired', message, Step.DISPATCH, call)

    def _failure(
        self, code: str, message: str, step: Step, call: LeafCall
    ) -> Failure:
        return Failure(
            code,
            message,
            step,
            peer=f'{self.leaf.leaf_id} ({self.leaf.address})',
            execution=(
                Execution.UNKNOWN if call.is_sent else Execution.NOT_RUN
            ),
        )

    def _new_connection(self) -> HttpConnection:
        address = self.leaf.address
        return HttpConnection(
            address.host,
            address.port,
            allows_unframed=self.protocol.allows_unframed,
        )


async def _discard(reply: LeafReply) -> None:
    """Ignore the reply of a cancel message, which needs no answer."""
