"""Guards against a simulation that hides a crashed attempt.

Nobody joins the task of an attempt, so that an exception in it would otherwise
be lost and the checks of the simulation would pass.
"""

from clementinebank.booking.tests.fakes import new_request
from clementinebank.booking.tests.simulation import run_simulation


def test_crash_of_an_attempt_is_reported_as_a_problem():
    problems = []

    async def crash(instance, run, step):
        raise RuntimeError(step.value)

    async def scenario(simulation):
        simulation.on_step = crash
        await simulation.book('a', new_request())
        problems.extend(await simulation.problems())

    run_simulation(scenario)
    assert any('task crashed' in problem for problem in problems)
