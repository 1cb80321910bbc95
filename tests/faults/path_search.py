"""Search path of the fault matrix, on fake leafs and the fake clock."""

from clementinebank.errors import Step
from tests.faults import common_faults  # noqa: F401
from tests.faults.matrix import (
    CellRun,
    FaultPath,
    register_fault,
    register_path,
)
from tests.faults.search_simulation import (
    SearchSimulation,
    run_search_simulation,
)

# Longer than the deadline and the timeouts of probes and of late replies.
PAUSE_S = 30
# Duration of a fault that ends by itself.
FAULT_S = 2

SEARCH_ONLY = ('search',)
register_fault(
    'index_change', 'the leafs serve another snapshot from now on', SEARCH_ONLY
)
register_fault('repartition', 'another snapshot moves a partition', SEARCH_ONLY)
register_fault(
    'crossed', 'the leaf sends the reply to another request', SEARCH_ONLY
)
register_fault('truncated', 'the reply ends early', SEARCH_ONLY)
register_fault(
    'malformed', 'the reply is not what the protocol states', SEARCH_ONLY
)

# Steps, each with the method of the simulation that reports it or creates the
# object that does.
SEARCH_STEPS = {
    Step.ACCEPT: SearchSimulation.search,
    Step.ADMIT: SearchSimulation.hook_query,
    Step.PIN: SearchSimulation.hook_query,
    Step.DISPATCH: SearchSimulation.connection_to,
    Step.READ: SearchSimulation.connection_to,
    Step.MERGE: SearchSimulation.hook_query,
    Step.RESPOND: SearchSimulation.search,
}
STEP_NAMES = tuple(step.value for step in SEARCH_STEPS)


def _reply_fault(name):
    def inject(simulation, leaf_id):
        simulation.add_reply_fault(name, leaf_id)

    return inject


INJECTORS = {
    'kill': lambda simulation, leaf_id: simulation.kill(),
    'pause': lambda simulation, leaf_id: simulation.pause(PAUSE_S),
    'partition': lambda simulation, leaf_id: simulation.cut(FAULT_S),
    'delay': lambda simulation, leaf_id: simulation.delay(FAULT_S),
    'refusal': lambda simulation, leaf_id: simulation.refuse(FAULT_S),
    'racing_operator': lambda simulation, leaf_id: simulation.request_change(),
    'index_change': lambda simulation, leaf_id: simulation.publish({}),
    'repartition': lambda simulation, leaf_id: simulation.publish({1: 'g1'}),
    'response_lost': _reply_fault('lost'),
    'crossed': _reply_fault('crossed'),
    'truncated': _reply_fault('truncated'),
    'malformed': _reply_fault('malformed'),
}

NO_KEY_VALUE_CALL = 'the search path makes no call to the key-value service'
EXCLUSIONS = {
    'outage': [(STEP_NAMES, NO_KEY_VALUE_CALL)],
    'restore': [
        (STEP_NAMES, 'the document path never gives the engine an older head')
    ],
    'stale_list': [
        (STEP_NAMES, 'the leafs of a search come from the document')
    ],
    **{
        name: [(('respond',), 'no reply of a leaf is read after this step')]
        for name in ('response_lost', 'crossed', 'truncated', 'malformed')
    },
}


def run_search(injections, **variant):
    """Run three searches under faults, then one after the faults ended.

    ``variant`` selects a broken class of the simulation.
    """
    pending = list(injections)

    def on_step(simulation, step, leaf_id):
        for each in list(pending):
            if each.step == step and each in pending:
                pending.remove(each)
                INJECTORS[each.fault_name](simulation, leaf_id)

    simulation = SearchSimulation(on_step, **variant)
    problems = run_search_simulation(simulation)
    reached = [
        each
        for each in injections
        if each not in pending
        and each.fault_name not in simulation.unused_reply_faults
    ]
    return CellRun(problems, frozenset(reached))


SEARCH_PATH = register_path(
    FaultPath(
        'search',
        lambda: [step.value for step in SEARCH_STEPS],
        INJECTORS,
        run_search,
        EXCLUSIONS,
    )
)
