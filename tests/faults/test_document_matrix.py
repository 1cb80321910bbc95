"""Document path under each fault at each step, and under sampled pairs.

A fault while a change is accepted or distributed must not lose the change,
revert it, or give the operator a false, late or missing result. The broken
variants show that the checks of the path report such a failure.
"""

import pytest

from clementinebank.errors import Step
from tests.faults import matrix
from tests.faults.document_variants import CONTROLS
from tests.faults.path_document import (
    DOCUMENT_PATH,
    DOCUMENT_STEPS,
    run_document,
)

SINGLES = matrix.single_cells(DOCUMENT_PATH)
PAIR_COUNT = 40
PAIR_SEED = 20261204


@pytest.mark.parametrize('cell', SINGLES, ids=str)
def test_single_fault(cell):
    assert matrix.run_cell(cell).problems == []


def test_sampled_pairs_of_faults():
    print(f'seed of the pairs: {PAIR_SEED}')
    cells = matrix.sampled_pair_cells(DOCUMENT_PATH, PAIR_COUNT, PAIR_SEED)
    results = [matrix.run_cell(cell) for cell in cells]
    assert [str(result) for result in results if result.problems] == []


@pytest.mark.parametrize('name', CONTROLS)
def test_broken_variant_is_caught(name):
    expected, variant = CONTROLS[name]
    assert any(
        expected in problem
        for cell in SINGLES
        for problem in run_document(cell.injections, **variant).problems
    )


def test_step_without_its_faults_fails(monkeypatch):
    monkeypatch.setattr(
        'tests.faults.path_document.DOCUMENT_STEPS',
        [*DOCUMENT_STEPS, Step.DRAIN],
    )
    added = set(matrix.single_cells(DOCUMENT_PATH)) - set(SINGLES)
    assert len(added) == len(matrix.get_fault_names(DOCUMENT_PATH))
    assert all(matrix.run_cell(cell).problems for cell in added)
