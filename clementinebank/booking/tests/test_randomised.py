"""Guards against combinations of faults that the fault matrix does not list.

A hypothesis state machine books at three instances on a fake clock, injects
faults and checks the guarantees of the simulation after each step. The seed is
fixed and printed; a failure prints the steps that lead to it.
"""

import curio
import hypothesis
import pytest
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from clementinebank.booking import (
    STEP_ORDER,
    BookingBudget,
    BookingEngines,
    Settlement,
    created_at,
    list_claims,
    new_key,
    settle,
)
from clementinebank.booking.tests.fakes import (
    BODY,
    SERVICE,
    new_request,
    wait_forever,
)
from clementinebank.booking.tests.simulation import new_simulation
from clementinebank.booking.tests.variants import VARIANTS
from clementinebank.clock import now, wall_time
from clementinebank.errors import Execution

SEED = 20261204
EXAMPLES = 150
STEPS_PER_EXAMPLE = 40
KEYS = 2
# Age in seconds at which a key is replaced, shortly before it expires.
RENEW_AFTER_S = 86_000
# Time in seconds that passes before the last check. It is longer than any
# attempt or outage.
END_S = 200
NAMES = strategies.sampled_from('abc')
STEPS = strategies.sampled_from(STEP_ORDER)


class Bookings(RuleBasedStateMachine):
    """Requests, faults and actions of operators in random order."""

    variant = {}

    def __init__(self):
        super().__init__()
        self.context = new_simulation(**self.variant)
        self.kernel, self.simulation = self.context.__enter__()
        self.simulation.on_step = self._on_step
        self.faults = []
        wall_s = self.simulation.clock.wall_time()
        self.keys = [new_key(wall_s) for _ in range(KEYS)]

    def teardown(self):
        try:
            self._run(curio.sleep, END_S)
            assert self._run(self.simulation.problems) == []
        finally:
            self.context.__exit__(None, None, None)

    async def _on_step(self, instance, run, step):
        for fault in list(self.faults):
            if fault in self.faults and fault[0] is step:
                self.faults.remove(fault)
                if fault[1] == 'kill':
                    instance.is_killed = True
                    await wait_forever()
                self.simulation.pause(fault[2])

    def _run(self, corofunc, *arguments):
        return self.kernel.run(corofunc, *arguments)

    async def _spawn_booking(self, name, number, body):
        # Expired keys are replaced, or nearly all requests would be refused.
        if wall_time() - created_at(self.keys[number]) > RENEW_AFTER_S:
            self.keys[number] = new_key(wall_time())
        request = new_request(self.keys[number], body)
        await curio.spawn(self.simulation.book, name, request, daemon=True)

    @rule(
        name=NAMES,
        number=strategies.integers(0, KEYS - 1),
        body=strategies.sampled_from([BODY, BODY, b'{}']),
        wait_s=strategies.sampled_from([0, 0.003, 0.01, 2, 100]),
    )
    def book(self, name, number, body, wait_s):
        self._run(self._spawn_booking, name, number, body)
        self._run(curio.sleep, wait_s)

    @rule(step=STEPS, fault=strategies.sampled_from(['kill', 'pause']))
    def fail_at(self, step, fault):
        self.faults.append((step, fault, 3600))

    @rule(fault=strategies.sampled_from(['lost_before', 'lost_after', 'late']))
    def fail_write(self, fault):
        self.simulation.key_value.write_faults.append(fault)

    @rule(
        fault=strategies.sampled_from(
            ['cut', 'refuse', 'slow', 'malformed', 'unreachable']
        )
    )
    def fail_leaf(self, fault):
        self.simulation.leaf.reply_faults.append(fault)

    @rule(seconds=strategies.sampled_from([0.01, 3, 50]))
    def stop_key_value(self, seconds):
        self.simulation.key_value.down_until = (
            self.simulation.clock.monotonic_s + seconds
        )

    @rule(seconds=strategies.sampled_from([0.5, 60, 3600, 90_000]))
    def wait(self, seconds):
        self._run(curio.sleep, seconds)

    @rule(number=strategies.integers(0, KEYS - 1))
    def use_new_key(self, number):
        self.keys[number] = new_key(self.simulation.clock.wall_time())

    @rule()
    def settle_first(self):
        self._run(self._settle_first)

    async def _settle_first(self):
        """Settle the oldest unresolved claim, with its true resolution."""
        simulation = self.simulation
        listed = await list_claims(simulation.key_value, unresolved_only=True)
        if listed.is_err() or not listed.unwrap().records:
            return
        record = listed.unwrap().records[0]
        ran = any(run.key == record.key for run in simulation.leaf.runs)
        resolution = Execution.RAN if ran else Execution.NOT_RUN
        settlement = Settlement(SERVICE, record.key, resolution, 'ana', 'seen')
        await settle(simulation.key_value, settlement, wall_time())

    @rule()
    def remove(self):
        self._run(self._remove)

    async def _remove(self):
        engines = BookingEngines(self.simulation.key_value, 'a', 'north')
        engines.budget = BookingBudget(100)
        document = self.simulation.document
        await engines.remove_expired(document.services_by_name[SERVICE])

    @invariant()
    def holds(self):
        self._run(curio.sleep, 0)
        if now() >= self.simulation.key_value.down_until:
            assert self._run(self.simulation.problems) == []


def run_machine(machine):
    hypothesis.seed(SEED)(machine)
    run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=EXAMPLES,
            stateful_step_count=STEPS_PER_EXAMPLE,
            deadline=None,
            database=None,
            suppress_health_check=list(hypothesis.HealthCheck),
            phases=[hypothesis.Phase.generate],
        ),
    )


def test_randomised_run(capsys):
    with capsys.disabled():
        print(f' [seed {SEED}, {EXAMPLES} runs]', end='')
    run_machine(Bookings)


@pytest.mark.parametrize('name', VARIANTS)
def test_randomised_run_catches_broken_variant(name):
    broken = type('Broken', (Bookings,), {'variant': VARIANTS[name]})
    with pytest.raises((AssertionError, BaseExceptionGroup)):
        run_machine(broken)
