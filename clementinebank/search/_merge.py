"""Filters the records of shard replies, merges them and checks the answer."""

from collections.abc import Collection, Iterable

from clementinebank.invariants import check, invariant
from clementinebank.search._coverage import Coverage
from clementinebank.search._messages import Record, ShardReply
from clementinebank.search._search_shard import SearchShard
from clementinebank.search._snapshots import PartitionMap


@invariant('records-from-pinned-snapshot', 'R1')
def _is_pinned_snapshot(
    pinned: str | None, shards: Collection[SearchShard]
) -> bool:
    return all(
        shard.reply_snapshot == pinned for shard in shards if shard.is_answered
    )


@invariant('record-owned-by-answering-group', 'R2')
def _is_owned(
    partition_map: PartitionMap | None, shards: Collection[SearchShard]
) -> bool:
    owners = partition_map.group_by_partition if partition_map else {}
    return all(
        owners.get(record.partition) == shard.group_id
        for shard in shards
        for record in shard.records or ()
    )


@invariant('record-returned-once', 'R2')
def _is_returned_once(records: Collection[Record]) -> bool:
    return len({record.record_id for record in records}) == len(records)


@invariant('complete-only-with-known-map', 'R2')
def _is_complete_by_map(
    partition_map: PartitionMap | None,
    shards: Collection[SearchShard],
    is_complete: bool,
) -> bool:
    if not is_complete:
        return True
    if partition_map is None:
        return False
    answered = {
        partition
        for shard in shards
        if shard.is_answered
        for partition in shard.partitions
    }
    return answered == set(range(partition_map.partition_count))


def owned_records(
    reply: ShardReply, shard: SearchShard, partition_map: PartitionMap
) -> tuple[Record, ...]:
    """Return the records of a reply in partitions that the group owns.

    Each record id occurs once. Other records are left out: while the index is
    repartitioned, a group can still hold records of a partition that another
    group owns in the map of the pinned snapshot.
    """
    owners = partition_map.group_by_partition
    kept = {
        record.record_id: record
        for record in reply.records
        if owners.get(record.partition) == shard.group_id
    }
    return tuple(kept.values())


def merge_records(shards: Iterable[SearchShard]) -> list[Record]:
    """Return the records of all shards, highest score first.

    Of records with the same id only the one with the highest score is kept.
    """
    records = [record for shard in shards for record in shard.records or ()]
    records.sort(key=lambda record: (-record.score, record.record_id))
    best: dict[str, Record] = {}
    for record in records:
        best.setdefault(record.record_id, record)
    return list(best.values())


def meets_invariants(
    request_id: str,
    partition_map: PartitionMap | None,
    shards: Collection[SearchShard],
    records: Collection[Record],
    coverage: Coverage,
) -> bool:
    """Return whether an answer meets all its invariants.

    Every invariant is checked, and each violation is reported.
    """
    snapshot = partition_map.snapshot if partition_map else None
    return all(
        [
            check(
                'records-from-pinned-snapshot',
                request_id,
                pinned=snapshot,
                shards=shards,
            ),
            check(
                'record-owned-by-answering-group',
                request_id,
                partition_map=partition_map,
                shards=shards,
            ),
            check('record-returned-once', request_id, records=records),
            check(
                'complete-only-with-known-map',
                request_id,
                partition_map=partition_map,
                shards=shards,
                is_complete=coverage.is_complete,
            ),
        ]
    )
