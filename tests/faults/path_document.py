"""Document path of the fault matrix, on the in-memory network."""

from clementinebank.document import ACCEPT_STEPS
from clementinebank.errors import Step
from tests.faults import common_faults  # noqa: F401
from tests.faults.document_simulation import (
    DocumentSimulation,
    run_document_simulation,
)
from tests.faults.matrix import CellRun, FaultPath, register_path

# Duration of a fault that ends by itself.
FAULT_S = 8
# Longer than every timeout.
PAUSE_S = 60

DOCUMENT_STEPS = [*ACCEPT_STEPS, Step.DISTRIBUTE, Step.ACTIVATE]


def _lose_next_answer(simulation):
    simulation.answers_to_lose += 1


INJECTORS = {
    'kill': DocumentSimulation.kill,
    'pause': lambda simulation: simulation.pause(PAUSE_S),
    'partition': lambda simulation: simulation.cut(FAULT_S),
    'response_lost': _lose_next_answer,
    'delay': lambda simulation: simulation.delay(FAULT_S),
    'outage': lambda simulation: simulation.stop_service(FAULT_S),
    'stale_list': lambda simulation: simulation.freeze_list(FAULT_S),
    'racing_operator': DocumentSimulation.apply_racing_change,
    'restore': DocumentSimulation.restore,
}


def run_document(injections, **variant):
    """Accept a change under faults and repeat it after them.

    ``variant`` selects a broken class of the simulation.
    """
    pending = list(injections)

    def on_step(simulation, step):
        for each in list(pending):
            if each.step == step and each in pending:
                pending.remove(each)
                INJECTORS[each.fault_name](simulation)

    # The step confirm, in which the head is read back, happens only if the
    # answer to a swap was lost.
    needs_confirm = any(each.step == 'confirm' for each in injections)
    simulation = DocumentSimulation(
        on_step, loses_first_swap_answer=needs_confirm, **variant
    )
    problems = run_document_simulation(simulation)
    return CellRun(problems, frozenset(injections) - frozenset(pending))


DOCUMENT_PATH = register_path(
    FaultPath(
        'document',
        lambda: [step.value for step in DOCUMENT_STEPS],
        INJECTORS,
        run_document,
    )
)
