"""Broken variants of the document path: negative controls of the matrix.

Each breaks one guarantee, and the checks of the document path must report it.
"""

import attrs
import curio
from result import Ok

from clementinebank.distribution import DocumentState
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.document import AcceptChange
from clementinebank.document._result import Outcome

# Revision that is in force in every instance before the change.
LAST_APPLIED_REVISION = 2
# Longer than the time limit of the matrix for a result.
RESULT_DELAY_S = 16


@attrs.define(eq=False)
class RevertingReader(HeadReader):
    """Puts an older head in force after a restore of the key-value service."""

    async def _write_back(self, restored, version, read_at):
        self.exchange.state.head = restored
        return True


@attrs.define
class StaleDocumentState(DocumentState):
    """Ignores every revision above the one before the change."""

    def apply(self, head, source):
        if self.revision >= LAST_APPLIED_REVISION:
            return Ok(False)
        return super().apply(head, source)

    def apply_delta(self, delta, source):
        if self.revision >= LAST_APPLIED_REVISION:
            return Ok(False)
        return super().apply_delta(delta, source)


@attrs.frozen
class FalseRefusalAccept(AcceptChange):
    """Reports a change as refused although its outcome is unknown."""

    async def run(self, change):
        result = await super().run(change)
        if result.outcome is Outcome.UNKNOWN:
            return attrs.evolve(result, outcome=Outcome.REFUSED)
        return result


@attrs.frozen
class AlwaysAcceptedAccept(AcceptChange):
    """Reports every change as accepted."""

    async def run(self, change):
        result = await super().run(change)
        return attrs.evolve(result, outcome=Outcome.ACCEPTED)


@attrs.frozen
class SlowAccept(AcceptChange):
    """Accepts the change only after the time limit."""

    async def run(self, change):
        await curio.sleep(RESULT_DELAY_S)
        return await super().run(change)


@attrs.frozen
class HangingAccept(AcceptChange):
    """Never returns when the outcome of the change is unknown."""

    async def run(self, change):
        result = await super().run(change)
        if result.outcome is Outcome.UNKNOWN:
            await curio.Event().wait()
        return result


@attrs.frozen
class RefusingAccept(AcceptChange):
    """Reports a conflict when a change that is in force is repeated."""

    async def run(self, change):
        if self.get_head_in_force().find_change(change.change_id):
            return attrs.evolve(
                await super().run(change), outcome=Outcome.CONFLICT
            )
        return await super().run(change)


# By name of the control: text of the problem that a run must report, and the
# arguments of ``DocumentSimulation`` that select the broken class.
CONTROLS = {
    'reverts': ('R8 reverted', {'reader_class': RevertingReader}),
    'not distributed': ('not in force', {'state_class': StaleDocumentState}),
    'false acceptance': (
        'not in force',
        {'accept_class': AlwaysAcceptedAccept},
    ),
    'false refusal': ('R4', {'accept_class': FalseRefusalAccept}),
    'late result': ('R3 change', {'accept_class': SlowAccept}),
    'no result': ('no result', {'accept_class': HangingAccept}),
    'refuses repeat': ('repeated', {'accept_class': RefusingAccept}),
}
