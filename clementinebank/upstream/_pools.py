"""Connection pools and status probes for all leafs of one service."""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import curio
from eliot import log_message, write_traceback
from result import Err

from clementinebank.clock import get_before, now
from clementinebank.http import HttpRequest
from clementinebank.leafs import LeafEndpoint
from clementinebank.upstream._call import (
    TASK_CANCELLED_CODE,
    LeafCall,
    LeafReply,
)
from clementinebank.upstream._pool import LeafPool
from clementinebank.upstream._status import LeafStatus, decode_status

STATUS_PATH = '/v1/status'
# Time between the starts of two probes of a leaf. A draining leaf must be
# detected within 3 s even if two probes in a row are lost. The timeout is
# shorter than the interval, so that a lost probe does not delay the next.
PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_S = 0.9

OnStatus = Callable[[str, LeafStatus, float], None]
OnLeafId = Callable[[str], None]


def _ignore_leaf_id(leaf_id: str) -> None:
    """Do nothing with the id of a leaf; the default callback."""


@attrs.define(eq=False)
class LeafPools:
    """Connection pool and status probe for each leaf of a service.

    Parameters
    ----------
    on_status : callable
        Receives the leaf id, its status and the runtime time in seconds at
        which the status was requested.
    on_probe_failed : callable
        Receives the id of a leaf whose probe got no reply or failed.
    on_removed : callable
        Receives the id of a leaf before its pool is retired.
    create_pool : callable
        Creates the pool of a leaf from its settings and the largest number
        of connections.
    is_probed : bool
        Whether the status of each leaf is requested regularly. Otherwise the
        state of a leaf is known only from the replies to calls.
    """

    on_status: OnStatus
    on_probe_failed: OnLeafId = _ignore_leaf_id
    on_removed: OnLeafId = _ignore_leaf_id
    create_pool: Any = LeafPool
    is_probed: bool = True
    pools_by_leaf: dict[str, LeafPool] = attrs.Factory(dict)
    _invalidated_at: float = float('-inf')

    async def update(
        self, leafs_by_id: Mapping[str, LeafEndpoint], max_connections: int
    ) -> None:
        """Retire the pools of removed or changed leafs and create new ones.

        A changed number of connections resizes the pools that stay.

        Parameters
        ----------
        leafs_by_id : mapping of str to LeafEndpoint
            All leafs of the service.
        max_connections : int
            Largest number of connections to each leaf.
        """
        for leaf_id, pool in list(self.pools_by_leaf.items()):
            if leafs_by_id.get(leaf_id) != pool.leaf:
                self.on_removed(leaf_id)
                await self.pools_by_leaf.pop(leaf_id).retire()
            elif pool.max_connections != max_connections:
                await pool.resize(max_connections)
        for leaf_id, leaf in leafs_by_id.items():
            if leaf_id not in self.pools_by_leaf:
                opened = self.create_pool(leaf, max_connections)
                self.pools_by_leaf[leaf_id] = opened
                if self.is_probed:
                    await curio.spawn(self._probe, opened, daemon=True)

    async def stop(self) -> None:
        """Retire every pool."""
        for pool in self.pools_by_leaf.values():
            await pool.retire()
        self.pools_by_leaf.clear()

    def invalidate_connections(self) -> None:
        """Stop using open connections and ignore the running probes.

        Called after the process was paused: a probe that timed out meanwhile
        tells nothing about its leaf.
        """
        self._invalidated_at = now()
        for pool in self.pools_by_leaf.values():
            pool.invalidate_connections()

    async def _probe(self, pool: LeafPool) -> None:
        """Request the status of a leaf regularly until its pool is retired."""
        number = 0
        while not pool.is_retired:
            replies = curio.Queue()
            call_id = f'probe-{pool.leaf.leaf_id}-{number}'
            requested_at = now()
            await pool.submit(
                LeafCall(
                    call_id,
                    HttpRequest('GET', STATUS_PATH, {'request-id': call_id}),
                    requested_at + PROBE_TIMEOUT_S,
                    replies.put,
                )
            )
            reply = await get_before(requested_at + PROBE_TIMEOUT_S, replies)
            is_outdated = requested_at <= self._invalidated_at
            if not pool.is_retired and not is_outdated:
                try:
                    await self._handle_probe_reply(pool, reply, requested_at)
                except Exception:
                    # The next probe may tell the state of the leaf.
                    write_traceback()
            number += 1
            wait_s = requested_at + PROBE_INTERVAL_S - now()
            if wait_s > 0:
                await curio.sleep(wait_s)

    async def _handle_probe_reply(
        self, pool: LeafPool, reply: LeafReply | None, requested_at: float
    ) -> None:
        """Report the status in a reply, or that the probe failed.

        If the leaf is draining, its connections are closed.
        """
        if reply is None:
            self.on_probe_failed(pool.leaf.leaf_id)
            return
        if isinstance(reply.outcome, Err):
            if reply.outcome.err_value.code != TASK_CANCELLED_CODE:
                self.on_probe_failed(pool.leaf.leaf_id)
            return
        status = decode_status(reply.outcome.ok_value.body)
        if isinstance(status, Err):
            log_message(
                message_type='leaf:invalid_status',
                leaf=reply.leaf_id,
                problems=[str(problem) for problem in status.err_value],
            )
            return
        self.on_status(reply.leaf_id, status.ok_value, requested_at)
        if status.ok_value.state == 'draining':
            await pool.close_idle()
