"""Simulated service, leafs and replies for the tests of queries."""

import random

import attrs

from clementinebank.dispatch import CancelCall
from clementinebank.document import (
    GroupSettings,
    LeafEndpoint,
    ServiceSettings,
)
from clementinebank.errors import Execution, Failure, Step
from clementinebank.routing import CallOutcome, Router
from clementinebank.search import (
    Finish,
    Query,
    Record,
    Refuse,
    SearchRequest,
    SendShardRequest,
    ShardReply,
    SnapshotCatalogue,
)
from clementinebank.upstream import LeafStatus, ServedSnapshot
from clementinebank.validation import Address

GROUPS = ('g0', 'g1', 'g2')
YARDS = ('north', 'south', 'north')
REPLICAS = 'abc'
PARTITIONS_PER_GROUP = 2
PARTITION_COUNT = len(GROUPS) * PARTITIONS_PER_GROUP
DEADLINE_S = 0.11
START_S = 1000.0


def make_service(**changes):
    groups = {}
    for group_id, yard in zip(GROUPS, YARDS, strict=True):
        leafs = {
            f'{group_id}-{name}': LeafEndpoint(
                f'{group_id}-{name}', Address('127.0.0.1', 1), f'dc-{name}'
            )
            for name in REPLICAS
        }
        groups[group_id] = GroupSettings(group_id, yard, leafs)
    options = {'slots': 3, 'connections': 30, 'extra_load': 0.05, **changes}
    return ServiceSettings('svc', 'team', 'search', groups, **options)


def served(group_id, sequences):
    """Return the snapshots that a leaf of the group reports, one per number."""
    first = GROUPS.index(group_id) * PARTITIONS_PER_GROUP
    held = tuple(range(first, first + PARTITIONS_PER_GROUP))
    return tuple(
        ServedSnapshot(f's-{sequence}', sequence, PARTITION_COUNT, held)
        for sequence in sequences
    )


def make_record(snapshot, partition, number=0):
    name = f'{snapshot}/{partition}/{number}'
    return Record(name, partition, 'north', 1 / (1 + number), {})


def make_failure(code, *, ran=False):
    execution = Execution.UNKNOWN if ran else Execution.NOT_RUN
    return Failure(code, code, Step.READ, execution=execution)


@attrs.define
class Simulation:
    """One query over simulated leafs, with a record of its actions.

    It performs the actions of the query without I/O. Each time the query sends
    a shard request, it asserts that the request is allowed.

    Attributes
    ----------
    outstanding, cancelled : dict
        Shard requests by attempt id.
    sent : list
        Every shard request, in the order in which they were sent.
    not_run : set
        Ids of the attempts that failed without having run at the leaf.
    answered : dict
        Partitions of each group that sent a usable reply for the pinned
        snapshot.
    endings : list
        ``Finish`` and ``Refuse`` actions.
    sent_at : dict
        Time at which each attempt was sent, in seconds.
    draining : set
        Ids of the leafs that reported a drain.
    is_broken : bool
        Whether an assertion about a shard request has failed.
    """

    service: object
    router: Router
    catalogue: SnapshotCatalogue
    query: Query = None
    now: float = START_S
    outstanding: dict = attrs.Factory(dict)
    cancelled: dict = attrs.Factory(dict)
    sent: list = attrs.Factory(list)
    not_run: set = attrs.Factory(set)
    answered: dict = attrs.Factory(dict)
    endings: list = attrs.Factory(list)
    sent_at: dict = attrs.Factory(dict)
    draining: set = attrs.Factory(set)
    is_broken: bool = False

    def start(self, deadline_s=DEADLINE_S):
        request = SearchRequest('r', '*', 1000, self.now + deadline_s)
        self.query = Query(request, self.service, self.router, self.catalogue)
        self.perform(self.query.start(self.now))
        return self

    def perform(self, actions):
        for action in actions:
            if isinstance(action, SendShardRequest):
                self._record_send(action)
            elif isinstance(action, CancelCall):
                self.cancelled[action.attempt_id] = self.outstanding.pop(
                    action.attempt_id
                )
            elif isinstance(action, Finish | Refuse):
                self.endings.append(action)

    def _record_send(self, action):
        self._require(not self.endings, 'sent after the end')
        self._require(self.now < self.query.request.deadline, 'sent too late')
        self._require(
            action.leaf_id not in self.draining, 'sent to draining leaf'
        )
        same_shard = [
            each.leaf_id
            for each in self.outstanding.values()
            if each.group_id == action.group_id
        ]
        self._require(
            action.leaf_id not in same_shard, 'two requests to one leaf'
        )
        snapshots = {each.snapshot for each in self.outstanding.values()}
        self._require(
            not snapshots - {action.snapshot}, 'two snapshots are asked'
        )
        if self.sent and self.sent[-1].snapshot != action.snapshot:
            self.answered.clear()
        self.sent.append(action)
        self.sent_at[action.attempt_id] = self.now
        self.outstanding[action.attempt_id] = action

    def _require(self, is_met, message):
        """Assert a condition; set ``is_broken`` if it is not met.

        The teardown of ``QueryMachine`` checks nothing more if it is set.
        """
        self.is_broken = self.is_broken or not is_met
        assert is_met, message

    def end_call(self, attempt_id, outcome):
        """Report the end of a call to the router; return its shard request."""
        send = self.outstanding.pop(attempt_id, None)
        send = send or self.cancelled.get(attempt_id)
        elapsed_s = self.now - self.sent_at[attempt_id]
        self.router.on_end(send.leaf_id, self.now, elapsed_s, outcome)
        return send

    def good_reply(self, attempt_id, extra=(), **changes):
        """Return a usable reply with extra records and changed fields."""
        send = self.outstanding.get(attempt_id) or self.cancelled[attempt_id]
        records = [
            make_record(send.snapshot, partition, number)
            for partition in send.partitions
            for number in range(2)
        ]
        options = {
            'snapshot': send.snapshot,
            'partitions': send.partitions,
            'records': (*records, *extra),
            **changes,
        }
        return ShardReply(**options)

    def reply(self, attempt_id, extra=(), **changes):
        reply = self.good_reply(attempt_id, extra, **changes)
        was_open = attempt_id in self.outstanding
        send = self.end_call(attempt_id, CallOutcome.GOOD)
        is_usable = was_open and not changes and not self.endings
        if is_usable:
            self.answered[send.group_id] = send.partitions
        self.perform(self.query.on_reply(attempt_id, reply, self.now))

    def fail(self, attempt_id, code, *, ran=False):
        outcome = CallOutcome.FAILED if ran else CallOutcome.REFUSED
        self.end_call(attempt_id, outcome)
        if not ran:
            self.not_run.add(attempt_id)
        failure = make_failure(code, ran=ran)
        self.perform(self.query.on_failure(attempt_id, failure, self.now))

    def advance(self, seconds):
        """Advance the time and call ``on_time`` whenever it is due."""
        end = self.now + seconds
        while not self.endings and self.query.next_wakeup <= end:
            self.now = max(self.now, self.query.next_wakeup)
            self.perform(self.query.on_time(self.now))
        self.now = end

    def set_leaf_snapshots(self, leaf_id, sequences):
        group_id = leaf_id.split('-')[0]
        self.catalogue.set_leaf_snapshots(
            leaf_id, group_id, served(group_id, sequences)
        )

    def report(self, leaf_id, state='serving', load=0):
        if state == 'draining':
            self.draining.add(leaf_id)
        elif state == 'serving':
            self.draining.discard(leaf_id)
        status = LeafStatus(state, load, ())
        self.router.on_status(leaf_id, self.now, status)


def make_simulation(seed=1, tokens=0, sequences=(1,), **changes):
    service = make_service(**changes)
    router = Router(service, random.Random(seed))
    router.budget.tokens = tokens
    router.budget.earned = tokens
    simulation = Simulation(service, router, SnapshotCatalogue())
    for leaf_id in service.leafs_by_id:
        simulation.set_leaf_snapshots(leaf_id, sequences)
    return simulation
