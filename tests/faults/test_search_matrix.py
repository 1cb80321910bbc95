"""Search path under each fault at each step, and under sampled pairs.

A fault during a search must not give the caller an answer that mixes
snapshots, overstates its coverage or belongs to another request, or one that
is late or missing. The broken variants show that the checks of the path report
such a failure.
"""

import pytest

from clementinebank.errors import Step
from tests.faults import matrix
from tests.faults.path_search import SEARCH_PATH, SEARCH_STEPS, run_search
from tests.faults.search_variants import CONTROLS, without_run_time_checks

SINGLES = matrix.single_cells(SEARCH_PATH)
PAIR_COUNT = 100
PAIR_SEED = 20261204


@pytest.mark.parametrize('cell', SINGLES, ids=str)
def test_single_fault(cell):
    result = matrix.run_cell(cell)
    assert result.problems == []
    if result.skip_reason:
        pytest.skip(result.skip_reason)


def test_sampled_pairs_of_faults():
    print(f'seed of the pairs: {PAIR_SEED}')
    cells = matrix.sampled_pair_cells(SEARCH_PATH, PAIR_COUNT, PAIR_SEED)
    results = [matrix.run_cell(cell) for cell in cells]
    assert [str(result) for result in results if result.problems] == []


@pytest.mark.parametrize('name', CONTROLS)
def test_broken_variant_is_caught(name):
    control = CONTROLS[name]
    with without_run_time_checks(**control.replaced):
        assert any(
            control.expected in problem
            for cell in SINGLES
            if not SEARCH_PATH.exclusion_reason(cell.injections[0])
            for problem in run_search(
                cell.injections, **control.variant
            ).problems
        )


def test_step_without_its_faults_fails(monkeypatch):
    monkeypatch.setitem(SEARCH_STEPS, Step.DRAIN, None)
    added = set(matrix.single_cells(SEARCH_PATH)) - set(SINGLES)
    assert len(added) == len(matrix.get_fault_names(SEARCH_PATH))
    assert all(matrix.run_cell(cell).problems for cell in added)


def test_step_with_only_skipped_cells_fails(monkeypatch):
    monkeypatch.setitem(SEARCH_STEPS, Step.DRAIN, None)
    reason = [((Step.DRAIN.value,), 'of the test')]
    for name in matrix.get_fault_names(SEARCH_PATH):
        monkeypatch.setitem(SEARCH_PATH.exclusions, name, reason)
    cells = set(matrix.single_cells(SEARCH_PATH)) - set(SINGLES)
    results = [matrix.run_cell(cell) for cell in cells]
    assert all('every cell of step' in str(each) for each in results)
    assert matrix.steps_without_applicable_faults(SEARCH_PATH) == [
        Step.DRAIN.value
    ]
