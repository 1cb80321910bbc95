"""Snapshots of the index that the leafs report, and their partition maps."""

from collections import Counter

import attrs

from clementinebank.upstream import ServedSnapshot

# Number of leafs of each group that should serve a snapshot before queries pin
# it, which means that they search this snapshot on all shards.
PREFERRED_REPLICAS = 2


@attrs.frozen
class PartitionMap:
    """Assignment of the partitions of one snapshot to groups.

    Parameters
    ----------
    snapshot : str
        Name of the snapshot.
    sequence : int
        Sequence number of the snapshot; a newer snapshot has a higher one.
    partition_count : int
        Number of partitions of the whole index.
    group_by_partition : dict of int to str
        Group that owns each partition; a partition that no group holds is
        missing.
    leaf_ids : frozenset of str
        Leafs that report the snapshot; a query asks only these.
    fewest_replicas : int
        Smallest number of leafs in any one group that serve the snapshot.
    partitions_by_group : dict of str to tuple of int
        Partitions that each group owns, in ascending order.
    """

    snapshot: str
    sequence: int
    partition_count: int
    group_by_partition: dict[int, str]
    leaf_ids: frozenset[str] = frozenset()
    fewest_replicas: int = 0
    partitions_by_group: dict[str, tuple[int, ...]] = attrs.field(init=False)

    @partitions_by_group.default
    def _group_partitions(self) -> dict[str, tuple[int, ...]]:
        owned: dict[str, list[int]] = {}
        for partition, group_id in sorted(self.group_by_partition.items()):
            owned.setdefault(group_id, []).append(partition)
        return {group: tuple(owned[group]) for group in sorted(owned)}

    @property
    def is_complete(self) -> bool:
        """Return whether every partition has an owner."""
        return len(self.group_by_partition) == self.partition_count

    def partitions_of(self, group_id: str) -> tuple[int, ...]:
        """Return the partitions that a group owns, in ascending order."""
        return self.partitions_by_group.get(group_id, ())

    @property
    def group_ids(self) -> tuple[str, ...]:
        """Return the ids of the groups that own partitions, sorted."""
        return tuple(self.partitions_by_group)


@attrs.define
class SnapshotCatalogue:
    """Snapshots that the leafs report in their status.

    A snapshot is removed when no leaf reports it any more.
    """

    _served_by_leaf: dict[str, tuple[str, tuple[ServedSnapshot, ...]]] = (
        attrs.Factory(dict)
    )
    _partition_maps: list[PartitionMap] | None = None

    def set_leaf_snapshots(
        self,
        leaf_id: str,
        group_id: str,
        snapshots: tuple[ServedSnapshot, ...],
    ) -> None:
        """Replace the snapshots that a leaf serves."""
        served = (group_id, snapshots)
        if self._served_by_leaf.get(leaf_id) != served:
            self._served_by_leaf[leaf_id] = served
            self._partition_maps = None

    def remove_leaf(self, leaf_id: str) -> None:
        """Remove a leaf and the snapshots that it serves."""
        if self._served_by_leaf.pop(leaf_id, None) is not None:
            self._partition_maps = None

    def remove_snapshot(self, leaf_id: str, snapshot: str) -> None:
        """Remove a snapshot of a leaf that refused it after reporting it."""
        served = self._served_by_leaf.get(leaf_id)
        if served is None:
            return
        group_id, snapshots = served
        kept = tuple(each for each in snapshots if each.snapshot != snapshot)
        self.set_leaf_snapshots(leaf_id, group_id, kept)

    def partition_maps(self) -> list[PartitionMap]:
        """Return the partition maps of all snapshots, newest first."""
        if self._partition_maps is None:
            self._partition_maps = self._build_maps()
        return self._partition_maps

    def choose_map(self) -> PartitionMap | None:
        """Return the partition map of the snapshot that a query should pin.

        That is the newest complete snapshot with at least
        ``PREFERRED_REPLICAS`` replicas in each group, else the newest complete
        one, else the newest one; ``None`` if none is known. While a new
        snapshot is rolled out, a group can have it on a single replica only,
        which would then get the load of the whole group.
        """
        partition_maps = self.partition_maps()
        complete = [each for each in partition_maps if each.is_complete]
        replicated = [
            each
            for each in complete
            if each.fewest_replicas >= PREFERRED_REPLICAS
        ]
        return next(iter(replicated or complete or partition_maps), None)

    def _build_maps(self) -> list[PartitionMap]:
        replicas_by_snapshot: dict[str, list[_Replica]] = {}
        for leaf_id, (group_id, snapshots) in self._served_by_leaf.items():
            for served in snapshots:
                replicas_by_snapshot.setdefault(served.snapshot, []).append(
                    _Replica(group_id, leaf_id, served)
                )
        found = [_build_map(each) for each in replicas_by_snapshot.values()]
        return sorted(found, key=lambda each: each.sequence, reverse=True)


@attrs.frozen
class _Replica:
    """Snapshot as one leaf of a group serves it."""

    group_id: str
    leaf_id: str
    served: ServedSnapshot


def _build_map(replicas: list[_Replica]) -> PartitionMap:
    """Build the map of one snapshot from the leafs that serve it.

    While the index is repartitioned, two groups can hold the same partition.
    The group with the lowest id owns it, so that every instance chooses the
    same owner.
    """
    owners: dict[int, str] = {}
    for replica in sorted(replicas, key=lambda each: each.group_id):
        owned = dict.fromkeys(replica.served.partitions, replica.group_id)
        owners = {**owned, **owners}
    # The largest reported partition count is used: a leaf that reports too
    # low a count must not make a part of the index look complete.
    count = max(each.served.partition_count for each in replicas)
    first = replicas[0].served
    return PartitionMap(
        first.snapshot,
        first.sequence,
        count,
        owners,
        frozenset(each.leaf_id for each in replicas),
        min(Counter(each.group_id for each in replicas).values()),
    )
