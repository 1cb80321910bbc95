"""Broken lives of a leaf that the matrix must catch: negative controls."""

import attrs

from tests.faults.search_fakes import FakeEngine, FakePool
from tests.faults.search_variants import CreditingQuery


@attrs.define(eq=False)
class UnawareEngine(FakeEngine):
    """Takes no notice of a leaf that states that it is draining."""

    def _on_status(self, leaf_id, status, requested_at):
        serving = attrs.evolve(status, state='serving')
        super()._on_status(leaf_id, serving, requested_at)


@attrs.define(eq=False)
class OpenPool(FakePool):
    """Keeps its connections when it is retired."""

    async def retire(self):
        self.is_retired = True


CONTROLS = {
    'work for a draining leaf': (
        'after the first signal',
        {'engine_class': UnawareEngine},
    ),
    'connections kept': ('stay open', {'pool_class': OpenPool}),
    'answer of another query': (
        'answer of another request',
        {'query_class': CreditingQuery},
    ),
}
