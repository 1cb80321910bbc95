"""Guards against checks of the world that see no broken guarantee."""

from clementinebank.booking.tests.fakes import new_request
from clementinebank.booking.tests.world import run_world


def test_crash_of_a_run_is_a_problem():
    problems = []

    async def crash(instance, run, step):
        raise RuntimeError(step.value)

    async def scenario(world):
        world.on_step = crash
        await world.book('a', new_request())
        problems.extend(await world.problems())

    run_world(scenario)
    assert any('task crashed' in problem for problem in problems)
