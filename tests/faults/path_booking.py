"""Booking path of the fault matrix.

It runs the real booking engine against a fake key-value service and a fake
leaf on the fake clock.
"""

import curio

from clementinebank.booking import BOOKING_STEPS
from clementinebank.booking.tests.fakes import new_request, wait_forever
from clementinebank.booking.tests.simulation import run_simulation
from clementinebank.clock import now
from tests.faults import common_faults  # noqa: F401
from tests.faults.matrix import (
    CellRun,
    FaultPath,
    register_fault,
    register_path,
)

# Longer than every timeout.
PAUSE_S = 3600
OUTAGE_S = 10
# Waits before the three repeats of the booking.
REPEAT_AFTER_S = (0.5, 45, 300)
OTHER_INSTANCE = {'a': 'b', 'b': 'a'}

register_fault(
    'cut_connection',
    'connections break after the other side acted',
    ['booking'],
)
register_fault(
    'write_lost_before', 'the next write is lost before its effect', ['booking']
)
register_fault(
    'write_lost_after', 'the answer to the next write is lost', ['booking']
)
register_fault(
    'late_write', 'the next write fails and takes effect later', ['booking']
)
register_fault(
    'slow_reply', 'the leaf runs and replies after every limit', ['booking']
)
register_fault('unreachable', 'the leaf accepts no connection', ['booking'])
register_fault(
    'repeat', 'the caller repeats at another instance meanwhile', ['booking']
)


async def _kill(simulation, instance, run):
    instance.is_killed = True
    await wait_forever()


async def _pause(simulation, instance, run):
    simulation.pause(PAUSE_S)
    await _book_elsewhere(simulation, instance, run)


async def _cut_connection(simulation, instance, run):
    instance.cut_connections()
    simulation.key_value.read_faults += 1
    simulation.leaf.reply_faults.append('cut')


async def _outage(simulation, instance, run):
    simulation.key_value.down_until = now() + OUTAGE_S


async def _repeat(simulation, instance, run):
    await curio.spawn(_book_elsewhere, simulation, instance, run, daemon=True)


async def _book_elsewhere(simulation, instance, run):
    request = new_request(run.booking.request.key)
    await simulation.book(OTHER_INSTANCE[instance.name], request)


def _write_fault(name):
    async def inject(simulation, instance, run):
        simulation.key_value.write_faults.append(name)

    return inject


def _leaf_fault(name):
    async def inject(simulation, instance, run):
        simulation.leaf.reply_faults.append(name)

    return inject


INJECTORS = {
    'kill': _kill,
    'pause': _pause,
    'cut_connection': _cut_connection,
    'write_lost_before': _write_fault('lost_before'),
    'write_lost_after': _write_fault('lost_after'),
    'late_write': _write_fault('late'),
    'outage': _outage,
    'slow_reply': _leaf_fault('slow'),
    'refusal': _leaf_fault('refuse'),
    'unreachable': _leaf_fault('unreachable'),
    'repeat': _repeat,
}


def run_booking(injections, **variant):
    """Run a booking under faults, then repeat it at both instances.

    ``variant`` are arguments of the simulation that replace a part of it by a
    broken one.
    """
    pending = list(injections)
    problems = []

    async def on_step(instance, run, step):
        for each in list(pending):
            if each.step == step.value and each in pending:
                pending.remove(each)
                await INJECTORS[each.fault_name](simulations[0], instance, run)

    async def scenario(simulation):
        simulations.append(simulation)
        simulation.on_step = on_step
        first = new_request()
        is_paused = any(each.fault_name == 'pause' for each in injections)
        await simulation.book('a', first, alone=is_paused)
        for name, wait_s in zip('bab', REPEAT_AFTER_S, strict=True):
            await curio.sleep(wait_s)
            await simulation.book(name, new_request(first.key))
        await curio.sleep(max(REPEAT_AFTER_S))
        problems.extend(await simulation.problems())

    simulations = []
    run_simulation(scenario, **variant)
    reached = frozenset(injections) - frozenset(pending)
    return CellRun(problems, reached)


BOOKING_PATH = register_path(
    FaultPath(
        'booking',
        lambda: [step.value for step in BOOKING_STEPS],
        INJECTORS,
        run_booking,
    )
)
