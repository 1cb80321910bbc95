"""Drives a request: performs its actions and feeds it events."""

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


class DrivenRequest(Protocol):
    """Aggregate of one request, without I/O."""

    @property
    def next_wakeup(self) -> float:
        """Runtime time in seconds at which ``on_time`` is due."""

    def start(self, now: float) -> Sequence[Action]:
        """Begin the request."""

    def on_time(self, now: float) -> Sequence[Action]:
        """Do what is due."""

    def abandon(self, now: float) -> Sequence[Action]:
        """End the request because the caller is gone."""


@attrs.define(eq=False, kw_only=True)
class RequestRun:
    """Runs one request to its answer.

    Subclasses send and cancel calls and pass the replies on.

    Parameters
    ----------
    driven : DrivenRequest
        The request.
    """

    driven: DrivenRequest
    replies: Any = attrs.field(factory=curio.Queue)
    ending: Result[Any, Failure] | None = None

    async def run(self) -> Result[Any, Failure]:
        """Return the answer or the failure of the request."""
        try:
            return await self._drive()
        except curio.CancelledError:
            # The caller is gone: the leafs need not finish the work.
            async with curio.disable_cancellation():
                await self._perform(self.driven.abandon(now()))
            raise

    async def send(self, action: SendCall) -> None:
        """Send one call to a leaf."""
        raise NotImplementedError

    async def cancel(self, action: CancelCall) -> None:
        """Cancel one call."""
        raise NotImplementedError

    def take(
        self, call_id: str, outcome: Result[Any, Failure]
    ) -> Sequence[Action]:
        """Pass the outcome of a call to the request."""
        raise NotImplementedError

    async def _drive(self) -> Result[Any, Failure]:
        await self._perform(self.driven.start(now()))
        while self.ending is None:
            # A reply that was delivered late still counts, so the replies
            # that wait are taken before the time is looked at.
            delivered = await get_before(self.driven.next_wakeup, self.replies)
            if delivered is None:
                await self._perform(self.driven.on_time(now()))
            else:
                await self._perform(self.take(*delivered))
        return self.ending

    async def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendCall():
                    await self.send(action)
                case CancelCall():
                    await self.cancel(action)
                case Finish():
                    self.ending = Ok(action.answer)
                case Refuse():
                    self.ending = Err(action.failure)
