"""Guards the invariants of a query under random orders of events.

Replies, failures, drains and timers arrive in any order, and replies also for
cancelled attempts. The broken variants at the end each replace a part of the
query so that it violates an invariant, which the tests must detect.
"""

import contextlib
from unittest import mock

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from clementinebank.dispatch import Dispatcher, Shard
from clementinebank.errors import Execution
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.routing import ExtraLoadBudget, LeafState
from clementinebank.search import (
    Coverage,
    Query,
    Refuse,
)
from clementinebank.search import _query as query_module
from clementinebank.search.tests.simulation import (
    DEADLINE_S,
    GROUPS,
    PARTITION_COUNT,
    REPLICAS,
    make_record,
    make_simulation,
)

LEAFS = [f'{group}-{name}' for group in GROUPS for name in REPLICAS]
CODES = ('shed', 'leaf_broken', 'leaf_timeout', 'leaf_malformed')
PROPERTY_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
VARIANT_RUN = settings(
    PROPERTY_SETTINGS,
    max_examples=600,
    phases=[Phase.generate],
    print_blob=False,
)


class QueryMachine(RuleBasedStateMachine):
    @initialize(
        seed=st.integers(0, 1000),
        tokens=st.sampled_from([0, 1, 5, 50]),
        policy=st.sampled_from(['latency_first', 'coverage_first']),
        sequences=st.sampled_from([(1,), (1, 2), ()]),
    )
    def begin(self, seed, tokens, policy, sequences):
        VIOLATIONS_BY_NAME.clear()
        self.simulation = make_simulation(
            seed, tokens, sequences, answer_policy=policy
        )
        self.tokens = tokens
        self.simulation.start()

    def _pick(self, number):
        return sorted(self.simulation.outstanding)[
            number % len(self.simulation.outstanding)
        ]

    @precondition(lambda self: self.simulation.outstanding)
    @rule(number=st.integers(0, 20))
    def reply(self, number):
        self.simulation.reply(self._pick(number))

    @precondition(lambda self: self.simulation.outstanding)
    @rule(number=st.integers(0, 20), partition=st.integers(0, 9))
    def reply_with_foreign_record(self, number, partition):
        attempt_id = self._pick(number)
        snapshot = self.simulation.outstanding[attempt_id].snapshot
        extra = make_record(snapshot, partition)
        self.simulation.reply(attempt_id, extra=(extra, extra))

    @precondition(lambda self: self.simulation.outstanding)
    @rule(number=st.integers(0, 20))
    def reply_of_other_snapshot(self, number):
        self.simulation.reply(self._pick(number), snapshot='s-9')

    @precondition(lambda self: self.simulation.outstanding)
    @rule(number=st.integers(0, 20))
    def reply_of_other_partitions(self, number):
        self.simulation.reply(self._pick(number), partitions=(4,))

    @precondition(lambda self: self.simulation.outstanding)
    @rule(
        number=st.integers(0, 20),
        code=st.sampled_from(CODES),
        ran=st.booleans(),
    )
    def fail(self, number, code, ran):
        self.simulation.fail(self._pick(number), code, ran=ran)

    @precondition(lambda self: self.simulation.outstanding)
    @rule(number=st.integers(0, 20), is_all_leafs=st.booleans())
    def lose_snapshot(self, number, is_all_leafs):
        """Let a leaf, or all leafs, drop the snapshot that a call searches."""
        attempt_id = self._pick(number)
        send = self.simulation.outstanding[attempt_id]
        for leaf_id in LEAFS:
            if is_all_leafs or leaf_id == send.leaf_id:
                sequences = (2, 3) if send.snapshot == 's-1' else (3,)
                self.simulation.set_leaf_snapshots(leaf_id, sequences)
        self.simulation.fail(attempt_id, 'snapshot_unavailable')

    @precondition(lambda self: self.simulation.cancelled)
    @rule(number=st.integers(0, 20))
    def late_reply(self, number):
        cancelled = sorted(self.simulation.cancelled)
        self.simulation.reply(cancelled[number % len(cancelled)])

    @rule(leaf_id=st.sampled_from(LEAFS), load=st.floats(0, 5))
    def drain(self, leaf_id, load):
        self.simulation.report(leaf_id, 'draining', load)

    @rule(milliseconds=st.sampled_from([0.5, 3, 20, 40]))
    def wait(self, milliseconds):
        self.simulation.advance(milliseconds / 1000)

    @invariant()
    def run_time_invariants_hold(self):
        assert not VIOLATIONS_BY_NAME, dict(VIOLATIONS_BY_NAME)

    @invariant()
    def extra_load_is_bounded(self):
        extra = len(self.simulation.sent) - len(GROUPS)
        assert extra <= self.tokens + len(GROUPS) * 0.05 + 1e-6

    @invariant()
    def ends_at_most_once(self):
        assert len(self.simulation.endings) <= 1, 'not one answer'
        if self.simulation.endings:
            assert not self.simulation.outstanding, 'not cancelled'
            self._check_ending(self.simulation.endings[0])

    def _check_ending(self, ending):
        if isinstance(ending, Refuse):
            if ending.failure.execution is Execution.NOT_RUN:
                sent = {each.attempt_id for each in self.simulation.sent}
                assert sent <= self.simulation.not_run, 'not run is untrue'
            return
        answer = ending.answer
        answered = sorted(
            partition
            for partitions in self.simulation.answered.values()
            for partition in partitions
        )
        whole = list(range(PARTITION_COUNT))
        is_whole = answered == whole
        assert answer.coverage.is_complete == is_whole, 'coverage is untrue'
        names = [record.record_id for record in answer.records]
        assert len(set(names)) == len(names)
        assert {record.partition for record in answer.records} == set(answered)
        for name in names:
            assert name.startswith(f'{answer.snapshot}/')

    def teardown(self):
        if hasattr(self, 'simulation') and not self.simulation.is_broken:
            self.simulation.advance(1)
            assert len(self.simulation.endings) == 1, 'not one answer'
            self.ends_at_most_once()
            self.run_time_invariants_hold()


def test_query_meets_its_invariants():
    run_state_machine_as_test(QueryMachine, settings=PROPERTY_SETTINGS)


def test_machine_reaches_each_kind_of_event():
    """Check that random runs include each kind of event and of ending.

    If no query hedged, retried or switched the snapshot, the invariants would
    not be tested for these events.
    """
    seen = set()

    class Recording(QueryMachine):
        def teardown(self):
            super().teardown()
            if hasattr(self, 'simulation'):
                seen.update(each.event for each in self.simulation.query.trace)
                seen.update(
                    type(each).__name__ for each in self.simulation.endings
                )

    run_state_machine_as_test(Recording, settings=PROPERTY_SETTINGS)
    assert seen >= {'hedge', 'retry', 'moved', 'Finish', 'Refuse'}


def _end_without_cancels(dispatcher, shard, now):
    """End a shard but leave its open attempts running."""
    shard.is_ended = True
    return []


def _answer_again(query, attempt_id, reply, now):
    """Answer a second time if a reply arrives after the end of the query."""
    if query.is_finished:
        return query._finish(now)
    return ORIGINAL_ON_REPLY(query, attempt_id, reply, now)


def _pin_and_keep_answers(query, pinned, now):
    """Pin a snapshot but keep the answered shards of the previous one."""
    kept = dict(query._shards_by_group)
    actions = ORIGINAL_PIN(query, pinned, now)
    for group_id, shard in kept.items():
        if shard.is_answered:
            actions += query.dispatcher.end_shard(
                query._shards_by_group[group_id], now
            )
            query._shards_by_group[group_id] = shard
    return actions


def _finish_after_deadline(self):
    """Return a finish time after the deadline."""
    return self.request.deadline + 0.05


ORIGINAL_PIN = Query._pin
ORIGINAL_ON_REPLY = Query.on_reply
# Expected failure message and patch of each variant. The message is matched, so
# that a variant does not pass because another check happens to fail.
BROKEN_VARIANTS = {
    'other snapshot is merged': (
        'coverage is untrue|records-from-pinned-snapshot',
        mock.patch.object(
            Query, '_is_usable', lambda query, shard, reply: True
        ),
    ),
    'foreign records are kept': (
        'record-owned-by-answering-group',
        mock.patch.object(
            query_module, 'owned_records', lambda reply, *rest: reply.records
        ),
    ),
    'move keeps old shards': (
        'records-from-pinned-snapshot',
        mock.patch.object(Query, '_pin', _pin_and_keep_answers),
    ),
    'not run is always stated': (
        'not run is untrue',
        mock.patch.object(Dispatcher, 'execution', Execution.NOT_RUN),
    ),
    'complete is assumed': (
        'complete-only-with-known-map',
        mock.patch.object(Coverage, 'is_complete', True),
    ),
    'hedge may repeat the leaf': (
        'two requests to one leaf',
        mock.patch.object(Shard, 'excluded_leafs', frozenset()),
    ),
    'budget is not asked': (
        'extra-load-within-budget',
        mock.patch.object(
            ExtraLoadBudget, '_has_tokens', lambda budget, count: True
        ),
    ),
    'losers are not cancelled': (
        'not cancelled|two snapshots are asked',
        mock.patch.object(Dispatcher, 'end_shard', _end_without_cancels),
    ),
    'answers twice': (
        'answered-once|not one answer',
        mock.patch.object(Query, 'on_reply', _answer_again),
    ),
    'deadline is not kept': (
        'sent too late',
        mock.patch.object(
            Dispatcher,
            'finish_at',
            property(_finish_after_deadline, lambda self, at: None),
        ),
    ),
    'draining leaf is used': (
        'sent to draining leaf',
        mock.patch.object(LeafState, 'start_drain', lambda leaf, now: None),
    ),
}


def _fail_after_deadline():
    """Fail every shard request just after the deadline of the query.

    Random runs produce a failure at this time too rarely, and which runs are
    drawn depends on the modules that the test run has loaded.
    """
    machine = QueryMachine()
    machine.begin(1, tokens=50, policy='coverage_first', sequences=(1,))
    machine.wait(milliseconds=1000 * DEADLINE_S + 1)
    while machine.simulation.outstanding:
        machine.fail(0, 'leaf_broken', ran=True)
    machine.ends_at_most_once()
    machine.run_time_invariants_hold()
    machine.teardown()


def _hedge_with_one_usable_leaf():
    """Let the hedge delay pass while every leaf not yet asked is draining."""
    machine = QueryMachine()
    machine.begin(1, tokens=50, policy='coverage_first', sequences=(1,))
    asked = {send.leaf_id for send in machine.simulation.sent}
    for leaf_id in LEAFS:
        if leaf_id not in asked:
            machine.drain(leaf_id, load=0)
    machine.wait(milliseconds=1000 * DEADLINE_S / 2)
    machine.run_time_invariants_hold()
    machine.teardown()


def _answer_hedged_shards():
    """Answer each shard once after its hedge was sent."""
    machine = QueryMachine()
    machine.begin(1, tokens=50, policy='coverage_first', sequences=(1,))
    machine.wait(milliseconds=1000 * DEADLINE_S / 2)
    assert len(machine.simulation.sent) > len(GROUPS)
    for group_id in GROUPS:
        attempt_id = next(
            attempt_id
            for attempt_id, send in machine.simulation.outstanding.items()
            if send.group_id == group_id
        )
        machine.simulation.reply(attempt_id)
    machine.ends_at_most_once()
    machine.run_time_invariants_hold()
    machine.teardown()


def _reply_once_with_another_snapshot():
    """Answer one shard with another snapshot than the query has pinned."""
    machine = QueryMachine()
    machine.begin(1, tokens=50, policy='coverage_first', sequences=(1,))
    machine.reply_of_other_snapshot(0)
    while machine.simulation.outstanding:
        machine.reply(0)
    machine.run_time_invariants_hold()
    machine.ends_at_most_once()
    machine.teardown()


# Fixed sequences of events for the variants that random runs detect too rarely,
# or by what another check notices first.
DIRECTED_SCENARIOS = {
    'losers are not cancelled': _answer_hedged_shards,
    'other snapshot is merged': _reply_once_with_another_snapshot,
    'deadline is not kept': _fail_after_deadline,
    'hedge may repeat the leaf': _hedge_with_one_usable_leaf,
}


@pytest.mark.parametrize('name', sorted(DIRECTED_SCENARIOS))
def test_directed_scenario_meets_the_invariants(name):
    DIRECTED_SCENARIOS[name]()


@pytest.mark.parametrize('name', sorted(DIRECTED_SCENARIOS))
def test_broken_variant_is_caught_by_its_scenario(name):
    message, patch = BROKEN_VARIANTS[name]
    with contextlib.ExitStack() as stack:
        stack.enter_context(patch)
        with pytest.raises(AssertionError, match=message):
            DIRECTED_SCENARIOS[name]()


@pytest.mark.parametrize(
    'name', sorted(BROKEN_VARIANTS.keys() - DIRECTED_SCENARIOS.keys())
)
def test_broken_variant_is_caught(name):
    message, patch = BROKEN_VARIANTS[name]
    with contextlib.ExitStack() as stack:
        stack.enter_context(patch)
        with pytest.raises(AssertionError, match=message):
            run_state_machine_as_test(QueryMachine, settings=VARIANT_RUN)
