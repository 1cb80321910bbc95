"""Broken variants of the leaf path: negative controls of the matrix.

Each mishandles a leaf that leaves, and the checks of the path must report it.
"""

import attrs

from tests.faults.search_fakes import FakeEngine, FakePool
from tests.faults.search_variants import FirstAnswerQuery


@attrs.define(eq=False)
class DrainIgnoringEngine(FakeEngine):
    """Treats a leaf that reports that it is draining as serving."""

    def _on_status(self, leaf_id, status, requested_at):
        serving = attrs.evolve(status, state='serving')
        super()._on_status(leaf_id, serving, requested_at)


@attrs.define(eq=False)
class LeakingRetiredPool(FakePool):
    """Leaves its connections open when it is retired."""

    async def retire(self):
        self.is_retired = True


# By name of the control: text of the problem that a run must report, and the
# arguments of ``LeafSimulation`` that select the broken class.
CONTROLS = {
    'work for a draining leaf': (
        'after the first signal',
        {'engine_class': DrainIgnoringEngine},
    ),
    'connections kept': ('stay open', {'pool_class': LeakingRetiredPool}),
    'answer of another query': (
        'answer of another request',
        {'query_class': FirstAnswerQuery},
    ),
}
