"""Broken lives of a leaf that the matrix must catch: negative controls."""

import attrs

from tests.faults.search_fakes import FakeEngine, FakePool
from tests.faults.search_variants import CreditingQuery


@attrs.define(eq=False)
class UnawareEngine(FakeEngine):
    """Takes no notice of a leaf that states that it is draining."""

    def _take_status(self, pool, group_id, reply, requested_at):
        if reply.outcome.is_ok():
            response = reply.outcome.ok_value
            body = response.body.replace(b'draining', b'serving')
            outcome = reply.outcome.map(
                lambda each: attrs.evolve(each, body=body)
            )
            reply = attrs.evolve(reply, outcome=outcome)
        super()._take_status(pool, group_id, reply, requested_at)


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
