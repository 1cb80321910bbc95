"""Coverage of an answer: which partitions of the index were searched."""

from typing import Any

import attrs

from clementinebank.search._snapshots import PartitionMap


@attrs.frozen
class ShardCoverage:
    """Whether and from where one shard contributed to an answer.

    Parameters
    ----------
    group_id : str
        Group of leafs that holds the shard.
    yard : str
        Yard whose records the shard holds.
    partitions : tuple of int
        Partitions that the shard was asked to search.
    data_centre : str or None
        Data centre of the leaf that answered; ``None`` if none did.
    missing_reason : str or None
        Why the shard is missing; ``None`` if it answered.
    """

    group_id: str
    yard: str
    partitions: tuple[int, ...]
    data_centre: str | None = None
    missing_reason: str | None = None

    @property
    def is_answered(self) -> bool:
        """Return whether the shard answered."""
        return self.missing_reason is None


@attrs.frozen
class Coverage:
    """Partitions and shards that an answer covers.

    Whether an answer is complete is computed from the partition map, not from
    what the replies state.

    Parameters
    ----------
    partition_map : PartitionMap or None
        Map of the pinned snapshot, the one that all shards of the query
        search; ``None`` if no snapshot is known.
    shards_by_group : dict of str to ShardCoverage
        Every shard of the map, and configured groups whose partitions are
        not known.
    """

    partition_map: PartitionMap | None
    shards_by_group: dict[str, ShardCoverage]

    @property
    def answered_partitions(self) -> int:
        """Return the number of partitions that were searched."""
        return sum(
            len(shard.partitions)
            for shard in self.shards_by_group.values()
            if shard.is_answered
        )

    @property
    def is_complete(self) -> bool:
        """Return whether every partition of the index was searched."""
        return (
            self.partition_map is not None
            and self.answered_partitions == self.partition_map.partition_count
        )

    def as_json(self) -> dict[str, Any]:
        """Return the coverage as it is sent to the caller."""
        pinned = self.partition_map
        shards = self.shards_by_group.values()
        return {
            'complete': self.is_complete,
            'known': pinned is not None,
            'partitions': pinned.partition_count if pinned else None,
            'partitions_answered': self.answered_partitions,
            'shards_asked': len(self.shards_by_group),
            'shards_answered': sum(shard.is_answered for shard in shards),
            'missing': [
                {
                    'group': shard.group_id,
                    'yard': shard.yard,
                    'partitions': list(shard.partitions),
                    'reason': shard.missing_reason,
                }
                for shard in shards
                if not shard.is_answered
            ]
            + self._unowned_entries(),
            'yards': self._count_shards_by('yard'),
            'data_centres': self._count_shards_by('data_centre'),
        }

    def _unowned_entries(self) -> list[dict[str, Any]]:
        """Return one entry with the partitions that no group is known to hold.

        The list is empty if the map is complete or no map is known.
        """
        pinned = self.partition_map
        if pinned is None or pinned.is_complete:
            return []
        partitions = set(range(pinned.partition_count))
        unowned = sorted(partitions - pinned.group_by_partition.keys())
        return [
            {
                'group': None,
                'yard': None,
                'partitions': unowned,
                'reason': 'no_group_known',
            }
        ]

    def _count_shards_by(self, attribute: str) -> dict[str, dict[str, int]]:
        """Count the shards asked and answered by a ``ShardCoverage`` field.

        Shards without a value in the field are left out.
        """
        counts_by_value: dict[str, dict[str, int]] = {}
        for shard in self.shards_by_group.values():
            value = getattr(shard, attribute)
            if value is None:
                continue
            counts = counts_by_value.setdefault(
                value, {'asked': 0, 'answered': 0}
            )
            counts['asked'] += 1
            counts['answered'] += int(shard.is_answered)
        return counts_by_value
