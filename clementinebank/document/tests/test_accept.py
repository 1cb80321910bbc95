"""Guards against a result of a change that is not true.

Every step of an acceptance is met by every fault. The expected results are
listed by step and fault, so that a new step or fault fails until its cells
are listed.
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
    DOWN = 'down'
    LOST_AFTER_EFFECT = 'lost_after_effect'
    LOST_BEFORE_EFFECT = 'lost_before_effect'
    LATE = 'late'
    RACING_OTHER_SECTION = 'racing_other_section'
    RACING_SAME_SECTION = 'racing_same_section'
    RESTORED = 'restored'


FAULTS_OF_A_CALL = {
    Disturbance.LOST_AFTER_EFFECT: Fault.LOST_AFTER_EFFECT,
    Disturbance.LOST_BEFORE_EFFECT: Fault.LOST_BEFORE_EFFECT,
    Disturbance.LATE: Fault.LATE,
}
# Number of the call that the fault of a step meets. A merge makes no call;
# what happens during it is seen by the swap that follows.
CALL_OF_STEP = {
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
EXPECTED = {
    Disturbance.DOWN: (UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN),
    Disturbance.LOST_AFTER_EFFECT: (ACCEPTED,) * 4,
    Disturbance.LOST_BEFORE_EFFECT: (ACCEPTED,) * 4,
    Disturbance.LATE: (ACCEPTED,) * 4,
    Disturbance.RACING_OTHER_SECTION: (ACCEPTED,) * 4,
    Disturbance.RACING_SAME_SECTION: (CONFLICT, CONFLICT, CONFLICT, ACCEPTED),
    Disturbance.RESTORED: (REFUSED, REFUSED, REFUSED, UNKNOWN),
}
CELLS = list(itertools.product(ACCEPT_STEPS, Disturbance))


@attrs.define
class Operators:
    """One instance and its key-value service, which held two revisions."""

    service: FakeKeyValueService
    in_force: HeadRecord
    # Why the instance does not know the record in force.
    refusal: Failure | None = None

    @classmethod
    def start(cls):
        earlier = first_head()
        operators = cls(
            FakeKeyValueService(), next_head(earlier, 2, orders=orders(5))
        )
        operators.put(earlier)
        operators.put(operators.in_force)
        return operators

    @property
    def stored(self):
        entry = self.service.entries_by_key.get(DOCUMENT_KEY)
        return decode_head(entry.value) if entry else HeadRecord()

    def put(self, head):
        self.service.put(DOCUMENT_KEY, head.encode())

    def disturb(self, call, disturbance):
        fault = FAULTS_OF_A_CALL.get(disturbance)
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
                self.put(next_head(self.stored, 8, 'bo', orders=orders(9)))
            else:
                self.put(next_head(self.stored, 8, 'bo', desk=desk(9)))

        self.service.hooks_by_call[call] = hook

    def use_case(self):
        return AcceptChange(
            self.service, lambda: self.in_force, lambda: self.refusal
        )

    def apply(self, applied):
        use_case = self.use_case()
        with FakeClockKernel() as kernel:
            return kernel.run(use_case.run, applied)


def _applied():
    return change(4, 2, 'ana', desk=desk(3))


def _meet(step, disturbance):
    operators = Operators.start()
    if step is Step.CONFIRM:
        # The first answer is lost, so that the result is read back.
        operators.service.faults.extend([None, Fault.LOST_AFTER_EFFECT])
        if disturbance in FAULTS_OF_A_CALL:
            operators.service.faults.append(FAULTS_OF_A_CALL[disturbance])
            return operators
    operators.disturb(CALL_OF_STEP[step], disturbance)
    return operators


def _check_is_true(operators, settled):
    """Check a result now and after the late writes took effect."""
    operators.service.land_late_writes()
    entry = operators.stored.find_change(change_id(4))
    if settled.outcome is ACCEPTED:
        assert entry is not None
        assert entry.revision == settled.revision
        assert settled.head.find_change(change_id(4)) == entry
    elif settled.outcome is not UNKNOWN:
        assert entry is None


@pytest.mark.parametrize(
    ('step', 'disturbance'), CELLS, ids=lambda each: each.value
)
def test_result_is_true_at_every_step_under_every_fault(step, disturbance):
    expected = dict(zip(ACCEPT_STEPS, EXPECTED[disturbance], strict=True))
    operators = _meet(step, disturbance)
    settled = operators.apply(_applied())
    assert settled.outcome is expected[step]
    _check_is_true(operators, settled)


def test_every_cell_has_an_expectation():
    assert set(EXPECTED) == set(Disturbance)
    assert set(CALL_OF_STEP) == set(ACCEPT_STEPS)
    assert len(CELLS) == len(ACCEPT_STEPS) * len(Disturbance)


class GivesUpAtLostAnswer(ChangeDecision):
    """Broken: reports a lost answer to a swap as a refusal."""

    def on_swap(self, action, reply):
        if isinstance(reply, Ok):
            return self._accepted(action.head)
        return self._refuse('swap_failed', 'the swap failed')


class TrustsLostAnswer(ChangeDecision):
    """Broken: reports a lost answer to a swap as an acceptance."""

    def on_swap(self, action, reply):
        return self._accepted(action.head)


class ForgetsChangeId(ChangeDecision):
    """Broken: does not look for the change id in the head it reads."""

    def _find_accepted(self, head, in_force):
        return None


class IgnoresRecordInForce(ChangeDecision):
    """Broken: swaps on a head that does not contain the one in force."""

    def on_read(self, reply, in_force, time):
        self._newest = HeadRecord()
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
    operators = Operators.start()
    first = operators.apply(_applied())
    operators.put(next_head(operators.stored, 8, 'bo', desk=desk(9)))
    assert operators.apply(_applied()).revision == first.revision
    assert operators.stored.texts_by_section['service.desk'] == desk(9)


def test_id_with_other_texts_is_refused():
    operators = Operators.start()
    operators.apply(_applied())
    settled = operators.apply(change(4, 2, 'ana', desk=desk(5)))
    assert settled.outcome is REFUSED
    assert settled.failure.code == 'change_id_reused'
    assert operators.stored.texts_by_section['service.desk'] == desk(3)


def test_invalid_result_is_not_written():
    operators = Operators.start()
    settled = operators.apply(change(4, 2, desk=desk(30)))
    assert settled.outcome is Outcome.INVALID
    (problem,) = settled.problems
    assert (problem.section, problem.field) == ('service.desk', 'slots')
    assert problem.line == 3
    assert operators.service.calls == ['read']


def test_document_that_does_not_fit_is_not_written():
    operators = Operators.start()
    text = desk(3) + '#' * 1_000_000
    settled = operators.apply(change(4, 2, desk=text))
    assert settled.outcome is Outcome.INVALID
    assert operators.service.calls == ['read']


def test_head_of_another_tool_is_not_overwritten():
    operators = Operators.start()
    operators.service.put(DOCUMENT_KEY, b'fleet: {}')
    settled = operators.apply(_applied())
    assert settled.failure.code == 'head_invalid'
    assert operators.service.calls == ['read']


@pytest.mark.parametrize('wins', [MAX_SWAPS - 1, MAX_SWAPS])
def test_moving_head_ends_after_bounded_swaps(wins):
    operators = Operators.start()
    numbers = itertools.count(100)

    async def race():
        number = next(numbers)
        head = next_head(operators.stored, number, orders=orders(number % 40))
        operators.put(head)

    for attempt in range(wins):
        operators.service.hooks_by_call[2 * attempt + 2] = race
    settled = operators.apply(_applied())
    if wins < MAX_SWAPS:
        assert settled.outcome is ACCEPTED
    else:
        assert settled.failure.code == 'head_moving'
    _check_is_true(operators, settled)


def test_slow_service_ends_at_the_time_limit(monkeypatch):
    operators = Operators.start()
    operators.service.faults.extend([None, Fault.LATE] * MAX_SWAPS)
    monkeypatch.setattr(accept_module, 'ACCEPT_LIMIT_S', 0)
    settled = operators.apply(_applied())
    assert settled.failure.code == 'time_limit'
    assert operators.service.calls == []


def test_restored_head_is_refused_until_it_is_written_back():
    operators = Operators.start()
    operators.service.restore(DOCUMENT_KEY)
    settled = operators.apply(_applied())
    assert settled.failure.code == 'head_restored'
    merged = merge_restored(operators.stored, operators.in_force)
    operators.put(merged)
    assert operators.apply(_applied()).outcome is ACCEPTED


def test_conflict_beyond_the_history_does_not_deny_an_earlier_acceptance():
    operators = Operators.start()
    operators.apply(_applied())
    operators.put(next_head(operators.stored, 8, 'bo', desk=desk(9)))
    head = operators.stored
    operators.in_force = attrs.evolve(
        head, changes=head.changes[-1:], history_start=3
    )
    operators.put(operators.in_force)
    settled = operators.apply(_applied())
    assert settled.outcome is UNKNOWN
    assert settled.failure.code == 'history_trimmed'
    assert settled.conflicts[0].other_editor == 'bo'


def test_dry_run_writes_nothing():
    operators = Operators.start()
    use_case = operators.use_case()
    with FakeClockKernel() as kernel:
        assert kernel.run(use_case.preview, _applied()) is None
        invalid = kernel.run(use_case.preview, change(5, 2, fleet=None))
    assert invalid.outcome is Outcome.INVALID
    assert set(operators.service.calls) == {'read'}


@pytest.mark.parametrize('calls', list(itertools.combinations(range(1, 5), 2)))
def test_result_is_true_under_pairs_of_faults(calls):
    seen = set()
    for disturbances in itertools.product(Disturbance, repeat=2):
        operators = Operators.start()
        faults = [None] * calls[-1]
        if calls[0] > 2:
            # A change is accepted after two calls unless the swap fails.
            faults[1] = Fault.LOST_BEFORE_EFFECT
        for call, disturbance in zip(calls, disturbances, strict=True):
            if disturbance in FAULTS_OF_A_CALL:
                faults[call - 1] = FAULTS_OF_A_CALL[disturbance]
            else:
                operators.disturb(call, disturbance)
        operators.service.faults.extend(faults)
        settled = operators.apply(_applied())
        _check_is_true(operators, settled)
        seen.add(settled.outcome)
    assert {ACCEPTED, UNKNOWN} <= seen


def test_base_above_the_head_does_not_deny_an_earlier_acceptance():
    operators = Operators.start()
    settled = operators.apply(change(4, 9, desk=desk(3)))
    assert settled.outcome is UNKNOWN
    assert settled.failure.code == 'base_ahead_of_head'
    assert operators.service.calls == ['read']


UNHEARD = Failure('record_unknown', 'no peer has answered', Step.ACCEPT)


def test_instance_without_the_record_in_force_writes_nothing():
    # It would contradict what another process holds.
    operators = Operators.start()
    operators.refusal = UNHEARD
    settled = operators.apply(_applied())
    assert settled.outcome is REFUSED
    assert settled.failure.code == 'record_unknown'
    assert settled.failure.execution is Execution.NOT_RUN
    with FakeClockKernel() as kernel:
        previewed = kernel.run(operators.use_case().preview, _applied())
    assert previewed.failure.code == 'record_unknown'
    assert operators.service.calls == []


def test_repeat_at_a_process_that_only_saw_the_restored_head():
    # Another process has the change in force and will write it back, so that
    # a conflict is untrue.
    operators = Operators.start()
    operators.service.faults.extend([None, Fault.LOST_AFTER_EFFECT])
    operators.service.faults.extend([Fault.DOWN] * 3)
    assert operators.apply(_applied()).outcome is UNKNOWN
    other_process = operators.stored
    operators.service.restore(DOCUMENT_KEY)
    operators.in_force = HeadRecord()
    operators.refusal = UNHEARD
    operators.put(next_head(operators.stored, 8, 'bo', desk=desk(9)))
    settled = operators.apply(_applied())
    merged = merge_restored(operators.stored, other_process)
    assert merged.find_change(change_id(4)) is not None
    assert settled.outcome is not CONFLICT


class IgnoresRefusal(AcceptChange):
    """Broken: accepts changes without the record in force."""

    def _refused(self, applied):
        return None


@pytest.mark.parametrize(
    'guard',
    [
        test_repeat_at_a_process_that_only_saw_the_restored_head,
        test_instance_without_the_record_in_force_writes_nothing,
    ],
)
def test_negative_control_ignored_refusal_is_caught(guard, monkeypatch):
    monkeypatch.setattr(Operators, 'use_case', _use_case_that_ignores)
    with pytest.raises(AssertionError):
        guard()


def _use_case_that_ignores(operators):
    return IgnoresRefusal(
        operators.service,
        lambda: operators.in_force,
        lambda: operators.refusal,
    )
