"""Simulated instance and leafs for the search path of the fault matrix."""

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
    ShardSearch,
    StepHooks,
)

# Time that a leaf takes for a shard request, normally and while delayed.
SEARCH_DURATION_S = 0.008
DELAYED_SEARCH_S = 0.4
RECORDS_PER_PARTITION = 2
CONCURRENT_SEARCHES = 3
# Time from the end of the faults to the last search. Ejections of leafs and
# the waits for late replies end sooner.
RECOVERY_S = 12
# Longest wait for the concurrent searches, longer than a pause.
ANSWER_LIMIT_S = 60
# The fault ``partition`` cuts off this group and this data centre.
CUT_GROUP = 'g0'
CUT_DATA_CENTRE = 'dc-a'
# The fault ``delay`` slows the leafs of this group.
SLOW_GROUP = 'g1'
# The fault ``racing_operator`` removes this leaf from the document.
REMOVED_LEAF = 'g2-a'
# Lateness of an answer that is not yet a problem.
TOLERANCE_S = 0.001
# Budget for extra shard requests, enough for every concurrent query to move to
# another snapshot.
BUDGET_TOKENS = 30
# R6: time after which a leaf that leaves gets no more shard requests.
LEAVING_LIMIT_S = 3


@attrs.define(eq=False)
class SearchSimulation:
    """An instance, its leafs, the current faults and what was observed.

    Parameters
    ----------
    on_step : callable
        Injects the faults of a step; receives this simulation, the step and the
        leaf id, or ``None`` if the step concerns no leaf.
    query_class, pool_class, engine_class : type
        Classes under test; a negative control replaces one of them.
    """

    on_step: object
    query_class: type = Query
    pool_class: type = FakePool
    engine_class: type = FakeEngine
    engine: FakeEngine = None
    service: object = attrs.Factory(make_service)
    revision: int = 1
    # Group that owns each partition, by snapshot.
    owners_by_snapshot: dict = attrs.Factory(dict)
    served_snapshots: tuple = ()
    shard_searches: list = attrs.Factory(list)
    sent_requests: list = attrs.Factory(list)
    reply_faults: list = attrs.Factory(list)
    past_replies: list = attrs.Factory(list)
    outcomes_by_request: dict = attrs.Factory(dict)
    ended_request_ids: list = attrs.Factory(list)
    cut_until: float = 0
    delay_until: float = 0
    refuse_until: float = 0
    resumed_at: float = 0
    is_killed: bool = False
    is_injecting: bool = False
    is_change_due: bool = False
    removed_at: float = None
    unused_reply_faults: set = attrs.Factory(set)
    requests: dict = attrs.Factory(dict)

    # Injection of faults.

    def report_step(self, name, leaf_id=None):
        if self.is_injecting:
            self.on_step(self, name, leaf_id)

    def kill(self):
        self.is_killed = True
        self.engine = None

    def pause(self, seconds):
        """Advance the clock while the instance is stopped."""
        curio.kernel.time.advance(seconds)
        self.resumed_at = now()

    def cut(self, seconds):
        self.cut_until = now() + seconds

    def delay(self, seconds):
        self.delay_until = now() + seconds

    def refuse(self, seconds):
        self.refuse_until = now() + seconds

    def request_change(self):
        """Let ``run_operator`` remove a leaf from the document."""
        self.is_change_due = True

    def add_reply_fault(self, name, leaf_id):
        """Lose or alter the next reply of a leaf, or of any with ``None``."""
        self.reply_faults.append((name, leaf_id))

    def publish(self, moved):
        """Serve a new snapshot in place of the newest one.

        The leafs go on serving the first snapshot beside it. ``moved`` holds
        the new groups of the partitions that change their group.
        """
        number = len(self.owners_by_snapshot) + 1
        owners = {
            partition: GROUPS[partition // PARTITIONS_PER_GROUP]
            for partition in range(PARTITION_COUNT)
        }
        self.owners_by_snapshot[f's-{number}'] = {**owners, **moved}
        self.served_snapshots = (*self.served_snapshots[:1], f's-{number}')

    def is_cut(self, leaf_id):
        settings = self.service.leafs_by_id.get(leaf_id)
        is_far = settings and settings.data_centre == CUT_DATA_CENTRE
        is_inside = leaf_id.startswith(CUT_GROUP) or is_far
        return now() < self.cut_until and is_inside

    # Leafs.

    def connection_to(self, leaf_id, engine):
        return FakeConnection(self, leaf_id, engine)

    async def handle(self, leaf_id, request):
        """Return the reply of a leaf, or ``None`` if the reply is lost."""
        headers = {'request-id': request.headers.get('request-id', '')}
        if request.method != 'POST':
            return json_response(200, self._status(leaf_id), headers)
        call_id = headers['request-id']
        if now() < self.refuse_until:
            return json_response(429, {'code': 'shed', 'ran': False}, headers)
        snapshot = request.headers['snapshot']
        if snapshot not in self.served_snapshots:
            refusal = {'code': 'snapshot_unavailable', 'ran': False}
            return json_response(409, refusal, headers)
        asked = json.loads(request.body)
        self.shard_searches.append(
            ShardSearch(
                call_id, leaf_id, snapshot, tuple(asked['partitions']), now()
            )
        )
        is_slow = leaf_id.startswith(SLOW_GROUP) and now() < self.delay_until
        await curio.sleep(DELAYED_SEARCH_S if is_slow else SEARCH_DURATION_S)
        body = self._build_search_body(leaf_id, call_id, snapshot, asked)
        return self._reply_with_fault(leaf_id, headers, body)

    def _reply_with_fault(self, leaf_id, headers, body):
        fault = ''
        for each in self.reply_faults:
            if each[1] in (None, leaf_id):
                self.reply_faults.remove(each)
                fault = each[0]
                break
        previous = self._reply_to_another(leaf_id, body)
        self.past_replies.append((leaf_id.split('-')[0], headers, body))
        if fault == 'lost':
            return None
        if fault == 'truncated':
            return HttpProtocolError('the connection was closed')
        if fault == 'malformed':
            return json_response(200, {**body, 'records': 'none'}, headers)
        if fault == 'crossed' and previous:
            # Alternate between a whole foreign reply, whose header names
            # the other request, and a foreign body under the right header.
            is_header_foreign = len(self.shard_searches) % 2
            sent_headers = previous[0] if is_header_foreign else headers
            return json_response(200, previous[1], sent_headers)
        return json_response(200, body, headers)

    def _reply_to_another(self, leaf_id, body):
        """Return the group's last reply to another request, or ``None``.

        The reply is from the same snapshot, so that only its request id shows
        that it belongs to another request.
        """
        asked = body['request_id'].split('.')[0]
        found = [
            (headers, other)
            for group, headers, other in self.past_replies
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
                    'partitions': self._held_partitions(leaf_id, name),
                }
                for name in self.served_snapshots
            ],
        }

    def _held_partitions(self, leaf_id, snapshot):
        """Return the partitions that a leaf holds in a snapshot.

        A partition that moves to another group stays in its old one too.
        """
        group = leaf_id.split('-')[0]
        first = GROUPS.index(group) * PARTITIONS_PER_GROUP
        own = set(range(first, first + PARTITIONS_PER_GROUP))
        owners = self.owners_by_snapshot[snapshot]
        return sorted(own | {p for p in owners if owners[p] == group})

    def _build_search_body(self, leaf_id, call_id, snapshot, asked):
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
                for partition in self._held_partitions(leaf_id, snapshot)
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
            self.service, document, 'dc-a', simulation=self
        )
        budget = self.engine.router.budget
        budget.tokens = budget.earned = BUDGET_TOKENS
        await self.engine.start()

    def hook_query(self):
        """Return a query subclass that reports to this simulation."""
        bases = (StepHooks, self.query_class)
        return type('HookedQuery', bases, {'simulation': self})

    async def search(self, number):
        """Run one search and record how it ended.

        Nothing is recorded if the instance is killed meanwhile.
        """
        request = SearchRequest(
            f'r{number}', f'rug {number}', 1000, now() + DEADLINE_S
        )
        self.requests[request.request_id] = request
        engine = self.engine
        self.report_step('accept')
        if engine is None or self.engine is not engine:
            return
        outcome = await engine.search(request)
        ended_at = now()
        self.report_step('respond')
        if self.engine is engine:
            self.outcomes_by_request.setdefault(request.request_id, []).append(
                (outcome, ended_at)
            )

    async def run_operator(self):
        """Perform each requested change; never return.

        A fault at a step without I/O cannot wait for the change itself.
        """
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
        """Search under faults and once after them; return the problems."""
        self.publish({})
        self.publish({})
        operator = await curio.spawn(self.run_operator, daemon=True)
        await self.start_instance()
        await curio.sleep(1.5)
        for number in range(3):
            await self.search(f'warm{number}')
        self.is_injecting = True
        tasks = [
            await curio.spawn(self.search, number, daemon=True)
            for number in range(CONCURRENT_SEARCHES)
        ]
        # A pause advances the clock while the process cannot run. Its time
        # does not count against a search, so a wait that it cuts short is no
        # problem.
        async with curio.ignore_after(ANSWER_LIMIT_S):
            for task in tasks:
                if not self.is_killed:
                    await curio.ignore_after(2, task.join)
        await curio.sleep(0)
        await operator.cancel()
        if self.is_killed:
            await self.start_instance()
        self.is_injecting = False
        self.unused_reply_faults = {name for name, _ in self.reply_faults}
        self.reply_faults.clear()
        faults_end_at = max(self.cut_until, self.delay_until, self.refuse_until)
        await curio.sleep(max(0, faults_end_at - now()) + RECOVERY_S)
        await self.search('last')
        return self.problems()

    # Checks of the requirements.

    def problems(self):
        found = []
        for request in self.requests.values():
            found.extend(self._request_problems(request))
        outcome = self.outcomes_by_request.get('rlast', [(None, 0)])[0][0]
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
            for call_id, leaf_id, at in self.sent_requests
            if leaf_id == REMOVED_LEAF
            and at > self.removed_at + LEAVING_LIMIT_S
        ]

    def _request_problems(self, request):
        name = request.request_id
        outcomes = self.outcomes_by_request.get(name, [])
        found = []
        if self.ended_request_ids.count(name) > 1 or len(outcomes) > 1:
            found.append(f'R3 {name} has more than one answer')
        if not outcomes and not self.is_killed:
            found.append(f'R3 {name} has no answer')
        for outcome, ended_at in outcomes:
            limit = max(request.deadline, self.resumed_at) + TOLERANCE_S
            if ended_at > limit:
                found.append(f'R3 {name} is {ended_at - limit:.3f} s late')
            if isinstance(outcome, Err):
                found.extend(self._refusal_problems(name, outcome.err_value))
            else:
                found.extend(self._answer_problems(request, outcome.ok_value))
        return found

    def _searches_of(self, name):
        return [
            e for e in self.shard_searches if e.call_id.split('.')[0] == name
        ]

    def _refusal_problems(self, name, failure):
        states_not_run = failure.execution is Execution.NOT_RUN
        if states_not_run and self._searches_of(name):
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
                for each in self._searches_of(name)
            ):
                found.append(f'R2 {name}: {shard.group_id} did not search')
        returned = [(e.partition, e.record_id) for e in answer.records]
        if {partition for partition, _ in returned} != stated:
            found.append(f'R2 {name} states {sorted(stated)}, has {returned}')
        if len(set(returned)) != len(returned):
            found.append(f'R2 {name} returns a record twice')
        covers_all = stated == set(range(PARTITION_COUNT))
        if answer.coverage.is_complete and not covers_all:
            found.append(f'R2 {name} states complete with {sorted(stated)}')
        return found


def run_search_simulation(simulation):
    """Run a simulation on the fake clock; return its problems.

    They include the invariants that were violated during the run.
    """
    violations = VIOLATIONS_BY_NAME.copy()
    original = engine_module.Query
    engine_module.Query = simulation.hook_query()
    try:
        with FakeClockKernel() as kernel:
            problems = kernel.run(simulation.run)
    finally:
        engine_module.Query = original
    violated = VIOLATIONS_BY_NAME - violations
    return [*problems, *(f'invariant {name}' for name in violated)]
