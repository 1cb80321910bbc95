"""Booking path under each fault at each step, and under every pair.

A fault while a booking runs must not cause a second execution, a false
``not_run`` or a lost outcome. The broken variants show that the checks of the
path report a second execution. The other tests show that the matrix fails
for a step or a fault that it does not cover.
"""

import pytest

from clementinebank.booking import BOOKING_STEPS, BookingStep
from clementinebank.booking.tests.variants import VARIANTS
from clementinebank.errors import Step
from tests.faults import matrix
from tests.faults.path_booking import BOOKING_PATH, run_booking

SINGLES = matrix.single_cells(BOOKING_PATH)


@pytest.mark.parametrize('cell', SINGLES, ids=str)
def test_single_fault(cell):
    assert matrix.run_cell(cell).problems == []


@pytest.mark.parametrize('first', range(len(SINGLES)))
def test_pairs_of_faults(first):
    cells = [
        cell
        for cell in matrix.pair_cells(BOOKING_PATH)
        if cell.injections[0] == SINGLES[first].injections[0]
    ]
    results = [matrix.run_cell(cell) for cell in cells]
    assert [str(result) for result in results if result.problems] == []


@pytest.mark.parametrize('name', VARIANTS)
def test_broken_variant_is_caught(name):
    problems = [
        problem
        for cell in SINGLES
        for problem in run_booking(cell.injections, **VARIANTS[name]).problems
    ]
    assert any('executions of one key' in problem for problem in problems)


def test_step_without_its_faults_fails(monkeypatch):
    step = BookingStep(Step.CLOSE, None)
    monkeypatch.setitem(BOOKING_STEPS, Step.CLOSE, step)
    added = set(matrix.single_cells(BOOKING_PATH)) - set(SINGLES)
    assert len(added) == len(matrix.get_fault_names(BOOKING_PATH))
    assert all(matrix.run_cell(cell).problems for cell in added)


def test_fault_without_injector_fails(monkeypatch):
    column = matrix.Fault('has no injector')
    monkeypatch.setitem(matrix.FAULTS, 'new_fault', column)
    added = set(matrix.single_cells(BOOKING_PATH)) - set(SINGLES)
    assert len(added) == len(BOOKING_STEPS)
    assert all(matrix.run_cell(cell).problems for cell in added)


def test_path_is_registered_once():
    with pytest.raises(ValueError, match='registered twice'):
        matrix.register_path(BOOKING_PATH)
