"""Runs a request: performs its actions and passes replies and time to it."""

from collections.abc import Iterable, Sequence
from typing import Any, Protocol

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.clock import get_before, now
from clementinebank.dispatch._actions import (
    Action,
    CancelCall,
    Finish,
    Refuse,
    SendCall,
)
from clementinebank.errors import Failure


class RequestStateMachine(Protocol):
    """State machine of one request, without I/O.

    Each method returns the actions that have to be performed next.
    """

    @property
    def next_wakeup(self) -> float:
        """Return the runtime time in seconds at which ``on_time`` is due."""

    def start(self, now: float) -> Sequence[Action]:
        """Start the request."""

    def on_time(self, now: float) -> Sequence[Action]:
        """Hedge, retry or finish what is due."""

    def abandon(self, now: float) -> Sequence[Action]:
        """End the request because the caller has disconnected."""


@attrs.define(eq=False, kw_only=True)
class RequestRun:
    """Runner of one request until it is answered or refused.

    Subclasses send and cancel calls, put the replies into the queue and
    implement how a reply is passed to the request.

    Parameters
    ----------
    state_machine : RequestStateMachine
        State machine of the request.
    replies : curio.Queue
        Pairs of call id and outcome that wait to be passed to the request.
    result : Result or None
        Answer or failure of the request, ``None`` before its end.
    """

    state_machine: RequestStateMachine
    replies: Any = attrs.field(factory=curio.Queue)
    result: Result[Any, Failure] | None = None

    async def run(self) -> Result[Any, Failure]:
        """Run the request and return its answer or failure.

        If the task is cancelled or fails, the outstanding calls are cancelled
        too, and what the request holds is given back.
        """
        try:
            return await self._process_events()
        except BaseException:
            # The caller has disconnected or gets no answer of the leafs.
            async with curio.disable_cancellation():
                await self._perform(self.state_machine.abandon(now()))
            raise

    async def send(self, action: SendCall) -> None:
        """Send one call to a leaf."""
        raise NotImplementedError

    async def cancel(self, action: CancelCall) -> None:
        """Cancel one call."""
        raise NotImplementedError

    def on_outcome(
        self, call_id: str, outcome: Result[Any, Failure]
    ) -> Sequence[Action]:
        """Pass the outcome of a call to the request; return its actions."""
        raise NotImplementedError

    async def _process_events(self) -> Result[Any, Failure]:
        await self._perform(self.state_machine.start(now()))
        while self.result is None:
            # A reply that is already in the queue counts even if this task
            # runs late, so the queue is read before the time is checked.
            reply = await get_before(
                self.state_machine.next_wakeup, self.replies
            )
            if reply is None:
                await self._perform(self.state_machine.on_time(now()))
            else:
                await self._perform(self.on_outcome(*reply))
        return self.result

    async def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendCall():
                    await self.send(action)
                case CancelCall():
                    await self.cancel(action)
                case Finish():
                    self.result = Ok(action.answer)
                case Refuse():
                    self.result = Err(action.failure)
