"""Broken searches that the matrix must catch: negative controls."""

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

LATE_S = 1


@contextlib.contextmanager
def without_run_time_checks(**replaced):
    """Let only the checks of the matrix object to an untrue answer."""
    replaced.setdefault('meets_invariants', lambda *args: True)
    originals = {name: getattr(query_module, name) for name in replaced}
    for name, stand_in in replaced.items():
        setattr(query_module, name, stand_in)
    try:
        yield
    finally:
        for name, original in originals.items():
            setattr(query_module, name, original)


class MixedQuery(Query):
    """Keeps the parts of the snapshot that it leaves."""

    def _pin(self, pinned, now):
        kept = {
            group_id: shard
            for group_id, shard in self._shards_by_group.items()
            if shard.is_answered
        }
        actions = super()._pin(pinned, now)
        self._shards_by_group.update(kept)
        return actions


class BoastingQuery(Query):
    """States that every shard answered."""

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
        self.dispatcher.finish_at += LATE_S
        return actions


class SilentQuery(Query):
    """Has no timers and ignores failures, so that it never ends."""

    def on_failure(self, attempt_id, failure, now):
        return []

    @property
    def next_wakeup(self):
        return self.request.deadline + 1e6


class RepeatingQuery(Query):
    """Answers twice."""

    def _finish(self, now):
        actions = super()._finish(now)
        return [*actions, actions[-1]]


class DenyingQuery(Query):
    """States that nothing was run."""

    def _refuse(self, failure, now):
        super()._refuse(failure, now)
        return [Refuse(attrs.evolve(failure, execution=Execution.NOT_RUN))]


class CreditingQuery(Query):
    """Answers with what another query got."""

    latest = []

    def _finish(self, now):
        actions = super()._finish(now)
        if isinstance(actions[-1], Finish):
            self.latest.append(actions[-1])
            return [*actions[:-1], self.latest[0]]
        return actions


class TrustingConnection(FakeConnection):
    """Takes every reply for the reply to its own request."""

    async def send(self, request):
        self.own_id = request.headers.get('request-id', '')
        await super().send(request)

    async def receive(self):
        reply = await super().receive()
        if reply.status != 200:
            return reply
        body = json.loads(reply.body)
        body['request_id'] = self.own_id
        return attrs.evolve(
            reply,
            headers={**reply.headers, 'request-id': self.own_id},
            body=json.dumps(body).encode(),
        )


@attrs.define(eq=False)
class TrustingPool(FakePool):
    """Pool of connections that check no ids."""

    def _new_connection(self):
        return TrustingConnection(self.world, self.leaf.leaf_id, self.engine)


@attrs.define(eq=False)
class StuckPool(FakePool):
    """Loses a connection with every failed call."""

    async def _exchange(self, connection, call):
        outcome = await super()._exchange(connection, call)
        if not isinstance(outcome, Ok):
            await curio.Event().wait()
        return outcome


@attrs.define(eq=False)
class DeafEngine(FakeEngine):
    """Ignores changes of the document once it runs."""

    async def update(self, service, document):
        if not self.leaf_pools.pools_by_leaf:
            await super().update(service, document)


def _keep_all(reply, shard, partition_map):
    return reply.records


def _merge_all(shards):
    return [record for shard in shards for record in shard.records or ()]


@attrs.frozen
class Control:
    """A variant, the problem it must cause and the faults that show it."""

    expected: str
    variant: dict
    replaced: dict = attrs.Factory(dict)


CONTROLS = {
    'mixed snapshots': Control('R1', {'query_class': MixedQuery}),
    'false coverage': Control('R2', {'query_class': BoastingQuery}),
    'record twice': Control(
        'returns a record twice',
        {},
        {'owned_records': _keep_all, 'merge_records': _merge_all},
    ),
    'late': Control('s late', {'query_class': LateQuery}),
    'silent': Control('has no answer', {'query_class': SilentQuery}),
    'answered twice': Control(
        'more than one answer', {'query_class': RepeatingQuery}
    ),
    'false not_run': Control('R4', {'query_class': DenyingQuery}),
    'answer of another query': Control(
        'answer of another request', {'query_class': CreditingQuery}
    ),
    'reply of another request': Control(
        'answer of another request', {'pool_class': TrustingPool}
    ),
    'no recovery': Control('after the faults', {'pool_class': StuckPool}),
    'work for a removed leaf': Control('R6', {'engine_class': DeafEngine}),
}
