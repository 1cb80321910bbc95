"""Broken variants of the search path: negative controls of the matrix.

Each breaks one guarantee, and the checks of the search path must report it.
"""

import contextlib
import json

import attrs
import curio
from result import Ok

from clementinebank.errors import Execution
from clementinebank.search import Finish, Query, Refuse
from clementinebank.search import _query as query_module
from tests.faults.search_fakes import (
    FakeConnection,
    FakeEngine,
    FakePool,
)

# Time by which ``LateQuery`` exceeds its deadline.
LATE_BY_S = 1


@contextlib.contextmanager
def without_run_time_checks(**replaced):
    """Replace functions of the query module while the context lasts.

    The query's own check of its answer always passes, so that a false answer
    is left to the checks of the matrix.

    Parameters
    ----------
    **replaced : callable
        Replacements by name of the function in the query module.
    """
    replaced.setdefault('meets_invariants', lambda *args: True)
    originals = {name: getattr(query_module, name) for name in replaced}
    for name, replacement in replaced.items():
        setattr(query_module, name, replacement)
    try:
        yield
    finally:
        for name, original in originals.items():
            setattr(query_module, name, original)


class MixedSnapshotsQuery(Query):
    """Keeps the replies from the previous snapshot when it pins another."""

    def _pin(self, pinned, now):
        kept = {
            group_id: shard
            for group_id, shard in self._shards_by_group.items()
            if shard.is_answered
        }
        actions = super()._pin(pinned, now)
        self._shards_by_group.update(kept)
        return actions


class OverstatingQuery(Query):
    """States in its coverage that every shard answered."""

    def _coverage(self):
        coverage = super()._coverage()
        shards = {
            group_id: attrs.evolve(shard, missing_reason=None)
            for group_id, shard in coverage.shards_by_group.items()
        }
        return attrs.evolve(coverage, shards_by_group=shards)


class LateQuery(Query):
    """Answers after its deadline."""

    def start(self, now):
        actions = super().start(now)
        self.dispatcher.finish_at += LATE_BY_S
        return actions


class SilentQuery(Query):
    """Has no timers and ignores failures, so that it never ends."""

    def on_failure(self, attempt_id, failure, now):
        return []

    @property
    def next_wakeup(self):
        return self.request.deadline + 1e6


class RepeatingQuery(Query):
    """Ends with the same answer twice."""

    def _finish(self, now):
        actions = super()._finish(now)
        return [*actions, actions[-1]]


class FalseNotRunQuery(Query):
    """States in every refusal that nothing was run."""

    def _refuse(self, failure, now):
        super()._refuse(failure, now)
        return [Refuse(attrs.evolve(failure, execution=Execution.NOT_RUN))]


class FirstAnswerQuery(Query):
    """Returns the answer of the first query for every later query."""

    answers = []

    def _finish(self, now):
        actions = super()._finish(now)
        if isinstance(actions[-1], Finish):
            self.answers.append(actions[-1])
            return [*actions[:-1], self.answers[0]]
        return actions


class UncheckedIdConnection(FakeConnection):
    """Replaces the request id of every reply by that of its own request."""

    async def send(self, request):
        self.own_request_id = request.headers.get('request-id', '')
        await super().send(request)

    async def receive(self):
        reply = await super().receive()
        if reply.status != 200:
            return reply
        body = json.loads(reply.body)
        body['request_id'] = self.own_request_id
        return attrs.evolve(
            reply,
            headers={**reply.headers, 'request-id': self.own_request_id},
            body=json.dumps(body).encode(),
        )


@attrs.define(eq=False)
class UncheckedIdPool(FakePool):
    """Pool of connections that accept replies to other requests."""

    def _new_connection(self):
        return UncheckedIdConnection(
            self.simulation, self.leaf.leaf_id, self.engine
        )


@attrs.define(eq=False)
class LeakingPool(FakePool):
    """Never frees the connection of a failed call."""

    async def _exchange(self, connection, call):
        outcome = await super()._exchange(connection, call)
        if not isinstance(outcome, Ok):
            await curio.Event().wait()
        return outcome


@attrs.define(eq=False)
class StaleSettingsEngine(FakeEngine):
    """Ignores changes of the document after its start."""

    async def update(self, service, document):
        if not self.leaf_pools.pools_by_leaf:
            await super().update(service, document)


def _keep_all_records(reply, shard, partition_map):
    return reply.records


def _keep_duplicates(shards):
    return [record for shard in shards for record in shard.records or ()]


@attrs.frozen
class Control:
    """A broken variant and the problem that a run of it must report.

    Parameters
    ----------
    expected : str
        Text that the problem contains.
    variant : dict
        Arguments of ``SearchSimulation`` that select the broken class.
    replaced : dict
        Replacements of functions of the query module, by name.
    """

    expected: str
    variant: dict
    replaced: dict = attrs.Factory(dict)


CONTROLS = {
    'mixed snapshots': Control('R1', {'query_class': MixedSnapshotsQuery}),
    'false coverage': Control('R2', {'query_class': OverstatingQuery}),
    'record twice': Control(
        'returns a record twice',
        {},
        {'owned_records': _keep_all_records, 'merge_records': _keep_duplicates},
    ),
    'late': Control('s late', {'query_class': LateQuery}),
    'silent': Control('has no answer', {'query_class': SilentQuery}),
    'answered twice': Control(
        'more than one answer', {'query_class': RepeatingQuery}
    ),
    'false not_run': Control('R4', {'query_class': FalseNotRunQuery}),
    'answer of another query': Control(
        'answer of another request', {'query_class': FirstAnswerQuery}
    ),
    'reply of another request': Control(
        'answer of another request', {'pool_class': UncheckedIdPool}
    ),
    'no recovery': Control('after the faults', {'pool_class': LeakingPool}),
    'work for a removed leaf': Control(
        'R6', {'engine_class': StaleSettingsEngine}
    ),
}
