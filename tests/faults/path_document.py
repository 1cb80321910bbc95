"""Document path of the fault matrix, on the in-memory network."""

from clementinebank.document import ACCEPT_STEPS
from clementinebank.errors import Step
from tests.faults import common_faults  # noqa: F401
from tests.faults.document_world import DocumentWorld, run_document_world
from tests.faults.matrix import CellRun, FaultPath, fault_path

# Duration of a fault that ends by itself.
FAULT_S = 8
# Longer than every timeout.
PAUSE_S = 60

DOCUMENT_STEPS = [*ACCEPT_STEPS, Step.DISTRIBUTE, Step.ACTIVATE]


def _lose_next_answer(world):
    world.answers_to_lose += 1


INJECTORS = {
    'kill': DocumentWorld.kill,
    'pause': lambda world: world.pause(PAUSE_S),
    'partition': lambda world: world.cut(FAULT_S),
    'response_lost': _lose_next_answer,
    'delay': lambda world: world.delay(FAULT_S),
    'outage': lambda world: world.stop_service(FAULT_S),
    'stale_list': lambda world: world.freeze_list(FAULT_S),
    'racing_operator': DocumentWorld.apply_racing_change,
    'restore': DocumentWorld.restore,
}


def run_document(injections, **variant):
    """Accept a change under faults and repeat it after them.

    ``variant`` selects a broken class of the world.
    """
    pending = list(injections)

    def on_step(world, step):
        for each in list(pending):
            if each.step == step and each in pending:
                pending.remove(each)
                INJECTORS[each.fault](world)

    # The step confirm, in which the head is read back, happens only if the
    # answer to a swap was lost.
    needs_confirm = any(each.step == 'confirm' for each in injections)
    world = DocumentWorld(
        on_step, loses_first_swap_answer=needs_confirm, **variant
    )
    problems = run_document_world(world)
    return CellRun(problems, frozenset(injections) - frozenset(pending))


DOCUMENT_PATH = fault_path(
    FaultPath(
        'document',
        lambda: [step.value for step in DOCUMENT_STEPS],
        INJECTORS,
        run_document,
    )
)
