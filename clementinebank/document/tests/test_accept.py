"""Tests that the reported result of a change is true.

A lost answer, a concurrent change or a restored key-value service can make an
instance report a change as accepted although it is lost, or as refused although
it takes effect. The tests combine every step of an acceptance with every
disturbance. The expected outcome of each combination is listed, so that a new
step or disturbance fails the tests until its outcomes are added.
"""

import enum
import itertools

import attrs
import pytest
from result import Ok

from clementinebank.clock import FakeClockKernel
from clementinebank.coordination.tests.fakes import FakeKeyValueService, Fault
from clementinebank.document import (
    ACCEPT_STEPS,
    DOCUMENT_KEY,
    AcceptChange,
    HeadRecord,
    Outcome,
    decode_head,
    merge_restored,
)
from clementinebank.document import _accept as accept_module
from clementinebank.document._accept import MAX_SWAPS, ChangeDecision
from clementinebank.document.tests.samples import (
    change,
    change_id,
    desk,
    first_head,
    next_head,
    orders,
)
from clementinebank.errors import Execution, Failure, Step


class Disturbance(enum.Enum):
    """What happens to a call of the key-value service or just before it."""

    DOWN = 'down'
    LOST_AFTER_EFFECT = 'lost_after_effect'
    LOST_BEFORE_EFFECT = 'lost_before_effect'
    LATE = 'late'
    RACING_OTHER_SECTION = 'racing_other_section'
    RACING_SAME_SECTION = 'racing_same_section'
    RESTORED = 'restored'


CALL_FAULT_BY_DISTURBANCE = {
    Disturbance.LOST_AFTER_EFFECT: Fault.LOST_AFTER_EFFECT,
    Disturbance.LOST_BEFORE_EFFECT: Fault.LOST_BEFORE_EFFECT,
    Disturbance.LATE: Fault.LATE,
}
# Number of the call, counted from 1, that is disturbed to disturb a step. A
# merge makes no call, so what happens during it affects the swap that follows.
CALL_NUMBER_BY_STEP = {
    Step.READ_HEAD: 1,
    Step.MERGE: 2,
    Step.SWAP: 2,
    Step.CONFIRM: 3,
}
ACCEPTED, CONFLICT, REFUSED, UNKNOWN = (
    Outcome.ACCEPTED,
    Outcome.CONFLICT,
    Outcome.REFUSED,
    Outcome.UNKNOWN,
)
# Expected outcomes in the order of ``ACCEPT_STEPS``.
EXPECTED = {
    Disturbance.DOWN: (UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN),
    Disturbance.LOST_AFTER_EFFECT: (ACCEPTED,) * 4,
    Disturbance.LOST_BEFORE_EFFECT: (ACCEPTED,) * 4,
    Disturbance.LATE: (ACCEPTED,) * 4,
    Disturbance.RACING_OTHER_SECTION: (ACCEPTED,) * 4,
    Disturbance.RACING_SAME_SECTION: (CONFLICT, CONFLICT, CONFLICT, ACCEPTED),
    Disturbance.RESTORED: (REFUSED, REFUSED, REFUSED, UNKNOWN),
}
# All combinations of a step and a disturbance.
CELLS = list(itertools.product(ACCEPT_STEPS, Disturbance))


@attrs.define
class InstanceUnderTest:
    """Instance that accepts changes, and its key-value service.

    Two revisions were written to the service; the second is in force.
    """

    service: FakeKeyValueService
    in_force: HeadRecord
    # Failure with which changes are refused because the instance does not know
    # the record in force; ``None`` if it knows it.
    refusal: Failure | None = None

    @classmethod
    def start(cls):
        earlier = first_head()
        instance = cls(
            FakeKeyValueService(), next_head(earlier, 2, orders=orders(5))
        )
        instance.put(earlier)
        instance.put(instance.in_force)
        return instance

    @property
    def stored_head(self):
        entry = self.service.entries_by_key.get(DOCUMENT_KEY)
        return decode_head(entry.value) if entry else HeadRecord()

    def put(self, head):
        self.service.put(DOCUMENT_KEY, head.encode())

    def disturb(self, call, disturbance):
        fault = CALL_FAULT_BY_DISTURBANCE.get(disturbance)
        if fault is not None:
            self.service.faults.extend([None] * (call - 1) + [fault])
            return

        async def hook():
            if disturbance is Disturbance.DOWN:
                self.service.is_down = True
            elif disturbance is Disturbance.RESTORED:
                self.service.restore(
                    DOCUMENT_KEY, writes_back=2 if call > 2 else 1
                )
            elif disturbance is Disturbance.RACING_OTHER_SECTION:
                self.put(next_head(self.stored_head, 8, 'bo', orders=orders(9)))
            else:
                self.put(next_head(self.stored_head, 8, 'bo', desk=desk(9)))

        self.service.hooks_by_call[call] = hook

    def use_case(self):
        return AcceptChange(
            self.service, lambda: self.in_force, lambda: self.refusal
        )

    def apply(self, new_change):
        use_case = self.use_case()
        with FakeClockKernel() as kernel:
            return kernel.run(use_case.run, new_change)


def _example_change():
    return change(4, 2, 'ana', desk=desk(3))


def _start_with_disturbance(step, disturbance):
    instance = InstanceUnderTest.start()
    if step is Step.CONFIRM:
        # The answer to the swap is lost, so that its effect must be confirmed
        # by another read.
        instance.service.faults.extend([None, Fault.LOST_AFTER_EFFECT])
        if disturbance in CALL_FAULT_BY_DISTURBANCE:
            instance.service.faults.append(
                CALL_FAULT_BY_DISTURBANCE[disturbance]
            )
            return instance
    instance.disturb(CALL_NUMBER_BY_STEP[step], disturbance)
    return instance


def _check_result_is_true(instance, result):
    """Check that a result is true once all late writes have taken effect."""
    instance.service.apply_late_writes()
    entry = instance.stored_head.find_change(change_id(4))
    if result.outcome is ACCEPTED:
        assert entry is not None
        assert entry.revision == result.revision
        assert result.head.find_change(change_id(4)) == entry
    elif result.outcome is not UNKNOWN:
        assert entry is None


@pytest.mark.parametrize(
    ('step', 'disturbance'), CELLS, ids=lambda each: each.value
)
def test_result_is_true_at_every_step_under_every_fault(step, disturbance):
    expected = dict(zip(ACCEPT_STEPS, EXPECTED[disturbance], strict=True))
    instance = _start_with_disturbance(step, disturbance)
    result = instance.apply(_example_change())
    assert result.outcome is expected[step]
    _check_result_is_true(instance, result)


def test_every_cell_has_an_expectation():
    assert set(EXPECTED) == set(Disturbance)
    assert set(CALL_NUMBER_BY_STEP) == set(ACCEPT_STEPS)
    assert len(CELLS) == len(ACCEPT_STEPS) * len(Disturbance)


class GivesUpAtLostAnswer(ChangeDecision):
    """Broken: reports a change as refused if the answer to the swap is lost."""

    def on_swap(self, action, reply):
        if isinstance(reply, Ok):
            return self._accepted_result(action.head)
        return self._refuse('swap_failed', 'the swap failed')


class TrustsLostAnswer(ChangeDecision):
    """Broken: reports a change as accepted whatever the swap answers."""

    def on_swap(self, action, reply):
        return self._accepted_result(action.head)


class ForgetsChangeId(ChangeDecision):
    """Broken: does not look for the change id in the head it reads."""

    def _find_accepted(self, head, in_force):
        return None


class IgnoresRecordInForce(ChangeDecision):
    """Broken: swaps even if the head read lacks changes of the one in force."""

    def on_read(self, reply, in_force, time):
        self._last_head = HeadRecord()
        return super().on_read(reply, HeadRecord(), time)


@pytest.mark.parametrize(
    'broken',
    [
        GivesUpAtLostAnswer,
        TrustsLostAnswer,
        ForgetsChangeId,
        IgnoresRecordInForce,
    ],
)
def test_broken_variant_is_caught_by_a_cell(broken, monkeypatch):
    monkeypatch.setattr(accept_module, 'ChangeDecision', broken)
    caught = 0
    for step, disturbance in CELLS:
        try:
            test_result_is_true_at_every_step_under_every_fault(
                step, disturbance
            )
        except AssertionError:
            caught += 1
    assert caught


def test_repeated_apply_is_accepted_once():
    instance = InstanceUnderTest.start()
    first = instance.apply(_example_change())
    instance.put(next_head(instance.stored_head, 8, 'bo', desk=desk(9)))
    assert instance.apply(_example_change()).revision == first.revision
    assert instance.stored_head.texts_by_section['service.desk'] == desk(9)


def test_id_with_other_texts_is_refused():
    instance = InstanceUnderTest.start()
    instance.apply(_example_change())
    result = instance.apply(change(4, 2, 'ana', desk=desk(5)))
    assert result.outcome is REFUSED
    assert result.failure.code == 'change_id_reused'
    assert instance.stored_head.texts_by_section['service.desk'] == desk(3)


def test_invalid_result_is_not_written():
    instance = InstanceUnderTest.start()
    result = instance.apply(change(4, 2, desk=desk(30)))
    assert result.outcome is Outcome.INVALID
    (problem,) = result.problems
    assert (problem.section, problem.field) == ('service.desk', 'slots')
    assert problem.line == 3
    assert instance.service.calls == ['read']


def test_document_that_does_not_fit_is_not_written():
    instance = InstanceUnderTest.start()
    text = desk(3) + '#' * 1_000_000
    result = instance.apply(change(4, 2, desk=text))
    assert result.outcome is Outcome.INVALID
    assert instance.service.calls == ['read']


def test_head_of_another_tool_is_not_overwritten():
    instance = InstanceUnderTest.start()
    instance.service.put(DOCUMENT_KEY, b'fleet: {}')
    result = instance.apply(_example_change())
    assert result.failure.code == 'head_invalid'
    assert instance.service.calls == ['read']


@pytest.mark.parametrize('wins', [MAX_SWAPS - 1, MAX_SWAPS])
def test_moving_head_ends_after_bounded_swaps(wins):
    instance = InstanceUnderTest.start()
    change_numbers = itertools.count(100)

    async def race():
        change_number = next(change_numbers)
        head = next_head(
            instance.stored_head,
            change_number,
            orders=orders(change_number % 40),
        )
        instance.put(head)

    for attempt in range(wins):
        instance.service.hooks_by_call[2 * attempt + 2] = race
    result = instance.apply(_example_change())
    if wins < MAX_SWAPS:
        assert result.outcome is ACCEPTED
    else:
        assert result.failure.code == 'head_moving'
    _check_result_is_true(instance, result)


def test_slow_service_ends_at_the_time_limit(monkeypatch):
    instance = InstanceUnderTest.start()
    instance.service.faults.extend([None, Fault.LATE] * MAX_SWAPS)
    monkeypatch.setattr(accept_module, 'ACCEPT_TIME_LIMIT_S', 0)
    result = instance.apply(_example_change())
    assert result.failure.code == 'time_limit'
    assert instance.service.calls == []


def test_restored_head_is_refused_until_it_is_written_back():
    instance = InstanceUnderTest.start()
    instance.service.restore(DOCUMENT_KEY)
    result = instance.apply(_example_change())
    assert result.failure.code == 'head_restored'
    merged = merge_restored(instance.stored_head, instance.in_force)
    instance.put(merged)
    assert instance.apply(_example_change()).outcome is ACCEPTED


def test_conflict_beyond_the_history_does_not_deny_an_earlier_acceptance():
    instance = InstanceUnderTest.start()
    instance.apply(_example_change())
    instance.put(next_head(instance.stored_head, 8, 'bo', desk=desk(9)))
    head = instance.stored_head
    instance.in_force = attrs.evolve(
        head, changes=head.changes[-1:], history_start=3
    )
    instance.put(instance.in_force)
    result = instance.apply(_example_change())
    assert result.outcome is UNKNOWN
    assert result.failure.code == 'history_trimmed'
    assert result.conflicts[0].other_editor == 'bo'


def test_dry_run_writes_nothing():
    instance = InstanceUnderTest.start()
    use_case = instance.use_case()
    with FakeClockKernel() as kernel:
        assert kernel.run(use_case.preview, _example_change()) is None
        invalid = kernel.run(use_case.preview, change(5, 2, fleet=None))
    assert invalid.outcome is Outcome.INVALID
    assert set(instance.service.calls) == {'read'}


@pytest.mark.parametrize('calls', list(itertools.combinations(range(1, 5), 2)))
def test_result_is_true_under_pairs_of_faults(calls):
    outcomes = set()
    for disturbances in itertools.product(Disturbance, repeat=2):
        instance = InstanceUnderTest.start()
        faults = [None] * calls[-1]
        if calls[0] > 2:
            # Without a failed swap, a change is accepted after two calls and
            # the later calls to disturb would not be made.
            faults[1] = Fault.LOST_BEFORE_EFFECT
        for call, disturbance in zip(calls, disturbances, strict=True):
            if disturbance in CALL_FAULT_BY_DISTURBANCE:
                faults[call - 1] = CALL_FAULT_BY_DISTURBANCE[disturbance]
            else:
                instance.disturb(call, disturbance)
        instance.service.faults.extend(faults)
        result = instance.apply(_example_change())
        _check_result_is_true(instance, result)
        outcomes.add(result.outcome)
    assert {ACCEPTED, UNKNOWN} <= outcomes


def test_base_above_the_head_does_not_deny_an_earlier_acceptance():
    instance = InstanceUnderTest.start()
    result = instance.apply(change(4, 9, desk=desk(3)))
    assert result.outcome is UNKNOWN
    assert result.failure.code == 'base_ahead_of_head'
    assert instance.service.calls == ['read']


RECORD_UNKNOWN = Failure('record_unknown', 'no peer has answered', Step.ACCEPT)


def test_instance_without_the_record_in_force_writes_nothing():
    # Its result could contradict a change that another process has in force.
    instance = InstanceUnderTest.start()
    instance.refusal = RECORD_UNKNOWN
    result = instance.apply(_example_change())
    assert result.outcome is REFUSED
    assert result.failure.code == 'record_unknown'
    assert result.failure.execution is Execution.NOT_RUN
    with FakeClockKernel() as kernel:
        previewed = kernel.run(instance.use_case().preview, _example_change())
    assert previewed.failure.code == 'record_unknown'
    assert instance.service.calls == []


def test_repeat_at_a_process_that_only_saw_the_restored_head():
    # Another process has the change in force and will write it back. A
    # conflict, which states that the change was not accepted, would be untrue.
    instance = InstanceUnderTest.start()
    instance.service.faults.extend([None, Fault.LOST_AFTER_EFFECT])
    instance.service.faults.extend([Fault.DOWN] * 3)
    assert instance.apply(_example_change()).outcome is UNKNOWN
    other_process = instance.stored_head
    instance.service.restore(DOCUMENT_KEY)
    instance.in_force = HeadRecord()
    instance.refusal = RECORD_UNKNOWN
    instance.put(next_head(instance.stored_head, 8, 'bo', desk=desk(9)))
    result = instance.apply(_example_change())
    merged = merge_restored(instance.stored_head, other_process)
    assert merged.find_change(change_id(4)) is not None
    assert result.outcome is not CONFLICT


class IgnoresRefusal(AcceptChange):
    """Broken: accepts changes without knowing the record in force."""

    def _refused_result(self, new_change):
        return None


@pytest.mark.parametrize(
    'guard',
    [
        test_repeat_at_a_process_that_only_saw_the_restored_head,
        test_instance_without_the_record_in_force_writes_nothing,
    ],
)
def test_negative_control_ignored_refusal_is_caught(guard, monkeypatch):
    monkeypatch.setattr(
        InstanceUnderTest, 'use_case', _use_case_ignoring_refusal
    )
    with pytest.raises(AssertionError):
        guard()


def _use_case_ignoring_refusal(instance):
    return IgnoresRefusal(
        instance.service,
        lambda: instance.in_force,
        lambda: instance.refusal,
    )
