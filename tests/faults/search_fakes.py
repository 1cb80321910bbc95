"""Fake connections under the real pool, engine and query of the search path.

They report their steps to a ``SearchSimulation``, which injects the faults.
"""

import attrs
import curio

from clementinebank.booking.tests.fakes import wait_forever
from clementinebank.clock import now
from clementinebank.search import Finish, Refuse, SearchEngine
from clementinebank.upstream import LeafPool

# One-way delay between the instance and a leaf.
LINK_DELAY_S = 0.001
# The link to this group is slow enough that its refusals arrive after the
# replies of the other groups. A query then moves to another snapshot while it
# already holds results of the first one.
FAR_GROUP = 'g2'
FAR_LINK_DELAY_S = 0.012


@attrs.frozen
class ShardSearch:
    """One shard request that a leaf ran, and when."""

    call_id: str
    leaf_id: str
    snapshot: str
    partitions: tuple
    at: float


@attrs.define(eq=False)
class FakeConnection:
    """Connection of an instance to a simulated leaf.

    Once the instance is killed, its calls never return.
    """

    simulation: object
    leaf_id: str
    engine: object
    is_reusable: bool = False
    local_port: int = 1
    replies: object = None

    async def connect(self):
        await self._hang_if_killed()
        await curio.sleep(LINK_DELAY_S)
        if self.simulation.is_cut(self.leaf_id):
            raise OSError('unreachable')
        self.is_reusable = True

    async def send(self, request):
        if request.method == 'POST':
            self.simulation.report_step('dispatch', self.leaf_id)
        await self._hang_if_killed()
        if request.method == 'POST':
            call_id = request.headers['request-id']
            self.simulation.sent_requests.append((call_id, self.leaf_id, now()))
        self.is_reusable = False
        self.replies = curio.Queue()
        await curio.spawn(self._serve, request, self.replies, daemon=True)
        if request.method == 'POST':
            self.simulation.report_step('read', self.leaf_id)

    async def receive(self):
        reply = await self.replies.get()
        await self._hang_if_killed()
        if isinstance(reply, Exception):
            raise reply
        self.is_reusable = True
        return reply

    async def close(self):
        self.is_reusable = False

    async def _hang_if_killed(self):
        if self.engine is not self.simulation.engine:
            await wait_forever()

    async def _serve(self, request, replies):
        simulation = self.simulation
        is_far = self.leaf_id.startswith(FAR_GROUP)
        await curio.sleep(FAR_LINK_DELAY_S if is_far else LINK_DELAY_S)
        if simulation.is_cut(self.leaf_id):
            return
        reply = await simulation.handle(self.leaf_id, request)
        await curio.sleep(LINK_DELAY_S)
        if reply is not None and not simulation.is_cut(self.leaf_id):
            await replies.put(reply)


@attrs.define(eq=False)
class FakePool(LeafPool):
    """Real pool that opens fake connections."""

    simulation: object = None
    engine: object = None

    def _new_connection(self):
        return self.simulation.connection_to(self.leaf.leaf_id, self.engine)


@attrs.define(eq=False)
class FakeEngine(SearchEngine):
    """Real engine that creates the pools of a simulation."""

    simulation: object = None

    def __attrs_post_init__(self):
        """Replace the factory of the pools."""
        super().__attrs_post_init__()
        self.leaf_pools.create_pool = self._create_pool

    def _create_pool(self, leaf, max_connections):
        return self.simulation.pool_class(
            leaf, max_connections, simulation=self.simulation, engine=self
        )


class StepHooks:
    """Mixin of a query that reports its steps without I/O to a simulation.

    A query whose instance was killed performs no further actions.
    """

    simulation = None

    def start(self, at):
        self.engine = self.simulation.engine
        self.simulation.report_step('admit')
        return self._record_endings(
            [] if self._is_killed else super().start(at)
        )

    def _pin(self, pinned, at):
        self.simulation.report_step('pin')
        return super()._pin(pinned, at)

    def on_reply(self, attempt_id, reply, at):
        self.simulation.report_step('merge')
        if self._is_killed:
            return []
        return self._record_endings(super().on_reply(attempt_id, reply, at))

    def on_failure(self, attempt_id, failure, at):
        if self._is_killed:
            return []
        return self._record_endings(super().on_failure(attempt_id, failure, at))

    def on_time(self, at):
        return (
            [] if self._is_killed else self._record_endings(super().on_time(at))
        )

    def abandon(self, at):
        return [] if self._is_killed else super().abandon(at)

    @property
    def next_wakeup(self):
        # A killed process has no timers.
        return now() + 1 if self._is_killed else super().next_wakeup

    @property
    def _is_killed(self):
        return self.engine is not self.simulation.engine

    def _record_endings(self, actions):
        endings = [e for e in actions if isinstance(e, Finish | Refuse)]
        self.simulation.ended_request_ids.extend(
            self.request.request_id for _ in endings
        )
        return actions
