"""A small fleet that accepts, distributes and activates one change."""

import attrs
import curio

from clementinebank.clock import FakeClockKernel, now
from clementinebank.distribution import DocumentState
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.distribution.tests.network import (
    SERVICE_TEXT,
    Network,
    changed,
    failure,
    first_head,
)
from clementinebank.document import (
    AcceptChange,
    Change,
    merge_change,
)
from clementinebank.document import _accept as accept_module
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.membership import ListedInstance

COUNT = 6
CHANGE_ID = '00000000-0000-4000-8000-000000000001'
OTHER_ID = '00000000-0000-4000-8000-000000000002'
DELAY_S = 1.5
SECTION = 'service.desk'
# Time limit of R8, and of an acceptance with the answer to its last call.
TARGET_S = 12
ACCEPT_LIMIT_S = 14
# An acceptance at its limit, and the time limit of R8 after it. No fault lasts
# longer than the acceptance.
RUN_S = ACCEPT_LIMIT_S + TARGET_S
JOB_INTERVAL_S = 0.005


@attrs.define(eq=False)
class StepPort:
    """The service as the accepting instance sees it, step by step."""

    world: object
    port: object
    has_swapped: bool = False

    async def read(self, key):
        await self.world.reach('confirm' if self.has_swapped else 'read_head')
        return await self._answer(self.port.read(key))

    async def swap(self, key, value, version):
        await self.world.reach('swap')
        self.has_swapped = True
        swapped = await self._answer(self.port.swap(key, value, version))
        if self.world.loses_first_swap:
            self.world.loses_first_swap = False
            return failure('kv')
        return swapped

    async def _answer(self, call):
        answer = await call
        await curio.sleep(self.world.delay_s)
        if self.world.lost_answers:
            self.world.lost_answers -= 1
            return failure('kv')
        return answer


@attrs.define(eq=False)
class DocumentWorld:
    """One fleet, one change and the faults in force."""

    on_step: object
    state_class: type = DocumentState
    reader_class: type = HeadReader
    accept_class: type = AcceptChange
    loses_first_swap: bool = False
    network: Network = None
    node: object = None
    results: list = attrs.Factory(list)
    accepted: dict = attrs.Factory(dict)
    delay_s: float = 0
    lost_answers: int = 0
    is_killed: bool = False
    is_armed: bool = False
    paused_s: float = 0
    problems: list = attrs.Factory(list)
    jobs: list = attrs.Factory(list)

    async def reach(self, step):
        self.note(step)
        if self.is_armed and self.is_killed:
            await curio.Event().wait()

    def note(self, step):
        """Inject what is due at a step; it may perform no I/O."""
        if self.is_armed:
            self.on_step(self, step)

    # Faults.

    def at(self, delay_s, job):
        """Run a coroutine function later; steps without I/O need it."""
        self.jobs.append((now() + delay_s, job))

    async def run_jobs(self):
        while True:
            for due_at, job in list(self.jobs):
                if due_at <= now():
                    self.jobs.remove((due_at, job))
                    await curio.spawn(job, daemon=True)
            await curio.sleep(JOB_INTERVAL_S)

    def kill(self):
        self.is_killed = True
        self.at(0, self.node.pause)

    def pause(self, seconds):
        curio.kernel.time.advance(seconds)
        self.paused_s += seconds

    def cut(self, seconds):
        """Cut the data centre of the accepting instance from everything."""
        inside = self.network.in_data_centre(self.node.data_centre)
        self.network.partition(('north',), ('central', 'south'))

        async def heal():
            self.network.heal()
            for node in inside:
                node.key_value.cut = False

        for node in inside:
            node.key_value.cut = True
        self.at(seconds, heal)

    def delay(self, seconds):
        async def end():
            self.delay_s = 0

        self.delay_s = DELAY_S
        self.at(seconds, end)

    def stop_service(self, seconds):
        async def start():
            self.network.key_value.down = False

        self.network.key_value.down = True
        self.at(seconds, start)

    def freeze_list(self, seconds):
        async def thaw():
            self.network.instance_list.frozen = None

        known = self.network.nodes[:2]
        self.network.instance_list.frozen = [
            ListedInstance(node.instance_id, node.address, node.data_centre)
            for node in known
        ]
        self.at(seconds, thaw)

    def restore(self):
        """Return the service to the state before the last revision."""
        service = self.network.key_value
        service.value = first_head().encode()
        service.version += 1

    def race(self):
        node = self.network.nodes[2]
        change = self.change(OTHER_ID, 'service.orders', 222)
        self.at(0, lambda: self.apply(change, node, node.key_value))

    async def apply(self, change, node, port):
        """Accept a change as the operators' route does."""
        started = now()
        exchange = node.exchange
        use_case = self.accept_class(
            port,
            lambda: exchange.state.head,
            lambda: exchange.change_failure(now()),
        )
        result = await use_case.run(change)
        self.results.append((change.change_id, result, now() - started))
        if result.head is not None and result.head.extends(exchange.state.head):
            await node.follower.accept(result.head)
        if result.outcome.value == 'accepted':
            self.accepted[change.change_id] = change

    def change(self, change_id=CHANGE_ID, name=SECTION, deadline_ms=111):
        text = SERVICE_TEXT.format(deadline_ms=deadline_ms)
        return Change(change_id, 2, 'ana', {name: text})

    async def run(self):
        self.network = Network(
            count=COUNT,
            state_class=self.state_class,
            reader_class=self.reader_class,
        )
        network = self.network
        await network.start(changed(first_head(), 'yard', 100))
        await network.settle(2)
        self.node = network.nodes[0]
        self._watch_steps()
        await curio.spawn(self.run_jobs, daemon=True)
        self.is_armed = True
        port = StepPort(self, self.node.key_value)
        await curio.spawn(
            self.apply, self.change(), self.node, port, daemon=True
        )
        await self._wait(RUN_S)
        if not self.is_killed and CHANGE_ID not in self._result_ids():
            self.problems.append('R3 the change has no result')
        self._check()
        self.is_armed = False
        if self.is_killed:
            await self.node.boot()
        await self._repeat()
        await self._wait(TARGET_S)
        self._check()
        return self.problems

    def _result_ids(self):
        return [change_id for change_id, *_ in self.results]

    async def _wait(self, seconds):
        """Wait without the time in which the processes stood still."""
        started = now() - self.paused_s
        while now() - self.paused_s < started + seconds:
            await curio.sleep(0.25)

    async def _repeat(self):
        """Repeat the change elsewhere, as its operator would."""
        node = self.network.nodes[1]
        await self.apply(self.change(), node, node.key_value)
        outcome = self.results[-1][1].outcome.value
        if outcome != 'accepted':
            self.problems.append(f'R8 the repeated change is {outcome}')

    def _watch_steps(self):
        """Report that the change leaves the node and is put in force."""
        node = self.node
        node.follower.activated = self._activated_at(node)
        transport = self.node.follower.transport
        self.node.follower.transport = StepTransport(self, transport)

    def _activated_at(self, node):
        original = node.follower.activated

        async def activated():
            if node.exchange.state.head.find_change(CHANGE_ID):
                await self.reach('activate')
            await original()

        return activated

    def _check(self):
        for change_id, result, elapsed_s in self.results:
            name = change_id[-2:]
            if elapsed_s > ACCEPT_LIMIT_S + self.paused_s:
                self.problems.append(f'R3 change {name} took {elapsed_s} s')
            if result.outcome.value in ('refused', 'invalid', 'conflict'):
                self._check_not_accepted(change_id, result)
        if self.network.decreases:
            self.problems.append(f'R8 reverted: {self.network.decreases}')
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
class StepTransport:
    """Calls of the accepting instance to its peers."""

    world: object
    transport: object

    async def sync(self, member, message):
        head = self.world.node.exchange.state.head
        if head.find_change(CHANGE_ID):
            await self.world.reach('distribute')
            await curio.sleep(self.world.delay_s)
            if self.world.lost_answers:
                self.world.lost_answers -= 1
                await self.transport.sync(member, message)
                return failure(member.instance_id)
        return await self.transport.sync(member, message)


def run_document_world(world):
    """Run a world on the fake clock; return its problems."""
    violations = VIOLATIONS_BY_NAME.copy()
    original = accept_module.merge_change
    with FakeClockKernel() as kernel:
        accept_module.merge_change = _merge_reached(world)
        try:
            problems = kernel.run(world.run)
        finally:
            accept_module.merge_change = original
    broken = VIOLATIONS_BY_NAME - violations
    return [*problems, *(f'invariant {name}' for name in broken)]


def _merge_reached(world):
    def merge(head, change, time):
        if world.is_armed and change.change_id == CHANGE_ID:
            world.note('merge')
        return merge_change(head, change, time)

    return merge
