"""Broken document paths that the matrix must catch: negative controls."""

import attrs
import curio
from result import Ok

from clementinebank.distribution import DocumentState
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.document import AcceptChange
from clementinebank.document._result import Outcome

LAST_REVISION = 2
SLOW_S = 16


@attrs.define(eq=False)
class RevertingReader(HeadReader):
    """Takes a restored older record for the newest one."""

    async def _write_back(self, restored, version, read_at):
        self.exchange.state.head = restored
        return True


@attrs.define
class DeafState(DocumentState):
    """Takes no revision after the one that it started with."""

    def apply(self, head, source):
        if self.revision >= LAST_REVISION:
            return Ok(False)
        return super().apply(head, source)

    def apply_delta(self, delta, source):
        if self.revision >= LAST_REVISION:
            return Ok(False)
        return super().apply_delta(delta, source)


@attrs.frozen
class DenyingAccept(AcceptChange):
    """States that an unknown change was refused."""

    async def run(self, change):
        result = await super().run(change)
        if result.outcome is Outcome.UNKNOWN:
            return attrs.evolve(result, outcome=Outcome.REFUSED)
        return result


@attrs.frozen
class HastyAccept(AcceptChange):
    """States that every change was accepted."""

    async def run(self, change):
        result = await super().run(change)
        return attrs.evolve(result, outcome=Outcome.ACCEPTED)


@attrs.frozen
class SlowAccept(AcceptChange):
    """Gives the result after the time limit."""

    async def run(self, change):
        await curio.sleep(SLOW_S)
        return await super().run(change)


@attrs.frozen
class SilentAccept(AcceptChange):
    """Gives no result for a change whose outcome is unknown."""

    async def run(self, change):
        result = await super().run(change)
        if result.outcome is Outcome.UNKNOWN:
            await curio.Event().wait()
        return result


@attrs.frozen
class RefusingAccept(AcceptChange):
    """Refuses a change that is in force when it is repeated."""

    async def run(self, change):
        if self.head_in_force().find_change(change.change_id):
            return attrs.evolve(
                await super().run(change), outcome=Outcome.CONFLICT
            )
        return await super().run(change)


# The expected problem and the variant that causes it.
CONTROLS = {
    'reverts': ('R8 reverted', {'reader_class': RevertingReader}),
    'not distributed': ('not in force', {'state_class': DeafState}),
    'false acceptance': ('not in force', {'accept_class': HastyAccept}),
    'false refusal': ('R4', {'accept_class': DenyingAccept}),
    'late result': ('R3 change', {'accept_class': SlowAccept}),
    'no result': ('no result', {'accept_class': SilentAccept}),
    'refuses repeat': ('repeated', {'accept_class': RefusingAccept}),
}
