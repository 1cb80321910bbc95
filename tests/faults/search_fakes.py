"""Connections, pool, engine and query of the search path under faults."""

import attrs
import curio

from clementinebank.booking.tests.fakes import hang
from clementinebank.clock import now
from clementinebank.search import Finish, Refuse, SearchEngine
from clementinebank.upstream import LeafPool

LINK_S = 0.001
# The link to one group is so long that its refusals come after the replies of
# the other groups: a query then changes its snapshot with parts at hand.
FAR_GROUP = 'g2'
FAR_LINK_S = 0.012


@attrs.frozen
class Searched:
    """One shard request that a leaf has run."""

    call_id: str
    leaf_id: str
    snapshot: str
    partitions: tuple
    at: float


@attrs.define(eq=False)
class FakeConnection:
    """Connection of an instance to a fake leaf."""

    world: object
    leaf_id: str
    engine: object
    is_reusable: bool = False
    replies: object = None

    async def connect(self):
        await self._stop_if_killed()
        await curio.sleep(LINK_S)
        if self.world.is_cut(self.leaf_id):
            raise OSError('unreachable')
        self.is_reusable = True

    async def send(self, request):
        if request.method == 'POST':
            self.world.step('dispatch', self.leaf_id)
        await self._stop_if_killed()
        if request.method == 'POST':
            call_id = request.headers['request-id']
            self.world.sent.append((call_id, self.leaf_id, now()))
        self.is_reusable = False
        self.replies = curio.Queue()
        await curio.spawn(self._serve, request, self.replies, daemon=True)
        if request.method == 'POST':
            self.world.step('read', self.leaf_id)

    async def receive(self):
        reply = await self.replies.get()
        await self._stop_if_killed()
        if isinstance(reply, Exception):
            raise reply
        self.is_reusable = True
        return reply

    async def close(self):
        self.is_reusable = False

    async def _stop_if_killed(self):
        if self.engine is not self.world.engine:
            await hang()

    async def _serve(self, request, replies):
        world = self.world
        is_far = self.leaf_id.startswith(FAR_GROUP)
        await curio.sleep(FAR_LINK_S if is_far else LINK_S)
        if world.is_cut(self.leaf_id):
            return
        reply = await world.handle(self.leaf_id, request)
        await curio.sleep(LINK_S)
        if reply is not None and not world.is_cut(self.leaf_id):
            await replies.put(reply)


@attrs.define(eq=False)
class FakePool(LeafPool):
    """The real pool over fake connections."""

    world: object = None
    engine: object = None

    def _new_connection(self):
        return self.world.connection_to(self.leaf.leaf_id, self.engine)


@attrs.define(eq=False)
class FakeEngine(SearchEngine):
    """The real engine over fake pools."""

    world: object = None

    def __attrs_post_init__(self):
        """Create the pools of the world."""
        super().__attrs_post_init__()
        self.leaf_pools.create_pool = self._create_pool

    def _create_pool(self, leaf, max_connections):
        return self.world.pool_class(
            leaf, max_connections, world=self.world, engine=self
        )


class StepHooks:
    """Reports the steps of a query that perform no I/O.

    A query of a killed instance does nothing any more.
    """

    world = None

    def start(self, at):
        self.engine = self.world.engine
        self.world.step('admit')
        return self._seen([] if self._is_dead else super().start(at))

    def _pin(self, pinned, at):
        self.world.step('pin')
        return super()._pin(pinned, at)

    def on_reply(self, attempt_id, reply, at):
        self.world.step('merge')
        if self._is_dead:
            return []
        return self._seen(super().on_reply(attempt_id, reply, at))

    def on_failure(self, attempt_id, failure, at):
        if self._is_dead:
            return []
        return self._seen(super().on_failure(attempt_id, failure, at))

    def on_time(self, at):
        return [] if self._is_dead else self._seen(super().on_time(at))

    def abandon(self, at):
        return [] if self._is_dead else super().abandon(at)

    @property
    def next_wakeup(self):
        # A killed process has no timers.
        return now() + 1 if self._is_dead else super().next_wakeup

    @property
    def _is_dead(self):
        return self.engine is not self.world.engine

    def _seen(self, actions):
        ends = [e for e in actions if isinstance(e, Finish | Refuse)]
        self.world.finishes.extend(self.request.request_id for _ in ends)
        return actions
