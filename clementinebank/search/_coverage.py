"""What an answer covers."""

from typing import Any

import attrs

from clementinebank.search._snapshots import PartitionMap


@attrs.frozen
class ShardCoverage:
    """State of one shard in an answer.

    Parameters
    ----------
    group_id : str
        Group of the shard.
    yard : str
        Yard whose records the shard holds.
    partitions : tuple of int
        Partitions asked.
    data_centre : str or None
        Data centre of the leaf that answered.
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
    """What an answer covers, derived from the pinned partition map.

    Parameters
    ----------
    partition_map : PartitionMap or None
        Pinned map; ``None`` if no snapshot is known.
    shards_by_group : dict of str to ShardCoverage
        All shards of the map.
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
        known = self.partition_map
        shards = self.shards_by_group.values()
        return {
            'complete': self.is_complete,
            'known': known is not None,
            'partitions': known.partition_count if known else None,
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
            + self._unowned(),
            'yards': self._summary('yard'),
            'data_centres': self._summary('data_centre'),
        }

    def _unowned(self) -> list[dict[str, Any]]:
        """Return the partitions that no group is known to hold."""
        known = self.partition_map
        if known is None or known.is_complete:
            return []
        partitions = set(range(known.partition_count))
        unowned = sorted(partitions - known.group_by_partition.keys())
        return [
            {
                'group': None,
                'yard': None,
                'partitions': unowned,
                'reason': 'no_group_known',
            }
        ]

    def _summary(self, attribute: str) -> dict[str, dict[str, int]]:
        summary: dict[str, dict[str, int]] = {}
        for shard in self.shards_by_group.values():
            name = getattr(shard, attribute)
            if name is None:
                continue
            counts = summary.setdefault(name, {'asked': 0, 'answered': 0})
            counts['asked'] += 1
            counts['answered'] += int(shard.is_answered)
        return summary
