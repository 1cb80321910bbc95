"""Guards against lost or untrue results while operators race with faults.

Every change reported accepted must be in all later heads or superseded by a
later change of the same section; a change reported not accepted must never
appear. ``CLEMENTINEBANK_EXAMPLES`` sets the number of runs.
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
# Seen over all runs of the state machine, to show that it meets each case.
SEEN = Counter()

instances = st.integers(0, INSTANCES - 1)
texts = st.dictionaries(
    st.sampled_from(['service.desk', 'service.orders']),
    st.integers(1, 20) | st.none(),
    min_size=1,
)
fault_lists = st.lists(st.sampled_from([None, None, *Fault]), max_size=5)
ages = st.sampled_from([0, 0, 0, 1, 2, 3])
events = st.dictionaries(
    st.integers(1, 6),
    st.sampled_from(['apply', 'restore', 'land_late', 'watch', 'down']),
    max_size=2,
)


@attrs.define
class Told:
    """What an operator was told about a change."""

    change: Change
    outcome: Outcome
    accepted_at: float = 0


class RacingOperators(RuleBasedStateMachine):
    merge_restored = staticmethod(merge_restored)

    def __init__(self):
        super().__init__()
        self.kernel = FakeClockKernel()
        self.kernel.__enter__()
        self.service = FakeKeyValueService()
        self.heads = [HeadRecord()] * INSTANCES
        self.shown = [HeadRecord()]
        self.told_by_id = {}
        self.checked = 0

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
        self._plan(events)
        applied = self._new_change(instance, slots_by_section, age, is_whole)
        self.kernel.run(self._apply, instance, applied)
        self.service.is_down = False
        self.service.faults.clear()
        self.service.hooks_by_call.clear()

    @rule(
        instance=instances,
        slots_by_section=texts,
        fault=st.sampled_from(Fault),
    )
    def apply_and_lose_the_answer(self, instance, slots_by_section, fault):
        self.service.land_late_writes()
        self.watch(instance)
        self.apply(instance, slots_by_section, 0, False, [None, fault], {})

    @rule(instance=instances, slots_by_section=texts)
    def apply_after_restore(self, instance, slots_by_section):
        self.settle()
        self.restore(1)
        self.apply(instance, slots_by_section, 0, False, [], {})

    @precondition(lambda self: Outcome.UNKNOWN in self._outcomes())
    @rule(instance=instances, faults=fault_lists)
    def repeat(self, instance, faults):
        told = next(
            told
            for told in self.told_by_id.values()
            if told.outcome is Outcome.UNKNOWN
        )
        self.service.faults.extend(faults)
        self.kernel.run(self._apply, instance, told.change)
        self.service.faults.clear()

    @rule(instance=instances)
    def watch(self, instance):
        self.kernel.clock.advance(1)
        self.kernel.run(self._watch, instance)

    @rule(instance=instances, other=instances)
    def hear_peer(self, instance, other):
        self._take(instance, self.heads[other])

    @rule(instance=instances)
    def replace(self, instance):
        # A revision that only one process holds cannot outlive both it and
        # the service's copy.
        others = [
            head for number, head in enumerate(self.heads) if number != instance
        ]
        if any(head.extends(self.heads[instance]) for head in others):
            self.heads[instance] = HeadRecord()

    @rule(writes_back=st.integers(1, 3))
    def restore(self, writes_back):
        SEEN['restore'] += 1
        self.service.restore(DOCUMENT_KEY, writes_back)
        self.checked = len(self.service.history_by_key[DOCUMENT_KEY])

    @rule(
        writes_back=st.integers(1, 2),
        instance=instances,
        slots_by_section=texts,
    )
    def restore_and_apply(self, writes_back, instance, slots_by_section):
        """Accept a change through a process that only saw the older state."""
        self.settle()
        self.restore(writes_back)
        self.replace(instance)
        self.watch(instance)
        applied = self._new_change(instance, slots_by_section, 0)
        self.kernel.run(self._apply, instance, applied)

    @rule()
    def land_late(self):
        self.service.land_late_writes()

    @invariant()
    def rejected_changes_never_appear(self):
        for head in (*self.heads, self._stored()):
            for told in self.told_by_id.values():
                if told.outcome not in MAY_BE_IN_EFFECT:
                    assert head.find_change(told.change.change_id) is None

    @invariant()
    def changes_start_from_what_they_replace(self):
        entries = self.service.history_by_key.get(DOCUMENT_KEY, [])
        start = max(self.checked - 1, 0)
        heads = [decode_head(entry.value) for entry in entries[start:]]
        self.checked = len(entries)
        for before, after in zip(heads, heads[1:], strict=False):
            entry = after.changes[-1] if after.changes else None
            # A write-back after a restore raises the revision above that of
            # its newest change, or renumbers the changes before it.
            is_write_back = entry and entry.revision < after.revision
            if is_write_back or after.changes[:-1] != before.changes:
                continue
            if entry is None:
                continue
            base = self.told_by_id[entry.change_id].change.base_revision
            for name in entry.sections:
                texts = before.texts_by_section, after.texts_by_section
                if texts[0].get(name) == texts[1].get(name):
                    continue
                edit = before.last_edit(name)
                assert edit is None or edit.revision <= base

    @rule()
    def settle(self):
        """Let every instance see the head until all agree."""
        self.service.land_late_writes()
        for _ in range(2):
            for instance in range(INSTANCES):
                self.kernel.clock.advance(1)
                self.kernel.run(self._watch, instance)
        assert self.heads == [self._stored()] * INSTANCES
        head = self._stored()
        for told in self.told_by_id.values():
            if told.outcome is Outcome.ACCEPTED:
                self._check_in_effect(told, head)

    def _check_in_effect(self, told, head):
        assert head.find_change(told.change.change_id) is not None
        for name, text in told.change.texts_by_section.items():
            if head.texts_by_section.get(name) == text:
                continue
            SEEN['superseded'] += 1
            later = next(
                entry for entry in head.changes[::-1] if name in entry.sections
            )
            assert self.told_by_id[later.change_id].outcome in MAY_BE_IN_EFFECT
            assert later.accepted_at >= told.accepted_at
            assert later.change_id != told.change.change_id

    def _outcomes(self):
        return {told.outcome for told in self.told_by_id.values()}

    def _stored(self):
        entry = self.service.entries_by_key.get(DOCUMENT_KEY)
        return decode_head(entry.value) if entry else HeadRecord()

    def _was_stored(self, change_id):
        entries = self.service.history_by_key.get(DOCUMENT_KEY, [])
        return any(change_id.encode() in entry.value for entry in entries)

    def _new_change(self, instance, slots_by_section, age, is_whole=False):
        number = len(self.told_by_id) + 1
        if age:
            base = self.shown[-min(age, len(self.shown))]
        else:
            base = self.heads[instance]
        makers = {'service.desk': desk, 'service.orders': orders}
        return Change(
            change_id(number),
            base.revision,
            f'editor-{number}',
            {
                **(base.texts_by_section if is_whole else {}),
                **{
                    name: slots and makers[name](slots)
                    for name, slots in slots_by_section.items()
                },
            },
        )

    def _plan(self, events):
        start = len(self.service.calls)
        for call, event in events.items():
            self.service.hooks_by_call[start + call] = self._hook(call, event)

    def _hook(self, call, event):
        instance = call % INSTANCES

        async def hook():
            if event == 'apply':
                applied = self._new_change(
                    instance, {'service.desk': call}, call % 2
                )
                await self._apply(instance, applied)
            elif event == 'watch':
                await self._watch(instance)
            elif event == 'down':
                self.service.is_down = True
            elif event == 'restore':
                self.service.restore(DOCUMENT_KEY)
            else:
                self.service.land_late_writes()

        return hook

    async def _apply(self, instance, applied):
        self.kernel.clock.advance(1)
        # Reserves the number of the change while others interleave.
        told = Told(applied, Outcome.UNKNOWN)
        is_new = applied.change_id not in self.told_by_id
        told = self.told_by_id.setdefault(applied.change_id, told)
        use_case = AcceptChange(
            self.service, lambda: self.heads[instance], lambda: None
        )
        settled = await use_case.run(applied)
        SEEN[settled.outcome.value] += 1
        told.outcome = settled.outcome
        if settled.outcome is Outcome.ACCEPTED:
            entry = settled.head.find_change(applied.change_id)
            assert self._was_stored(applied.change_id)
            told.accepted_at = entry.accepted_at if entry else wall_time()
            assert not is_new or settled.head.extends(self.heads[instance])
            self._take(instance, settled.head)

    async def _watch(self, instance):
        """Do what the distribution of the document does with the head."""
        entry = (await self.service.read(DOCUMENT_KEY)).unwrap_or(None)
        if entry is None:
            return
        head = decode_head(entry.value) if entry.version else HeadRecord()
        if head.extends(self.heads[instance]):
            self._take(instance, head)
            return
        SEEN['merge_restored'] += 1
        merged = self.merge_restored(head, self.heads[instance])
        parsed = parse_document(merged.texts_by_section, merged.revision)
        assert isinstance(parsed, Ok)
        swapped = await self.service.swap(
            DOCUMENT_KEY, merged.encode(), entry.version
        )
        if isinstance(swapped, Ok):
            self._take(instance, merged)

    def _take(self, instance, head):
        if not head.extends(self.heads[instance]):
            return
        self.heads[instance] = head
        if head != self.shown[-1]:
            self.shown.append(head)


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
    SEEN.clear()
    run_state_machine_as_test(RacingOperators, settings=PROPERTY_SETTINGS)
    cases = {outcome.value for outcome in Outcome} - {'invalid'}
    assert cases | {'restore', 'merge_restored', 'superseded'} <= SEEN.keys()


class WritesWholeFile(RacingOperators):
    def _new_change(self, instance, slots_by_section, age, is_whole=True):
        return super()._new_change(instance, slots_by_section, age, True)


class KeepsHigherRevision(RacingOperators):
    merge_restored = staticmethod(test_merge.keep_higher_revision)


class TakesRestoredSections(RacingOperators):
    merge_restored = staticmethod(test_merge.take_restored_sections)


BROKEN_PARTS = [
    ('merge_change', test_merge.merge_without_base),
    ('ChangeDecision', test_accept.GivesUpAtLostAnswer),
    ('ChangeDecision', test_accept.TrustsLostAnswer),
    ('ChangeDecision', test_accept.ForgetsChangeId),
    ('ChangeDecision', test_accept.IgnoresRecordInForce),
]


def _is_caught(machine):
    # The run ends at the first violation.
    longer = settings(PROPERTY_SETTINGS, max_examples=4 * EXAMPLES)
    try:
        run_state_machine_as_test(seed(SEED)(machine), settings=longer)
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
