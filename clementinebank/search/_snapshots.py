"""Snapshots of the index and their partition maps."""

import attrs

from clementinebank.upstream import ServedSnapshot


@attrs.frozen
class PartitionMap:
    """Which group owns each partition of one snapshot.

    Parameters
    ----------
    snapshot : str
        Name of the snapshot.
    sequence : int
        Grows with every published snapshot.
    partition_count : int
        Partitions of the whole index.
    group_by_partition : dict of int to str
        Owner of each partition that any group holds.
    partitions_by_group : dict of str to tuple of int
        The same by owner, in order; computed once per map.
    """

    snapshot: str
    sequence: int
    partition_count: int
    group_by_partition: dict[int, str]
    partitions_by_group: dict[str, tuple[int, ...]] = attrs.field(init=False)

    @partitions_by_group.default
    def _group_partitions(self) -> dict[str, tuple[int, ...]]:
        found: dict[str, list[int]] = {}
        for partition, owner in sorted(self.group_by_partition.items()):
            found.setdefault(owner, []).append(partition)
        return {group: tuple(found[group]) for group in sorted(found)}

    @property
    def is_complete(self) -> bool:
        """Return whether every partition has an owner."""
        return len(self.group_by_partition) == self.partition_count

    def partitions_of(self, group_id: str) -> tuple[int, ...]:
        """Return the partitions that a group owns, in order."""
        return self.partitions_by_group.get(group_id, ())

    @property
    def group_ids(self) -> tuple[str, ...]:
        """Return the groups that own partitions, in order."""
        return tuple(self.partitions_by_group)


@attrs.define
class SnapshotCatalogue:
    """Snapshots known from the status of the leafs.

    A snapshot leaves the catalogue when no leaf reports it any more.
    """

    _served_by_leaf: dict[str, tuple[str, tuple[ServedSnapshot, ...]]] = (
        attrs.Factory(dict)
    )
    _maps: list[PartitionMap] | None = None

    def learn(
        self,
        leaf_id: str,
        group_id: str,
        snapshots: tuple[ServedSnapshot, ...],
    ) -> None:
        """Replace what is known of one leaf."""
        if self._served_by_leaf.get(leaf_id) != (group_id, snapshots):
            self._served_by_leaf[leaf_id] = (group_id, snapshots)
            self._maps = None

    def forget(self, leaf_id: str) -> None:
        """Remove a leaf."""
        self._served_by_leaf.pop(leaf_id, None)
        self._maps = None

    def maps(self) -> list[PartitionMap]:
        """Return the partition maps of all snapshots, newest first."""
        if self._maps is None:
            self._maps = self._build_maps()
        return self._maps

    def newest(self) -> PartitionMap | None:
        """Return the newest complete map, else the newest known one."""
        maps = self.maps()
        complete = [each for each in maps if each.is_complete]
        return next(iter(complete or maps), None)

    def _build_maps(self) -> list[PartitionMap]:
        served: dict[str, list[tuple[str, ServedSnapshot]]] = {}
        for group_id, snapshots in self._served_by_leaf.values():
            for snapshot in snapshots:
                served.setdefault(snapshot.snapshot, []).append(
                    (group_id, snapshot)
                )
        found = [_map_of(holders) for holders in served.values()]
        return sorted(found, key=lambda each: each.sequence, reverse=True)


def _map_of(holders: list[tuple[str, ServedSnapshot]]) -> PartitionMap:
    """Give each partition to the first of its holders by name.

    Two groups may hold a partition while the index is repartitioned; every
    instance must choose the same owner.
    """
    owners: dict[int, str] = {}
    for group_id, served in sorted(holders, key=lambda holder: holder[0]):
        for partition in served.partitions:
            owners.setdefault(partition, group_id)
    first = holders[0][1]
    return PartitionMap(
        first.snapshot, first.sequence, first.partition_count, owners
    )
