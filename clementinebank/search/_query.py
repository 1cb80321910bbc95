"""The query aggregate: one caller request over many shards, without I/O."""

import attrs

from clementinebank.document import ServiceSettings
from clementinebank.errors import Failure
from clementinebank.invariants import check, invariant
from clementinebank.routing import Router
from clementinebank.search._coverage import Coverage, ShardCoverage
from clementinebank.search._messages import (
    Record,
    SearchRequest,
    ShardReply,
)
from clementinebank.search._snapshots import PartitionMap


@attrs.frozen
class SendShard:
    """Send a shard request to a leaf."""

    attempt_id: str
    group_id: str
    leaf_id: str
    snapshot: str
    partitions: tuple[int, ...]


@attrs.frozen
class CancelShard:
    """Cancel a shard request at its leaf."""

    attempt_id: str
    leaf_id: str


@attrs.frozen
class Answer:
    """Answer to a caller.

    Parameters
    ----------
    request_id : str
        Id of the request.
    snapshot : str or None
        The one snapshot from which all records come.
    records : tuple of Record
        Best records, best first.
    coverage : Coverage
        What the answer covers.
    """

    request_id: str
    snapshot: str | None
    records: tuple[Record, ...]
    coverage: Coverage


@attrs.frozen
class Finish:
    """Answer the caller."""

    answer: Answer


Action = SendShard | CancelShard | Finish


@invariant('records-from-pinned-snapshot', 'R1')
def _is_pinned_snapshot(pinned: str, received: str) -> bool:
    return pinned == received


@invariant('record-owned-by-answering-group', 'R2')
def _is_owner(partition_map: PartitionMap, record: Record, group: str) -> bool:
    return partition_map.group_by_partition.get(record.partition) == group


@attrs.define
class _Shard:
    group_id: str
    partitions: tuple[int, ...]
    attempts_by_id: dict[str, str] = attrs.Factory(dict)
    records: tuple[Record, ...] | None = None
    answered_by: str | None = None
    missing_reason: str = 'no answer within the deadline'

    @property
    def is_open(self) -> bool:
        return self.records is None and bool(self.attempts_by_id)


@attrs.define
class Query:
    """State of one search from its start to its answer.

    Parameters
    ----------
    request : SearchRequest
        What the caller asked.
    service : ServiceSettings
        Settings of the service when the query started.
    router : Router
        Chooses the replicas.
    partition_map : PartitionMap or None
        The pinned snapshot's map.
    """

    request: SearchRequest
    service: ServiceSettings
    router: Router
    partition_map: PartitionMap | None
    is_finished: bool = False
    _shards_by_group: dict[str, _Shard] = attrs.Factory(dict)
    _group_by_attempt: dict[str, str] = attrs.Factory(dict)

    @property
    def next_wakeup(self) -> float:
        """Return the runtime time at which ``on_time`` is due."""
        return self.request.deadline

    def start(self, now: float) -> list[Action]:
        """Pin the snapshot and send one request to each shard."""
        if self.partition_map is None:
            return self._finish()
        actions: list[Action] = []
        for group_id in self.partition_map.group_ids:
            shard = _Shard(group_id, self.partition_map.partitions_of(group_id))
            self._shards_by_group[group_id] = shard
            actions.extend(self._send(shard, now))
        return actions + self._finish_if_done()

    def on_reply(
        self, attempt_id: str, reply: ShardReply, now: float
    ) -> list[Action]:
        """Take the reply of a leaf."""
        shard = self._close_attempt(attempt_id)
        if shard is None or shard.records is not None:
            return []
        leaf_id = shard.attempts_by_id.pop(attempt_id)
        if not self._is_usable(shard, reply):
            shard.missing_reason = 'the leaf answered another request'
            return self._finish_if_done()
        shard.records = self._owned_records(shard, reply)
        shard.answered_by = leaf_id
        return self._finish_if_done()

    def on_failure(
        self, attempt_id: str, failure: Failure, now: float
    ) -> list[Action]:
        """Take the failure of a shard request."""
        shard = self._close_attempt(attempt_id)
        if shard is None:
            return []
        shard.attempts_by_id.pop(attempt_id)
        shard.missing_reason = failure.code
        return self._finish_if_done()

    def on_time(self, now: float) -> list[Action]:
        """Answer with what there is when the deadline is reached."""
        if self.is_finished or now < self.request.deadline:
            return []
        cancels: list[Action] = [
            CancelShard(attempt_id, leaf_id)
            for shard in self._shards_by_group.values()
            for attempt_id, leaf_id in shard.attempts_by_id.items()
        ]
        return cancels + self._finish()

    def _send(self, shard: _Shard, now: float) -> list[Action]:
        leaf_id = self.router.choose(shard.group_id, now)
        if leaf_id is None:
            shard.missing_reason = 'no_leaf'
            return []
        number = len(self._group_by_attempt)
        attempt_id = f'{self.request.request_id}.{number}'
        self._group_by_attempt[attempt_id] = shard.group_id
        shard.attempts_by_id[attempt_id] = leaf_id
        snapshot = self.partition_map.snapshot if self.partition_map else ''
        return [
            SendShard(
                attempt_id,
                shard.group_id,
                leaf_id,
                snapshot,
                shard.partitions,
            )
        ]

    def _close_attempt(self, attempt_id: str) -> _Shard | None:
        group_id = self._group_by_attempt.get(attempt_id)
        if self.is_finished or group_id is None:
            return None
        shard = self._shards_by_group[group_id]
        return shard if attempt_id in shard.attempts_by_id else None

    def _is_usable(self, shard: _Shard, reply: ShardReply) -> bool:
        return (
            check(
                'records-from-pinned-snapshot',
                self.request.request_id,
                pinned=self.partition_map and self.partition_map.snapshot,
                received=reply.snapshot,
            )
            and reply.partitions == shard.partitions
        )

    def _owned_records(
        self, shard: _Shard, reply: ShardReply
    ) -> tuple[Record, ...]:
        return tuple(
            record
            for record in reply.records
            if check(
                'record-owned-by-answering-group',
                self.request.request_id,
                partition_map=self.partition_map,
                record=record,
                group=shard.group_id,
            )
        )

    def _finish_if_done(self) -> list[Action]:
        if any(shard.is_open for shard in self._shards_by_group.values()):
            return []
        return self._finish()

    def _finish(self) -> list[Action]:
        self.is_finished = True
        records = [
            record
            for shard in self._shards_by_group.values()
            for record in shard.records or ()
        ]
        records.sort(key=lambda record: (-record.score, record.record_id))
        answer = Answer(
            self.request.request_id,
            self.partition_map.snapshot if self.partition_map else None,
            tuple(records[: self.request.limit]),
            self._coverage(),
        )
        return [Finish(answer)]

    def _coverage(self) -> Coverage:
        leafs = self.service.leafs_by_id
        shards = {}
        for group_id, shard in self._shards_by_group.items():
            leaf = leafs.get(shard.answered_by or '')
            shards[group_id] = ShardCoverage(
                group_id,
                self.service.groups_by_id[group_id].yard,
                shard.partitions,
                leaf.data_centre if leaf else None,
                None if shard.records is not None else shard.missing_reason,
            )
        return Coverage(self.partition_map, shards)
