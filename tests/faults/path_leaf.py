"""Leaf path of the fault matrix: a leaf is probed, drained and closed."""

from clementinebank.errors import Step
from tests.faults import common_faults  # noqa: F401
from tests.faults.leaf_simulation import LeafSimulation
from tests.faults.matrix import CellRun, FaultPath, register_path
from tests.faults.search_simulation import run_search_simulation

# Longer than the deadline and the timeouts of the probes.
PAUSE_S = 30
# Duration of a fault that ends by itself.
FAULT_S = 2

LEAF_STEPS = [Step.PROBE, Step.DRAIN, Step.CLOSE]
STEP_NAMES = tuple(step.value for step in LEAF_STEPS)

INJECTORS = {
    'kill': lambda simulation: simulation.kill(),
    'pause': lambda simulation: simulation.pause(PAUSE_S),
    'partition': lambda simulation: simulation.cut(FAULT_S),
    'response_lost': lambda simulation: simulation.add_reply_fault(
        'lost', None
    ),
    'delay': lambda simulation: simulation.delay(FAULT_S),
    'racing_operator': lambda simulation: simulation.request_change(),
}
EXCLUSIONS = {
    'outage': [(STEP_NAMES, 'no step calls the key-value service')],
    'restore': [
        (STEP_NAMES, 'the document path never gives the engine an older head')
    ],
    'stale_list': [(STEP_NAMES, 'the instance list contains no leafs')],
    'response_lost': [(('close',), 'a leaf that is closed is not probed')],
    'racing_operator': [
        (('close',), 'the step is itself the effect of a change')
    ],
}


def run_leaf(injections, **variant):
    """Drain and remove a leaf under faults.

    ``variant`` selects a broken class of the simulation.
    """
    pending = list(injections)

    def on_step(simulation, step, leaf_id):
        for each in list(pending):
            if each.step == step and each in pending:
                pending.remove(each)
                INJECTORS[each.fault_name](simulation)

    simulation = LeafSimulation(on_step, **variant)
    problems = run_search_simulation(simulation)
    reached = [
        each
        for each in injections
        if each not in pending
        and each.fault_name not in simulation.unused_reply_faults
    ]
    return CellRun(problems, frozenset(reached))


LEAF_PATH = register_path(
    FaultPath(
        'leaf',
        lambda: [step.value for step in LEAF_STEPS],
        INJECTORS,
        run_leaf,
        EXCLUSIONS,
    )
)
