"""Simulated instance for the leaf path of the fault matrix.

Searches run without a break while one leaf first reports that it is draining
and is then removed from the document.
"""

import attrs
import curio

from clementinebank.clock import now
from clementinebank.search.tests.simulation import DEADLINE_S
from tests.faults.search_fakes import FakeConnection
from tests.faults.search_simulation import (
    LEAVING_LIMIT_S,
    REMOVED_LEAF,
    SearchSimulation,
)

SEARCH_INTERVAL_S = 0.1
# Time from the start of the drain to the removal of the leaf.
DRAIN_S = 6
# Time for the instance to close its connections after the removal.
CLOSE_S = 6


@attrs.define(eq=False)
class LeafConnection(FakeConnection):
    """Connection that reports the probes and closings of the leaving leaf."""

    is_open: bool = False

    async def connect(self):
        await super().connect()
        self.is_open = True

    async def send(self, request):
        if request.method == 'GET' and self.leaf_id == REMOVED_LEAF:
            self.simulation.report_step('probe', self.leaf_id)
        await super().send(request)

    async def close(self):
        if (
            self.leaf_id == REMOVED_LEAF
            and self.simulation.removed_at is not None
        ):
            self.simulation.report_step('close', self.leaf_id)
        self.is_open = False
        await super().close()


@attrs.define(eq=False)
class LeafSimulation(SearchSimulation):
    """Searches that go on while one leaf drains and is removed."""

    is_leaving: bool = False
    drain_stated_at: float = None
    connections: list = attrs.Factory(list)
    paused_s: float = 0
    open_connections_while_draining: int = 0

    def pause(self, seconds):
        super().pause(seconds)
        self.paused_s += seconds

    def is_cut(self, leaf_id):
        """Return whether the leaf is unreachable; only the leaving leaf is."""
        return now() < self.cut_until and leaf_id == REMOVED_LEAF

    def connection_to(self, leaf_id, engine):
        connection = LeafConnection(self, leaf_id, engine)
        self.connections.append(connection)
        return connection

    def _status(self, leaf_id):
        status = super()._status(leaf_id)
        if leaf_id == REMOVED_LEAF and self.is_leaving:
            if self.drain_stated_at is None:
                self.drain_stated_at = now()
                self.report_step('drain', leaf_id)
            status['state'] = 'draining'
        return status

    async def handle(self, leaf_id, request):
        reply = await super().handle(leaf_id, request)
        is_status = request.method == 'GET' and leaf_id == REMOVED_LEAF
        if is_status and self.delay_until > now():
            await curio.sleep(0.4)
        if is_status and self.reply_faults:
            name, _ = self.reply_faults.pop(0)
            return None if name == 'lost' else reply
        return reply

    def _reply_with_fault(self, leaf_id, headers, body):
        # Reply faults of this path apply to status replies, see ``handle``.
        faults, self.reply_faults = self.reply_faults, []
        reply = super()._reply_with_fault(leaf_id, headers, body)
        self.reply_faults = faults
        return reply

    async def run(self):
        """Drain and remove a leaf under faults; return the problems."""
        self.publish({})
        self.publish({})
        await self.start_instance()
        await curio.spawn(self.run_operator, daemon=True)
        searches = await curio.spawn(self._search_repeatedly, daemon=True)
        await curio.sleep(3)
        self.is_injecting = True
        self.is_leaving = True
        await self._wait(DRAIN_S)
        self.open_connections_while_draining = self.count_open_connections()
        self.request_change()
        await self._wait(CLOSE_S)
        self.is_injecting = False
        await searches.cancel()
        await curio.sleep(2 * DEADLINE_S)
        self.unused_reply_faults = {name for name, _ in self.reply_faults}
        return self.problems()

    async def _wait(self, seconds):
        """Wait for a time that leaves out the injected pauses."""
        started = now() - self.paused_s
        while now() - self.paused_s < started + seconds:
            if self.is_killed:
                # Start a new instance in place of the killed one.
                self.is_killed = False
                await self.start_instance()
            await curio.sleep(0.05)

    async def _search_repeatedly(self):
        number = 0
        while True:
            number += 1
            await curio.spawn(self.search, number, daemon=True)
            await curio.sleep(SEARCH_INTERVAL_S)

    def count_open_connections(self):
        """Return the number of open connections to the leaving leaf.

        Connections of a killed instance do not count.
        """
        return sum(
            each.is_open
            for each in self.connections
            if each.leaf_id == REMOVED_LEAF and each.engine is self.engine
        )

    def problems(self):
        found = []
        # A leaf that is cut off until its removal never reports that it is
        # draining. It then leaves only with its removal.
        leaving_times = (self.drain_stated_at, self.removed_at)
        leaving_since = min(at for at in leaving_times if at is not None)
        limit = leaving_since + LEAVING_LIMIT_S + self.paused_s
        found.extend(
            f'R6 {call_id} was sent {at - leaving_since:.2f} s after the '
            'first signal'
            for call_id, leaf_id, at in self.sent_requests
            if leaf_id == REMOVED_LEAF and at > limit
        )
        still_open = self.count_open_connections()
        if still_open:
            found.append(f'R6 {still_open} connections stay open')
        for request in self.requests.values():
            for outcome, _ in self.outcomes_by_request.get(
                request.request_id, []
            ):
                if outcome.is_ok():
                    found.extend(
                        self._answer_problems(request, outcome.ok_value)
                    )
        return found
