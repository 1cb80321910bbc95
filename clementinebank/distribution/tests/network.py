"""In-memory network of document followers on the fake clock.

The key-value service, the instance list and the calls between instances are
fakes with faults.
"""

import random
from collections import Counter

import attrs
import curio
from result import Err, Ok

from clementinebank.clock import FakeClockKernel, now, wall_time
from clementinebank.coordination import Entry
from clementinebank.distribution import (
    DocumentFollower,
    DocumentState,
    Exchange,
)
from clementinebank.distribution._head_reader import HeadReader
from clementinebank.distribution._peer_replies import PeerReplies
from clementinebank.document import AcceptedChange, HeadRecord, Section
from clementinebank.errors import Failure, Step
from clementinebank.membership import ListedInstance, Member, MembershipView
from clementinebank.validation import Address

DATA_CENTRES = ('north', 'central', 'south')
FIRST_ACCEPTED_AT = 1_800_000_000.0
CALL_TIMEOUT_S = 1.0
SERVICE_TIMEOUT_S = 2.0
SAMPLE_INTERVAL_S = 0.25
FLEET_TEXT = """\
owner: platform
max_instances: 8
isolation: {isolation}
data_centres:
  north: {{region: r1}}
  central: {{region: r2}}
  south: {{region: r3}}
"""
SERVICE_TEXT = """\
owner: team
kind: search
slots: 2
connections: 30
deadline_ms: {deadline_ms}
groups:
  g0:
    yard: north
    leafs:
      l0: {{address: '127.0.0.1:1000', data_centre: north}}
"""


def fleet_text(isolation='refuse'):
    return FLEET_TEXT.format(isolation=isolation)


def first_head(isolation='refuse'):
    section = Section(fleet_text(isolation), 1, 'c1', 'eve', FIRST_ACCEPTED_AT)
    entry = AcceptedChange('c1', 1, 'eve', ('fleet',), FIRST_ACCEPTED_AT)
    return HeadRecord(1, {'fleet': section}, (entry,))


def with_service_change(head, name, deadline_ms, change_id=None, at=None):
    """Return a head record with one more change, of a service section."""
    revision = head.revision + 1
    text = SERVICE_TEXT.format(deadline_ms=deadline_ms)
    change_id = change_id or f'c{revision}-{name}-{deadline_ms}'
    accepted_at = at or FIRST_ACCEPTED_AT + revision
    section = Section(text, revision, change_id, 'eve', accepted_at)
    sections = {**head.sections_by_name, f'service.{name}': section}
    entry = AcceptedChange(
        change_id, revision, 'eve', (f'service.{name}',), accepted_at
    )
    return HeadRecord(revision, sections, (*head.changes, entry))


def failure(peer):
    return Err(Failure('unreachable', 'lost', Step.DISTRIBUTE, peer=peer))


@attrs.define(eq=False)
class FakeKeyValue:
    """Fake of the document's key in the key-value service.

    It can be down, and a test can store an older head, as a restore does.
    """

    value: bytes = b''
    version: int = 0
    down: bool = False
    calls: Counter = attrs.Factory(Counter)
    watching: Counter = attrs.Factory(Counter)
    changed: curio.Condition = attrs.Factory(curio.Condition)

    async def store(self, head):
        self.value = head if isinstance(head, bytes) else head.encode()
        self.version += 1
        async with self.changed:
            await self.changed.notify_all()

    async def wait_changed(self, version, wait_s):
        end = now() + wait_s
        while self.version == version and now() < end:
            async with curio.ignore_after(end - now()):
                async with self.changed:
                    await self.changed.wait()


@attrs.define(eq=False)
class NodeKeyValue:
    """Access of one instance to the key-value service.

    With ``cut`` every call of this instance times out.
    """

    service: FakeKeyValue
    data_centre: str
    cut: bool = False

    async def read(self, key):
        self.service.calls['read'] += 1
        if await self._is_down():
            return failure('kv')
        return Ok(Entry(self.service.value, self.service.version))

    async def compare_and_swap(self, key, value, version):
        self.service.calls['swap'] += 1
        if await self._is_down():
            return failure('kv')
        if version != self.service.version:
            message = 'the version has changed'
            return Err(Failure('version_mismatch', message, Step.SWAP))
        await self.service.store(value)
        return Ok(Entry(value, self.service.version))

    async def watch(self, key, version, wait_ms):
        self.service.calls['watch'] += 1
        if await self._is_down():
            return failure('kv')
        self.service.watching[self.data_centre] += 1
        try:
            await self.service.wait_changed(version, wait_ms / 1000)
        finally:
            self.service.watching[self.data_centre] -= 1
        if await self._is_down():
            return failure('kv')
        if self.service.version == version:
            return Ok(None)
        return Ok(Entry(self.service.value, self.service.version))

    async def _is_down(self):
        if not (self.service.down or self.cut):
            return False
        await curio.sleep(SERVICE_TIMEOUT_S)
        return True


@attrs.define(eq=False)
class FakeList:
    """Fake of the platform's instance list.

    It lists the nodes that are not removed, or ``frozen`` if a test sets it,
    and fails while ``down``.
    """

    network: 'Network'
    down: bool = False
    frozen: list = None

    async def instances(self):
        if self.down:
            return failure('list')
        if self.frozen is not None:
            return Ok(self.frozen)
        return Ok(
            [
                ListedInstance(node.instance_id, node.address, node.data_centre)
                for node in self.network.nodes_by_id.values()
                if not node.removed
            ]
        )


@attrs.define(eq=False)
class Node:
    """One instance of the network; ``task`` runs its loops, if any."""

    network: 'Network'
    instance_id: str
    data_centre: str
    address: Address
    key_value: NodeKeyValue
    follower: DocumentFollower = None
    task: object = None
    removed: bool = False
    activations: list = attrs.Factory(list)

    @property
    def exchange(self):
        return self.follower.exchange

    @property
    def revision(self):
        return self.exchange.state.revision

    @property
    def is_running(self):
        return self.task is not None

    def accepts_changes(self):
        return self.exchange.change_failure(now()) is None

    def currency(self):
        return self.exchange.currency_state(now()).value

    async def start_incarnation(self):
        """Start a new incarnation without a document or a view."""
        own = Member(
            self.instance_id,
            int(wall_time() * 1000),
            self.address,
            self.data_centre,
        )
        seed = f'{self.network.seed}/{self.instance_id}/{own.incarnation}'
        view = self.network.view_class(own, random.Random(seed))
        exchange = Exchange(
            view,
            self.network.state_class(),
            peer_replies=self.network.peer_replies_class(),
        )
        self.follower = DocumentFollower(
            exchange,
            self.network.reader_class(self.key_value, exchange),
            self.network.instance_list,
            Transport(self),
            self._on_activated,
        )
        self.activations = []
        await self.resume()

    async def resume(self):
        self.task = await curio.spawn(self.follower.run)

    async def pause(self):
        """Stop the loops; ``resume`` starts them again with the same state."""
        task, self.task = self.task, None
        await task.cancel()

    async def _on_activated(self):
        self.activations.append((now(), self.revision))


@attrs.define(eq=False)
class Transport:
    """Calls from one node to others with the network's delays and faults."""

    node: Node

    async def sync(self, member, message):
        network = self.node.network
        peer = network.nodes_by_id[member.instance_id]
        network.messages += 1
        if not network.is_connected(self.node, peer):
            await curio.sleep(CALL_TIMEOUT_S)
            return failure(member.instance_id)
        await curio.sleep(network.delay_s(self.node, peer))
        if not network.is_connected(self.node, peer):
            await curio.sleep(CALL_TIMEOUT_S)
            return failure(member.instance_id)
        if network.on_message is not None:
            message = network.on_message(message)
        reply = await peer.follower.handle_request(message)
        await curio.sleep(network.delay_s(peer, self.node))
        if network.on_message is not None:
            reply = network.on_message(reply)
        return Ok(reply)


@attrs.define(eq=False)
class Network:
    """Instances with a key-value service and an instance list, all faked.

    ``drop`` is the probability that one direction of a call is lost, and
    ``on_message`` can replace each message. ``revision_decreases``
    collects every observed decrease of a revision in force.
    """

    count: int = 30
    seed: int = 7
    data_centres: tuple = DATA_CENTRES
    drop: float = 0.0
    state_class: type = DocumentState
    reader_class: type = HeadReader
    view_class: type = MembershipView
    peer_replies_class: type = PeerReplies
    on_message: object = None
    key_value: FakeKeyValue = attrs.Factory(FakeKeyValue)
    nodes_by_id: dict = attrs.Factory(dict)
    cut_groups: dict = attrs.Factory(dict)
    rng: random.Random = None
    instance_list: FakeList = None
    messages: int = 0
    revision_decreases: list = attrs.Factory(list)
    watching_max: Counter = attrs.Factory(Counter)
    _last_revisions: dict = attrs.Factory(dict)

    async def start(self, head=None):
        self.rng = random.Random(self.seed)
        self.instance_list = FakeList(self)
        if head is not None:
            await self.key_value.store(head)
        for number in range(self.count):
            self.add(number)
        for node in self.nodes:
            await node.start_incarnation()
        await curio.spawn(self._run_checks, daemon=True)

    def add(self, number):
        data_centre = self.data_centres[number % len(self.data_centres)]
        node = Node(
            self,
            f'i{number:04d}',
            data_centre,
            Address('127.0.0.1', 1000 + number),
            NodeKeyValue(self.key_value, data_centre),
        )
        self.nodes_by_id[node.instance_id] = node
        return node

    @property
    def nodes(self):
        return list(self.nodes_by_id.values())

    @property
    def running(self):
        return [node for node in self.nodes if node.is_running]

    def in_data_centre(self, name):
        return [node for node in self.nodes if node.data_centre == name]

    def partition(self, *groups):
        """Cut the data centres of different groups from each other."""
        self.cut_groups = {
            name: index for index, group in enumerate(groups) for name in group
        }

    def heal(self):
        self.cut_groups = {}

    def is_connected(self, one, other):
        groups = self.cut_groups
        same = groups.get(one.data_centre) == groups.get(other.data_centre)
        return (
            same
            and one.is_running
            and other.is_running
            and self.rng.random() >= self.drop
        )

    def delay_s(self, one, other):
        base = 0.001 if one.data_centre == other.data_centre else 0.02
        return base * (0.5 + self.rng.random())

    async def wait_for_revision(self, revision, limit_s, nodes=None):
        """Return the seconds until all nodes have a revision.

        ``None`` means that some had not after ``limit_s``.
        """
        start = now()
        while now() - start <= limit_s:
            waited = self.running if nodes is None else nodes
            if all(node.revision >= revision for node in waited):
                return now() - start
            await curio.sleep(0.05)
        return None

    async def wait_until_stable(self, revision=1, limit_s=30):
        assert await self.wait_for_revision(revision, limit_s) is not None
        await curio.sleep(10)

    def revisions(self):
        return sorted({node.revision for node in self.running})

    async def stop(self):
        for node in self.running:
            await node.pause()

    async def _run_checks(self):
        while True:
            for name, count in self.key_value.watching.items():
                if self.watching_max[name] < count:
                    self.watching_max[name] = count
            for node in self.nodes:
                self._check_increase(node)
            await curio.sleep(SAMPLE_INTERVAL_S)

    def _check_increase(self, node):
        incarnation = node.exchange.view.own.incarnation
        key = (node.instance_id, id(node.follower))
        before = self._last_revisions.get(key, 0)
        if node.revision < before:
            self.revision_decreases.append(
                (node.instance_id, incarnation, now())
            )
        self._last_revisions[key] = node.revision


def run_network(scenario, **options):
    """Run a scenario on the fake clock and return what it returns."""

    async def run():
        network = Network(**options)
        try:
            return await scenario(network)
        finally:
            await network.stop()

    with FakeClockKernel() as kernel:
        return kernel.run(run)
