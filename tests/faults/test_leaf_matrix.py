"""Leaf path under each fault at each step (R6).

A fault while a leaf drains and is removed must not let an instance go on
sending it searches or keep connections to it open. The broken variants show
that the checks of the path report such a failure.
"""

import pytest

from clementinebank.errors import Step
from tests.faults import matrix
from tests.faults.leaf_simulation import LeafSimulation
from tests.faults.leaf_variants import CONTROLS
from tests.faults.path_leaf import LEAF_PATH, LEAF_STEPS, run_leaf
from tests.faults.search_simulation import run_search_simulation

SINGLES = matrix.single_cells(LEAF_PATH)
# A draining leaf is still probed, over one connection.
PROBE_CONNECTIONS = 1


@pytest.mark.parametrize('cell', SINGLES, ids=str)
def test_single_fault(cell):
    result = matrix.run_cell(cell)
    assert result.problems == []
    if result.skip_reason:
        pytest.skip(result.skip_reason)


@pytest.mark.parametrize('name', CONTROLS)
def test_broken_variant_is_caught(name):
    expected, variant = CONTROLS[name]
    assert any(
        expected in problem
        for cell in SINGLES
        if not LEAF_PATH.exclusion_reason(cell.injections[0])
        for problem in run_leaf(cell.injections, **variant).problems
    )


def test_connections_of_a_draining_leaf_close_after_their_replies():
    simulation = LeafSimulation(lambda *args: None)
    run_search_simulation(simulation)
    assert simulation.open_connections_while_draining <= PROBE_CONNECTIONS


def test_two_lost_statuses_of_a_draining_leaf():
    steps = (Step.PROBE.value, Step.DRAIN.value)
    lost = [matrix.Injection(step, 'response_lost') for step in steps]
    assert matrix.run_cell(matrix.Cell(LEAF_PATH, tuple(lost))).problems == []


def test_step_without_its_faults_fails(monkeypatch):
    monkeypatch.setattr(
        'tests.faults.path_leaf.LEAF_STEPS', [*LEAF_STEPS, Step.RECORD]
    )
    added = set(matrix.single_cells(LEAF_PATH)) - set(SINGLES)
    assert len(added) == len(matrix.get_fault_names(LEAF_PATH))
    assert all(matrix.run_cell(cell).problems for cell in added)
