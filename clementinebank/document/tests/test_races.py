"""Tests that concurrent changes and faults lose no accepted change.

Several instances accept changes while calls fail, answers are lost, writes take
effect late and the key-value service is restored to older states. A change
reported as accepted must stay in all later heads, or a later change of the same
section must have replaced its text. A change reported as not accepted must
never appear. ``CLEMENTINEBANK_EXAMPLES`` sets the number of runs.
"""

import os
from collections import Counter

import attrs
import pytest
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)
from result import Ok

from clementinebank.clock import FakeClockKernel, wall_time
from clementinebank.coordination.tests.fakes import FakeKeyValueService, Fault
from clementinebank.document import (
    DOCUMENT_KEY,
    AcceptChange,
    Change,
    HeadRecord,
    Outcome,
    decode_head,
    merge_restored,
    parse_document,
)
from clementinebank.document import _accept as accept_module
from clementinebank.document.tests import test_accept, test_merge
from clementinebank.document.tests.samples import (
    TEXTS,
    change_id,
    desk,
    orders,
)

EXAMPLES = int(os.environ.get('CLEMENTINEBANK_EXAMPLES', '60'))
STEPS = 30
SEED = 20_261_204
INSTANCES = 3
MAY_BE_IN_EFFECT = (Outcome.ACCEPTED, Outcome.UNKNOWN)
# Counts of outcomes and events over all runs of the state machine, by which the
# test checks that each case occurred.
CASE_COUNTS = Counter()

instances = st.integers(0, INSTANCES - 1)
texts = st.dictionaries(
    st.sampled_from(['service.desk', 'service.orders']),
    st.integers(1, 20) | st.none(),
    min_size=1,
)
fault_lists = st.lists(st.sampled_from([None, None, *Fault]), max_size=5)
# Which head is the base of a change: 0 for the head in force at the instance,
# n for the nth last of the heads that were shown to operators.
ages = st.sampled_from([0, 0, 0, 1, 2, 3])
# Events during an acceptance, by the number of the call that they precede.
events = st.dictionaries(
    st.integers(1, 6),
    st.sampled_from(['apply', 'restore', 'land_late', 'watch', 'down']),
    max_size=2,
)


@attrs.define
class ReportedChange:
    """Change and the outcome that was reported to its operator."""

    change: Change
    outcome: Outcome
    accepted_at: float = 0


class RacingOperators(RuleBasedStateMachine):
    """Instances that accept changes at the same time, under faults."""

    merge_restored = staticmethod(merge_restored)

    def __init__(self):
        super().__init__()
        self.kernel = FakeClockKernel()
        self.kernel.__enter__()
        self.service = FakeKeyValueService()
        self.heads = [HeadRecord()] * INSTANCES
        self.shown_heads = [HeadRecord()]
        self.reported_by_id = {}
        self.checked_writes = 0

    def teardown(self):
        try:
            self.settle()
        finally:
            self.kernel.__exit__(None, None, None)

    @initialize()
    def start(self):
        first = Change(change_id(1), 0, 'setup', TEXTS)
        self.kernel.run(self._apply, 0, first)

    @rule(
        instance=instances,
        slots_by_section=texts,
        age=ages,
        is_whole=st.booleans(),
        faults=fault_lists,
        events=events,
    )
    def apply(self, instance, slots_by_section, age, is_whole, faults, events):
        self.service.faults.extend(faults)
        self._schedule_events(events)
        new_change = self._new_change(instance, slots_by_section, age, is_whole)
        self.kernel.run(self._apply, instance, new_change)
        self.service.is_down = False
        self.service.faults.clear()
        self.service.hooks_by_call.clear()

    @rule(
        instance=instances,
        slots_by_section=texts,
        fault=st.sampled_from(Fault),
    )
    def apply_and_lose_the_answer(self, instance, slots_by_section, fault):
        self.service.apply_late_writes()
        self.watch(instance)
        self.apply(instance, slots_by_section, 0, False, [None, fault], {})

    @rule(instance=instances, slots_by_section=texts)
    def apply_after_restore(self, instance, slots_by_section):
        self.settle()
        self.restore(1)
        self.apply(instance, slots_by_section, 0, False, [], {})

    @precondition(lambda self: Outcome.UNKNOWN in self._reported_outcomes())
    @rule(instance=instances, faults=fault_lists)
    def repeat(self, instance, faults):
        reported_status = next(
            reported_status
            for reported_status in self.reported_by_id.values()
            if reported_status.outcome is Outcome.UNKNOWN
        )
        self.service.faults.extend(faults)
        self.kernel.run(self._apply, instance, reported_status.change)
        self.service.faults.clear()

    @rule(instance=instances)
    def watch(self, instance):
        self.kernel.clock.advance(1)
        self.kernel.run(self._watch, instance)

    @rule(instance=instances, other=instances)
    def hear_peer(self, instance, other):
        self._activate(instance, self.heads[other])

    @rule(instance=instances)
    def replace(self, instance):
        # An instance that alone has a revision in force is not replaced. If the
        # key-value service lost the revision too, no copy would be left.
        others = [
            head for number, head in enumerate(self.heads) if number != instance
        ]
        if any(head.extends(self.heads[instance]) for head in others):
            self.heads[instance] = HeadRecord()

    @rule(writes_back=st.integers(1, 3))
    def restore(self, writes_back):
        CASE_COUNTS['restore'] += 1
        self.service.restore(DOCUMENT_KEY, writes_back)
        self.checked_writes = len(self.service.history_by_key[DOCUMENT_KEY])

    @rule(
        writes_back=st.integers(1, 2),
        instance=instances,
        slots_by_section=texts,
    )
    def restore_and_apply(self, writes_back, instance, slots_by_section):
        """Apply a change at an instance that only knows the restored head."""
        self.settle()
        self.restore(writes_back)
        self.replace(instance)
        self.watch(instance)
        new_change = self._new_change(instance, slots_by_section, 0)
        self.kernel.run(self._apply, instance, new_change)

    @rule()
    def land_late(self):
        self.service.apply_late_writes()

    @invariant()
    def rejected_changes_never_appear(self):
        for head in (*self.heads, self._stored_head()):
            for reported_status in self.reported_by_id.values():
                if reported_status.outcome not in MAY_BE_IN_EFFECT:
                    assert (
                        head.find_change(reported_status.change.change_id)
                        is None
                    )

    @invariant()
    def changes_start_from_what_they_replace(self):
        entries = self.service.history_by_key.get(DOCUMENT_KEY, [])
        start = max(self.checked_writes - 1, 0)
        heads = [decode_head(entry.value) for entry in entries[start:]]
        self.checked_writes = len(entries)
        for before, after in zip(heads, heads[1:], strict=False):
            entry = after.changes[-1] if after.changes else None
            # A record written back after a restore is not the result of one
            # change. Its revision is above that of its newest change, or its
            # earlier changes were renumbered.
            is_write_back = entry and entry.revision < after.revision
            if is_write_back or after.changes[:-1] != before.changes:
                continue
            if entry is None:
                continue
            base = self.reported_by_id[entry.change_id].change.base_revision
            for name in entry.sections:
                texts = before.texts_by_section, after.texts_by_section
                if texts[0].get(name) == texts[1].get(name):
                    continue
                edit = before.find_last_change(name)
                assert edit is None or edit.revision <= base

    @rule()
    def settle(self):
        """Let every instance read the head until all have the same one.

        Then check that every accepted change is in effect.
        """
        self.service.apply_late_writes()
        for _ in range(2):
            for instance in range(INSTANCES):
                self.kernel.clock.advance(1)
                self.kernel.run(self._watch, instance)
        assert self.heads == [self._stored_head()] * INSTANCES
        head = self._stored_head()
        for reported_status in self.reported_by_id.values():
            if reported_status.outcome is Outcome.ACCEPTED:
                self._check_in_effect(reported_status, head)

    def _check_in_effect(self, reported_status, head):
        assert head.find_change(reported_status.change.change_id) is not None
        for name, text in reported_status.change.texts_by_section.items():
            if head.texts_by_section.get(name) == text:
                continue
            CASE_COUNTS['superseded'] += 1
            later = next(
                entry for entry in head.changes[::-1] if name in entry.sections
            )
            assert (
                self.reported_by_id[later.change_id].outcome in MAY_BE_IN_EFFECT
            )
            assert later.accepted_at >= reported_status.accepted_at
            assert later.change_id != reported_status.change.change_id

    def _reported_outcomes(self):
        return {
            reported_status.outcome
            for reported_status in self.reported_by_id.values()
        }

    def _stored_head(self):
        entry = self.service.entries_by_key.get(DOCUMENT_KEY)
        return decode_head(entry.value) if entry else HeadRecord()

    def _was_stored(self, change_id):
        entries = self.service.history_by_key.get(DOCUMENT_KEY, [])
        return any(change_id.encode() in entry.value for entry in entries)

    def _new_change(self, instance, slots_by_section, age, is_whole=False):
        number = len(self.reported_by_id) + 1
        if age:
            base = self.shown_heads[-min(age, len(self.shown_heads))]
        else:
            base = self.heads[instance]
        text_by_slots = {'service.desk': desk, 'service.orders': orders}
        return Change(
            change_id(number),
            base.revision,
            f'editor-{number}',
            {
                **(base.texts_by_section if is_whole else {}),
                **{
                    name: slots and text_by_slots[name](slots)
                    for name, slots in slots_by_section.items()
                },
            },
        )

    def _schedule_events(self, events):
        start = len(self.service.calls)
        for call, event in events.items():
            self.service.hooks_by_call[start + call] = self._event_hook(
                call, event
            )

    def _event_hook(self, call, event):
        instance = call % INSTANCES

        async def hook():
            if event == 'apply':
                new_change = self._new_change(
                    instance, {'service.desk': call}, call % 2
                )
                await self._apply(instance, new_change)
            elif event == 'watch':
                await self._watch(instance)
            elif event == 'down':
                self.service.is_down = True
            elif event == 'restore':
                self.service.restore(DOCUMENT_KEY)
            else:
                self.service.apply_late_writes()

        return hook

    async def _apply(self, instance, new_change):
        self.kernel.clock.advance(1)
        # Recorded before the calls, so that changes that are made meanwhile get
        # other numbers.
        reported_status = ReportedChange(new_change, Outcome.UNKNOWN)
        is_new = new_change.change_id not in self.reported_by_id
        reported_status = self.reported_by_id.setdefault(
            new_change.change_id, reported_status
        )
        use_case = AcceptChange(
            self.service, lambda: self.heads[instance], lambda: None
        )
        result = await use_case.run(new_change)
        CASE_COUNTS[result.outcome.value] += 1
        reported_status.outcome = result.outcome
        if result.outcome is Outcome.ACCEPTED:
            entry = result.head.find_change(new_change.change_id)
            assert self._was_stored(new_change.change_id)
            reported_status.accepted_at = (
                entry.accepted_at if entry else wall_time()
            )
            assert not is_new or result.head.extends(self.heads[instance])
            self._activate(instance, result.head)

    async def _watch(self, instance):
        """Read the head and activate it, or write a merged one back.

        This is what the distribution package does with the head.
        """
        entry = (await self.service.read(DOCUMENT_KEY)).unwrap_or(None)
        if entry is None:
            return
        head = decode_head(entry.value) if entry.version else HeadRecord()
        if head.extends(self.heads[instance]):
            self._activate(instance, head)
            return
        CASE_COUNTS['merge_restored'] += 1
        merged = self.merge_restored(head, self.heads[instance])
        parsed = parse_document(merged.texts_by_section, merged.revision)
        assert isinstance(parsed, Ok)
        swap_reply = await self.service.compare_and_swap(
            DOCUMENT_KEY, merged.encode(), entry.version
        )
        if isinstance(swap_reply, Ok):
            self._activate(instance, merged)

    def _activate(self, instance, head):
        if not head.extends(self.heads[instance]):
            return
        self.heads[instance] = head
        if head != self.shown_heads[-1]:
            self.shown_heads.append(head)


seed(SEED)(RacingOperators)
PROPERTY_SETTINGS = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    database=None,
    phases=[Phase.generate],
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


def test_racing_operators_with_faults():
    CASE_COUNTS.clear()
    run_state_machine_as_test(RacingOperators, settings=PROPERTY_SETTINGS)
    cases = {outcome.value for outcome in Outcome} - {'invalid'}
    assert (
        cases | {'restore', 'merge_restored', 'superseded'}
        <= CASE_COUNTS.keys()
    )


class WritesWholeFile(RacingOperators):
    """Broken: every change contains all sections of its base."""

    def _new_change(self, instance, slots_by_section, age, is_whole=True):
        return super()._new_change(instance, slots_by_section, age, True)


class KeepsHigherRevision(RacingOperators):
    """Broken: writes the record in force back without a merge."""

    merge_restored = staticmethod(test_merge.keep_higher_revision)


class TakesRestoredSections(RacingOperators):
    """Broken: prefers the sections of the restored record in a merge."""

    merge_restored = staticmethod(test_merge.take_restored_sections)


BROKEN_PARTS = [
    ('merge_change', test_merge.merge_without_base),
    ('ChangeDecision', test_accept.GivesUpAtLostAnswer),
    ('ChangeDecision', test_accept.TrustsLostAnswer),
    ('ChangeDecision', test_accept.ForgetsChangeId),
    ('ChangeDecision', test_accept.IgnoresRecordInForce),
]


def _is_caught(machine):
    # A run ends at the first violation, so more examples cost little.
    more_examples = settings(PROPERTY_SETTINGS, max_examples=4 * EXAMPLES)
    try:
        run_state_machine_as_test(seed(SEED)(machine), settings=more_examples)
    except AssertionError:
        return True
    return False


@pytest.mark.parametrize(
    'machine', [KeepsHigherRevision, TakesRestoredSections]
)
def test_broken_restore_is_caught(machine):
    assert _is_caught(machine)


def test_blind_write_of_a_whole_file_is_caught(monkeypatch):
    monkeypatch.setattr(
        accept_module, 'merge_change', test_merge.merge_without_base
    )
    assert _is_caught(WritesWholeFile)


@pytest.mark.parametrize(('name', 'broken'), BROKEN_PARTS)
def test_broken_acceptance_is_caught(name, broken, monkeypatch):
    monkeypatch.setattr(accept_module, name, broken)
    assert _is_caught(RacingOperators)
