"""One instance, its search engine and fake leafs under faults."""

import json

import attrs
import curio
from result import Err

from clementinebank.clock import FakeClockKernel, now
from clementinebank.document import Document, FleetSettings
from clementinebank.errors import Execution
from clementinebank.http import HttpProtocolError, json_response
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.search import Query, SearchRequest
from clementinebank.search import _engine as engine_module
from clementinebank.search.tests.simulation import (
    DEADLINE_S,
    GROUPS,
    PARTITION_COUNT,
    PARTITIONS_PER_GROUP,
    YARDS,
    make_service,
)
from tests.faults.search_fakes import (
    FakeConnection,
    FakeEngine,
    FakePool,
    Searched,
    StepHooks,
)

SERVICE_S = 0.008
DELAY_S = 0.4
RECORDS_PER_PARTITION = 2
CONCURRENT = 3
# Between the end of the faults and the last search; the ejection of a leaf
# and the time limits of late replies are shorter.
RECOVERY_S = 12
ANSWER_LIMIT_S = 60
CUT_GROUP = 'g0'
CUT_DATA_CENTRE = 'dc-a'
SLOW_GROUP = 'g1'
REMOVED_LEAF = 'g2-a'
TOLERANCE_S = 0.001
# Enough for a move of every concurrent query to another snapshot.
TOKENS = 30
LEAVING_LIMIT_S = 3


@attrs.define(eq=False)
class SearchWorld:
    """Leafs, their index, the faults in force and what was observed."""

    on_step: object
    query_class: type = Query
    pool_class: type = FakePool
    engine_class: type = FakeEngine
    engine: FakeEngine = None
    service: object = attrs.Factory(make_service)
    revision: int = 1
    # Owner of each partition, by snapshot.
    owners: dict = attrs.Factory(dict)
    served: tuple = ()
    searched: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)
    reply_faults: list = attrs.Factory(list)
    replies: list = attrs.Factory(list)
    endings: dict = attrs.Factory(dict)
    finishes: list = attrs.Factory(list)
    cut_until: float = 0
    delay_until: float = 0
    refuse_until: float = 0
    resumed_at: float = 0
    is_killed: bool = False
    is_armed: bool = False
    is_change_due: bool = False
    removed_at: float = None
    unfired: set = attrs.Factory(set)
    requests: dict = attrs.Factory(dict)

    # Faults.

    def step(self, name, leaf_id=None):
        if self.is_armed:
            self.on_step(self, name, leaf_id)

    def kill(self):
        self.is_killed = True
        self.engine = None

    def pause(self, seconds):
        curio.kernel.time.advance(seconds)
        self.resumed_at = now()

    def cut(self, seconds):
        self.cut_until = now() + seconds

    def delay(self, seconds):
        self.delay_until = now() + seconds

    def refuse(self, seconds):
        self.refuse_until = now() + seconds

    def request_change(self):
        self.is_change_due = True

    def fault_reply(self, name, leaf_id):
        self.reply_faults.append((name, leaf_id))

    def publish(self, moved):
        """Replace the newest snapshot; the one before it stays."""
        number = len(self.owners) + 1
        owners = {
            partition: GROUPS[partition // PARTITIONS_PER_GROUP]
            for partition in range(PARTITION_COUNT)
        }
        self.owners[f's-{number}'] = {**owners, **moved}
        self.served = (*self.served[:1], f's-{number}')

    def is_cut(self, leaf_id):
        settings = self.service.leafs_by_id.get(leaf_id)
        is_far = settings and settings.data_centre == CUT_DATA_CENTRE
        is_inside = leaf_id.startswith(CUT_GROUP) or is_far
        return now() < self.cut_until and is_inside

    # Leafs.

    def connection_to(self, leaf_id, engine):
        return FakeConnection(self, leaf_id, engine)

    async def handle(self, leaf_id, request):
        headers = {'request-id': request.headers.get('request-id', '')}
        if request.method != 'POST':
            return json_response(200, self._status(leaf_id), headers)
        call_id = headers['request-id']
        if now() < self.refuse_until:
            return json_response(429, {'code': 'shed', 'ran': False}, headers)
        snapshot = request.headers['snapshot']
        if snapshot not in self.served:
            refusal = {'code': 'snapshot_unavailable', 'ran': False}
            return json_response(409, refusal, headers)
        asked = json.loads(request.body)
        self.searched.append(
            Searched(
                call_id, leaf_id, snapshot, tuple(asked['partitions']), now()
            )
        )
        is_slow = leaf_id.startswith(SLOW_GROUP) and now() < self.delay_until
        await curio.sleep(DELAY_S if is_slow else SERVICE_S)
        body = self._found(leaf_id, call_id, snapshot, asked)
        return self._respond(leaf_id, headers, body)

    def _respond(self, leaf_id, headers, body):
        fault = ''
        for each in self.reply_faults:
            if each[1] in (None, leaf_id):
                self.reply_faults.remove(each)
                fault = each[0]
                break
        previous = self._reply_to_another(leaf_id, body)
        self.replies.append((leaf_id.split('-')[0], headers, body))
        if fault == 'lost':
            return None
        if fault == 'truncated':
            return HttpProtocolError('the connection was closed')
        if fault == 'malformed':
            return json_response(200, {**body, 'records': 'none'}, headers)
        if fault == 'crossed' and previous:
            # The connection shows the first form, only the body the second.
            is_whole = len(self.searched) % 2
            kept = previous[0] if is_whole else headers
            return json_response(200, previous[1], kept)
        return json_response(200, body, headers)

    def _reply_to_another(self, leaf_id, body):
        """Return a reply of the group that only its ids tell apart."""
        asked = body['request_id'].split('.')[0]
        found = [
            (headers, other)
            for group, headers, other in self.replies
            if leaf_id.startswith(f'{group}-')
            and other['request_id'].split('.')[0] != asked
            and other['snapshot'] == body['snapshot']
        ]
        return found[-1] if found else None

    def _status(self, leaf_id):
        return {
            'state': 'serving',
            'load': 0.1,
            'snapshots': [
                {
                    'snapshot': name,
                    'sequence': int(name[2:]),
                    'partition_count': PARTITION_COUNT,
                    'partitions': self._held(leaf_id, name),
                }
                for name in self.served
            ],
        }

    def _held(self, leaf_id, snapshot):
        """Return the partitions held; a moved one stays in its old group."""
        group = leaf_id.split('-')[0]
        first = GROUPS.index(group) * PARTITIONS_PER_GROUP
        kept = set(range(first, first + PARTITIONS_PER_GROUP))
        owners = self.owners[snapshot]
        return sorted(kept | {p for p in owners if owners[p] == group})

    def _found(self, leaf_id, call_id, snapshot, asked):
        return {
            'request_id': call_id,
            'snapshot': snapshot,
            'partitions': asked['partitions'],
            'records': [
                {
                    'record_id': f'{partition}/{number}',
                    'partition': partition,
                    'yard': YARDS[GROUPS.index(leaf_id.split('-')[0])],
                    'score': 1.0 / (1 + number),
                    'fields': {'query': asked['query'], 'snapshot': snapshot},
                }
                for partition in self._held(leaf_id, snapshot)
                for number in range(RECORDS_PER_PARTITION)
            ],
        }

    # The instance.

    async def start_instance(self):
        document = Document(
            self.revision,
            FleetSettings('team', {f'dc-{name}': 'r' for name in 'abc'}),
            {'svc': self.service},
        )
        self.engine = self.engine_class(
            self.service, document, 'dc-a', world=self
        )
        budget = self.engine.router.budget
        budget.tokens = budget.earned = TOKENS
        await self.engine.start()

    def hook_query(self):
        """Return the query class with its steps reported to this world."""
        bases = (StepHooks, self.query_class)
        return type('HookedQuery', bases, {'world': self})

    async def search(self, number):
        request = SearchRequest(
            f'r{number}', f'rug {number}', 1000, now() + DEADLINE_S
        )
        self.requests[request.request_id] = request
        engine = self.engine
        self.step('accept')
        if engine is None or self.engine is not engine:
            return
        outcome = await engine.search(request)
        ended_at = now()
        self.step('respond')
        if self.engine is engine:
            self.endings.setdefault(request.request_id, []).append(
                (outcome, ended_at)
            )

    async def operate(self):
        """Perform changes that a step without I/O has asked for."""
        while True:
            if self.is_change_due and self.engine is not None:
                self.is_change_due = False
                await self._remove_leaf()
            await curio.sleep(0.002)

    async def _remove_leaf(self):
        groups = dict(self.service.groups_by_id)
        group = groups[REMOVED_LEAF.split('-')[0]]
        leafs = dict(group.leafs_by_id)
        leafs.pop(REMOVED_LEAF, None)
        groups[group.group_id] = attrs.evolve(group, leafs_by_id=leafs)
        self.service = attrs.evolve(self.service, groups_by_id=groups)
        self.revision += 1
        self.removed_at = now()
        engine = self.engine
        document = attrs.evolve(
            engine.document,
            revision=self.revision,
            services_by_name={'svc': self.service},
        )
        await engine.update(self.service, document)

    async def run(self):
        """Search under faults and after them; return the problems."""
        self.publish({})
        self.publish({})
        operator = await curio.spawn(self.operate, daemon=True)
        await self.start_instance()
        await curio.sleep(1.5)
        for number in range(3):
            await self.search(f'warm{number}')
        self.is_armed = True
        tasks = [
            await curio.spawn(self.search, number, daemon=True)
            for number in range(CONCURRENT)
        ]
        # Time spent in the pause does not count: the process stood still.
        async with curio.ignore_after(ANSWER_LIMIT_S):
            for task in tasks:
                if not self.is_killed:
                    await curio.ignore_after(2, task.join)
        await curio.sleep(0)
        await operator.cancel()
        if self.is_killed:
            await self.start_instance()
        self.is_armed = False
        self.unfired = {name for name, _ in self.reply_faults}
        self.reply_faults.clear()
        until = max(self.cut_until, self.delay_until, self.refuse_until)
        await curio.sleep(max(0, until - now()) + RECOVERY_S)
        await self.search('last')
        return self.problems()

    # Requirements.

    def problems(self):
        found = []
        for request in self.requests.values():
            found.extend(self._problems_of(request))
        outcome = self.endings.get('rlast', [(None, 0)])[0][0]
        if outcome is None or isinstance(outcome, Err):
            found.append(f'the search after the faults failed: {outcome}')
        elif not outcome.ok_value.coverage.is_complete:
            found.append('the search after the faults is not complete')
        return found + self._leaving_problems()

    def _leaving_problems(self):
        if self.removed_at is None:
            return []
        return [
            f'R6 {call_id} was sent to a removed leaf'
            for call_id, leaf_id, at in self.sent
            if leaf_id == REMOVED_LEAF
            and at > self.removed_at + LEAVING_LIMIT_S
        ]

    def _problems_of(self, request):
        name = request.request_id
        endings = self.endings.get(name, [])
        found = []
        if self.finishes.count(name) > 1 or len(endings) > 1:
            found.append(f'R3 {name} has more than one answer')
        if not endings and not self.is_killed:
            found.append(f'R3 {name} has no answer')
        for outcome, ended_at in endings:
            limit = max(request.deadline, self.resumed_at) + TOLERANCE_S
            if ended_at > limit:
                found.append(f'R3 {name} is {ended_at - limit:.3f} s late')
            if isinstance(outcome, Err):
                found.extend(self._refusal_problems(name, outcome.err_value))
            else:
                found.extend(self._answer_problems(request, outcome.ok_value))
        return found

    def _searched_for(self, name):
        return [e for e in self.searched if e.call_id.split('.')[0] == name]

    def _refusal_problems(self, name, failure):
        is_false = failure.execution is Execution.NOT_RUN
        if is_false and self._searched_for(name):
            return [f'R4 {name} was run and states not_run']
        return []

    def _answer_problems(self, request, answer):
        name = request.request_id
        found = []
        if answer.request_id != name or any(
            record.fields['query'] != request.query for record in answer.records
        ):
            found.append(f'R3 {name} has the answer of another request')
        snapshots = {record.fields['snapshot'] for record in answer.records}
        if snapshots - {answer.snapshot}:
            found.append(f'R1 {name} mixes {sorted(snapshots)}')
        return found + self._coverage_problems(name, answer)

    def _coverage_problems(self, name, answer):
        found = []
        stated = set()
        for shard in answer.coverage.shards_by_group.values():
            if not shard.is_answered:
                continue
            stated.update(shard.partitions)
            if not any(
                each.leaf_id.startswith(f'{shard.group_id}-')
                and each.snapshot == answer.snapshot
                and each.partitions == shard.partitions
                for each in self._searched_for(name)
            ):
                found.append(f'R2 {name}: {shard.group_id} did not search')
        returned = [(e.partition, e.record_id) for e in answer.records]
        if {partition for partition, _ in returned} != stated:
            found.append(f'R2 {name} states {sorted(stated)}, has {returned}')
        if len(set(returned)) != len(returned):
            found.append(f'R2 {name} returns a record twice')
        is_whole = stated == set(range(PARTITION_COUNT))
        if answer.coverage.is_complete and not is_whole:
            found.append(f'R2 {name} states complete with {sorted(stated)}')
        return found


def run_search_world(world):
    """Run a world on the fake clock; return its problems."""
    violations = VIOLATIONS_BY_NAME.copy()
    original = engine_module.Query
    engine_module.Query = world.hook_query()
    try:
        with FakeClockKernel() as kernel:
            problems = kernel.run(world.run)
    finally:
        engine_module.Query = original
    broken = VIOLATIONS_BY_NAME - violations
    return [*problems, *(f'invariant {name}' for name in broken)]
