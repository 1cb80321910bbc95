"""Simulated fleet for the document path of the fault matrix.

The fleet accepts one change, distributes it to its instances and activates
it. Each step is reported, so that faults can be injected there.
"""

import attrs
import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.distribution import DocumentState
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.distribution.tests.network import (
    SERVICE_TEXT,
    Network,
    failure,
    first_head,
    with_service_change,
)
from clementinebank.document import (
    AcceptChange,
    Change,
    merge_change,
)
from clementinebank.document import _accept as accept_module
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.membership import ListedInstance

INSTANCE_COUNT = 6
CHANGE_ID = '00000000-0000-4000-8000-000000000001'
RACING_CHANGE_ID = '00000000-0000-4000-8000-000000000002'
# Delay of each answer while the fault ``delay`` lasts.
ANSWER_DELAY_S = 1.5
SECTION = 'service.desk'
# R8: time until an accepted change is in force at every running instance.
DISTRIBUTION_LIMIT_S = 12
# R3: time until the operator has a result. AcceptChange starts no call after
# its own limit, but it waits for the answer to the last one.
ACCEPT_LIMIT_S = 14
# Time from the start of the change to the first check: an acceptance that ends
# at its limit, then the limit of R8. No fault lasts longer than the acceptance.
RUN_S = ACCEPT_LIMIT_S + DISTRIBUTION_LIMIT_S
# Interval at which scheduled jobs that are due are started.
JOB_INTERVAL_S = 0.005


@attrs.define(eq=False)
class StepReportingKeyValue:
    """Key-value service of the accepting instance; reports each step."""

    simulation: object
    key_value: object
    has_swapped: bool = False

    async def read(self, key):
        await self.simulation.enter_step(
            'confirm' if self.has_swapped else 'read_head'
        )
        return await self._pass_answer(self.key_value.read(key))

    async def compare_and_swap(self, key, value, version):
        await self.simulation.enter_step('swap')
        self.has_swapped = True
        swapped = await self._pass_answer(
            self.key_value.compare_and_swap(key, value, version)
        )
        if self.simulation.loses_first_swap_answer:
            self.simulation.loses_first_swap_answer = False
            return failure('kv')
        return swapped

    async def _pass_answer(self, call):
        answer = await call
        await curio.sleep(self.simulation.delay_s)
        if self.simulation.answers_to_lose:
            self.simulation.answers_to_lose -= 1
            return failure('kv')
        return answer


@attrs.define(eq=False)
class DocumentSimulation:
    """A fleet, its change, the current faults and the problems found.

    Parameters
    ----------
    on_step : callable
        Injects the faults of a step; receives this simulation and the step.
    state_class, reader_class, accept_class : type
        Classes under test; a negative control replaces one of them.
    loses_first_swap_answer : bool
        True if the first swap takes effect but its answer is lost.
    """

    on_step: object
    state_class: type = DocumentState
    reader_class: type = HeadReader
    accept_class: type = AcceptChange
    loses_first_swap_answer: bool = False
    network: Network = None
    node: object = None
    results: list = attrs.Factory(list)
    accepted: dict = attrs.Factory(dict)
    delay_s: float = 0
    answers_to_lose: int = 0
    is_killed: bool = False
    is_injecting: bool = False
    paused_s: float = 0
    problems: list = attrs.Factory(list)
    jobs: list = attrs.Factory(list)

    async def enter_step(self, step):
        """Report a step with I/O; never return if the instance is killed."""
        self.report_step(step)
        if self.is_injecting and self.is_killed:
            await curio.Event().wait()

    def report_step(self, step):
        """Inject the faults of a step; called directly by steps without I/O."""
        if self.is_injecting:
            self.on_step(self, step)

    # Injection of faults.

    def schedule(self, delay_s, job):
        """Schedule a coroutine function, for faults at steps without I/O."""
        self.jobs.append((now() + delay_s, job))

    async def run_jobs(self):
        """Start every scheduled job when it is due; never return."""
        while True:
            for due_at, job in list(self.jobs):
                if due_at <= now():
                    self.jobs.remove((due_at, job))
                    await curio.spawn(job, daemon=True)
            await curio.sleep(JOB_INTERVAL_S)

    def kill(self):
        self.is_killed = True
        self.schedule(0, self.node.pause)

    def pause(self, seconds):
        """Advance the clock while every process of the fleet is stopped."""
        curio.kernel.time.advance(seconds)
        self.paused_s += seconds

    def cut(self, seconds):
        """Cut off the data centre of the accepting instance.

        Its instances reach neither the other data centres nor the key-value
        service.
        """
        inside = self.network.in_data_centre(self.node.data_centre)
        self.network.partition(('north',), ('central', 'south'))

        async def heal():
            self.network.heal()
            for node in inside:
                node.key_value.cut = False

        for node in inside:
            node.key_value.cut = True
        self.schedule(seconds, heal)

    def delay(self, seconds):
        async def end_delay():
            self.delay_s = 0

        self.delay_s = ANSWER_DELAY_S
        self.schedule(seconds, end_delay)

    def stop_service(self, seconds):
        async def restart():
            self.network.key_value.down = False

        self.network.key_value.down = True
        self.schedule(seconds, restart)

    def freeze_list(self, seconds):
        """Let the instance list name only the first two instances."""

        async def unfreeze():
            self.network.instance_list.frozen = None

        listed = self.network.nodes[:2]
        self.network.instance_list.frozen = [
            ListedInstance(node.instance_id, node.address, node.data_centre)
            for node in listed
        ]
        self.schedule(seconds, unfreeze)

    def restore(self):
        """Restore the key-value service to revision 1, before the start."""
        service = self.network.key_value
        service.value = first_head().encode()
        service.version += 1

    def apply_racing_change(self):
        """Let another operator apply a change at another instance."""
        node = self.network.nodes[2]
        change = self.change(RACING_CHANGE_ID, 'service.orders', 222)
        self.schedule(0, lambda: self.apply(change, node, node.key_value))

    async def apply(self, change, node, key_value):
        """Accept a change and put it in force like the operators' route."""
        started = now()
        exchange = node.exchange
        use_case = self.accept_class(
            key_value,
            lambda: exchange.state.head,
            lambda: exchange.change_failure(now()),
        )
        result = await use_case.run(change)
        self.results.append((change.change_id, result, now() - started))
        if result.head is not None and result.head.extends(exchange.state.head):
            await node.follower.apply_written_head(result.head)
        if result.outcome.value == 'accepted':
            self.accepted[change.change_id] = change

    def change(self, change_id=CHANGE_ID, name=SECTION, deadline_ms=111):
        text = SERVICE_TEXT.format(deadline_ms=deadline_ms)
        return Change(change_id, 2, 'ana', {name: text})

    async def run(self):
        """Apply a change under faults, repeat it, and return the problems.

        The guarantees are checked before and after the repeat. An accepting
        instance that was killed is started again before the repeat.
        """
        self.network = Network(
            count=INSTANCE_COUNT,
            state_class=self.state_class,
            reader_class=self.reader_class,
        )
        network = self.network
        await network.start(with_service_change(first_head(), 'yard', 100))
        await network.wait_until_stable(2)
        self.node = network.nodes[0]
        self._hook_steps()
        await curio.spawn(self.run_jobs, daemon=True)
        self.is_injecting = True
        key_value = StepReportingKeyValue(self, self.node.key_value)
        await curio.spawn(
            self.apply, self.change(), self.node, key_value, daemon=True
        )
        await self._wait(RUN_S)
        if not self.is_killed and CHANGE_ID not in self._result_ids():
            self.problems.append('R3 the change has no result')
        self._check_guarantees()
        self.is_injecting = False
        if self.is_killed:
            await self.node.start_incarnation()
        await self._repeat_change()
        await self._wait(DISTRIBUTION_LIMIT_S)
        self._check_guarantees()
        return self.problems

    def _result_ids(self):
        return [change_id for change_id, *_ in self.results]

    async def _wait(self, seconds):
        """Wait for a time that leaves out the injected pauses."""
        started = now() - self.paused_s
        while now() - self.paused_s < started + seconds:
            await curio.sleep(0.25)

    async def _repeat_change(self):
        """Repeat the change at another instance, as its operator would."""
        node = self.network.nodes[1]
        await self.apply(self.change(), node, node.key_value)
        outcome = self.results[-1][1].outcome.value
        if outcome != 'accepted':
            self.problems.append(f'R8 the repeated change is {outcome}')

    def _hook_steps(self):
        """Report the steps ``distribute`` and ``activate`` of the node."""
        node = self.node
        node.follower.on_activated = self._report_activation(node)
        transport = self.node.follower.transport
        self.node.follower.transport = StepReportingTransport(self, transport)

    def _report_activation(self, node):
        original = node.follower.on_activated

        async def on_activated():
            if node.exchange.state.head.find_change(CHANGE_ID):
                await self.enter_step('activate')
            await original()

        return on_activated

    def _check_guarantees(self):
        for change_id, result, elapsed_s in self.results:
            name = change_id[-2:]
            if elapsed_s > ACCEPT_LIMIT_S + self.paused_s:
                self.problems.append(f'R3 change {name} took {elapsed_s} s')
            if result.outcome.value in ('refused', 'invalid', 'conflict'):
                self._check_not_accepted(change_id, result)
        if self.network.revision_decreases:
            self.problems.append(
                f'R8 reverted: {self.network.revision_decreases}'
            )
        for change in self.accepted.values():
            self._check_in_force(change)

    def _check_not_accepted(self, change_id, result):
        if change_id in self.accepted:
            return
        for node in self.network.running:
            if node.exchange.state.head.find_change(change_id):
                self.problems.append(
                    f'R4 {result.outcome.value} change is in force'
                )

    def _check_in_force(self, change):
        for node in self.network.running:
            head = node.exchange.state.head
            for name, text in change.texts_by_section.items():
                if head.texts_by_section.get(name) != text:
                    self.problems.append(
                        f'R8 {name} of {change.change_id[-2:]} is not in '
                        f'force at {node.instance_id}'
                    )


@attrs.frozen
class StepReportingTransport:
    """Calls of the accepting instance to its peers; reports ``distribute``."""

    simulation: object
    transport: object

    async def sync(self, member, message):
        head = self.simulation.node.exchange.state.head
        if head.find_change(CHANGE_ID):
            await self.simulation.enter_step('distribute')
            await curio.sleep(self.simulation.delay_s)
            if self.simulation.answers_to_lose:
                self.simulation.answers_to_lose -= 1
                await self.transport.sync(member, message)
                return failure(member.instance_id)
        return await self.transport.sync(member, message)


def run_document_simulation(simulation):
    """Run a simulation on the fake clock; return its problems.

    They include the invariants that were violated during the run.
    """
    violations = VIOLATIONS_BY_NAME.copy()
    original = accept_module.merge_change
    with FakeClockKernel() as kernel:
        accept_module.merge_change = _reporting_merge(simulation)
        try:
            problems = kernel.run(simulation.run)
        finally:
            accept_module.merge_change = original
    violated = VIOLATIONS_BY_NAME - violations
    return [*problems, *(f'invariant {name}' for name in violated)]


def _reporting_merge(simulation):
    def merge(head, change, time):
        if simulation.is_injecting and change.change_id == CHANGE_ID:
            simulation.report_step('merge')
        return merge_change(head, change, time)

    return merge
