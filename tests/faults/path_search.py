"""Search path of the fault matrix, on fake leafs and the fake clock."""

from clementinebank.errors import Step
from tests.faults import common_faults  # noqa: F401
from tests.faults.matrix import CellRun, FaultPath, fault, fault_path
from tests.faults.search_world import SearchWorld, run_search_world

# Longer than the deadline and the timeouts of probes and of late replies.
PAUSE_S = 30
# Duration of a fault that ends by itself.
FAULT_S = 2

SEARCH_ONLY = ('search',)
fault(
    'index_change', 'the leafs serve another snapshot from now on', SEARCH_ONLY
)
fault('repartition', 'another snapshot moves a partition', SEARCH_ONLY)
fault('crossed', 'the leaf sends the reply to another request', SEARCH_ONLY)
fault('truncated', 'the reply ends early', SEARCH_ONLY)
fault('malformed', 'the reply is not what the protocol states', SEARCH_ONLY)

# Steps, each with the method of the world that reports it or creates the
# object that does.
SEARCH_STEPS = {
    Step.ACCEPT: SearchWorld.search,
    Step.ADMIT: SearchWorld.hook_query,
    Step.PIN: SearchWorld.hook_query,
    Step.DISPATCH: SearchWorld.connection_to,
    Step.READ: SearchWorld.connection_to,
    Step.MERGE: SearchWorld.hook_query,
    Step.RESPOND: SearchWorld.search,
}
STEP_NAMES = tuple(step.value for step in SEARCH_STEPS)


def _reply_fault(name):
    def inject(world, leaf_id):
        world.add_reply_fault(name, leaf_id)

    return inject


INJECTORS = {
    'kill': lambda world, leaf_id: world.kill(),
    'pause': lambda world, leaf_id: world.pause(PAUSE_S),
    'partition': lambda world, leaf_id: world.cut(FAULT_S),
    'delay': lambda world, leaf_id: world.delay(FAULT_S),
    'refusal': lambda world, leaf_id: world.refuse(FAULT_S),
    'racing_operator': lambda world, leaf_id: world.request_change(),
    'index_change': lambda world, leaf_id: world.publish({}),
    'repartition': lambda world, leaf_id: world.publish({1: 'g1'}),
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

    ``variant`` selects a broken class of the world.
    """
    pending = list(injections)

    def on_step(world, step, leaf_id):
        for each in list(pending):
            if each.step == step and each in pending:
                pending.remove(each)
                INJECTORS[each.fault](world, leaf_id)

    world = SearchWorld(on_step, **variant)
    problems = run_search_world(world)
    reached = [
        each
        for each in injections
        if each not in pending and each.fault not in world.unused_reply_faults
    ]
    return CellRun(problems, frozenset(reached))


SEARCH_PATH = fault_path(
    FaultPath(
        'search',
        lambda: [step.value for step in SEARCH_STEPS],
        INJECTORS,
        run_search,
        EXCLUSIONS,
    )
)
