"""Snapshots of the index and their partition maps."""

from collections import Counter

import attrs

from clementinebank.upstream import ServedSnapshot

MIN_REPLICAS = 2


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
    leaf_ids : frozenset of str
        Leafs that reported the snapshot; only they are asked.
    fewest_replicas : int
        Replicas that serve the snapshot in the group that has fewest.
    partitions_by_group : dict of str to tuple of int
        Partitions of each owner, in order.
    """

    snapshot: str
    sequence: int
    partition_count: int
    group_by_partition: dict[int, str]
    leaf_ids: frozenset[str] = frozenset()
    fewest_replicas: int = 0
    partitions_by_group: dict[str, tuple[int, ...]] = attrs.field(init=False)

    @partitions_by_group.default
    def _partitions_of_owners(self) -> dict[str, tuple[int, ...]]:
        owned: dict[str, list[int]] = {}
        for partition, group_id in sorted(self.group_by_partition.items()):
            owned.setdefault(group_id, []).append(partition)
        return {group: tuple(owned[group]) for group in sorted(owned)}

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
        served = (group_id, snapshots)
        if self._served_by_leaf.get(leaf_id) != served:
            self._served_by_leaf[leaf_id] = served
            self._maps = None

    def forget(self, leaf_id: str) -> None:
        """Remove a leaf."""
        if self._served_by_leaf.pop(leaf_id, None) is not None:
            self._maps = None

    def withdraw(self, leaf_id: str, snapshot: str) -> None:
        """Record that a leaf refused a snapshot that it had reported."""
        known = self._served_by_leaf.get(leaf_id)
        if known is None:
            return
        group_id, snapshots = known
        kept = tuple(each for each in snapshots if each.snapshot != snapshot)
        self.learn(leaf_id, group_id, kept)

    def maps(self) -> list[PartitionMap]:
        """Return the partition maps of all snapshots, newest first."""
        if self._maps is None:
            self._maps = self._build_maps()
        return self._maps

    def newest(self) -> PartitionMap | None:
        """Return the newest complete map, else the newest known one.

        While an index change is under way, a snapshot that a group serves
        with one replica only is passed over for an older one with more: that
        replica would have to take the load of the whole group.
        """
        maps = self.maps()
        complete = [each for each in maps if each.is_complete]
        replicated = [
            each for each in complete if each.fewest_replicas >= MIN_REPLICAS
        ]
        return next(iter(replicated or complete or maps), None)

    def _build_maps(self) -> list[PartitionMap]:
        holders: dict[str, list[_Holder]] = {}
        for leaf_id, (group_id, snapshots) in self._served_by_leaf.items():
            for served in snapshots:
                holders.setdefault(served.snapshot, []).append(
                    _Holder(group_id, leaf_id, served)
                )
        found = [_map_of(each) for each in holders.values()]
        return sorted(found, key=lambda each: each.sequence, reverse=True)


@attrs.frozen
class _Holder:
    group_id: str
    leaf_id: str
    served: ServedSnapshot


def _map_of(holders: list[_Holder]) -> PartitionMap:
    """Give each partition to the first of its holders by name.

    Two groups may hold a partition while the index is repartitioned; every
    instance must choose the same owner.
    """
    owners: dict[int, str] = {}
    for holder in sorted(holders, key=lambda each: each.group_id):
        owned = dict.fromkeys(holder.served.partitions, holder.group_id)
        owners = {**owned, **owners}
    # A leaf that misreports the size of the index must not make a part of
    # it look complete.
    count = max(each.served.partition_count for each in holders)
    first = holders[0].served
    return PartitionMap(
        first.snapshot,
        first.sequence,
        count,
        owners,
        frozenset(each.leaf_id for each in holders),
        min(Counter(each.group_id for each in holders).values()),
    )
