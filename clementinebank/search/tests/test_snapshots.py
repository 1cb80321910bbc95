"""Guards the choice of the snapshot that a query pins.

A query pins one snapshot and searches it on all shards. It must prefer a
complete snapshot that every group serves on two leafs, and an incomplete one
must not look complete. Two groups that hold the same partition while the
index is repartitioned must not both own it.
"""

import pytest

from clementinebank.search import SnapshotCatalogue
from clementinebank.search import _snapshots as snapshots_module
from clementinebank.upstream import ServedSnapshot


def _served(sequence, partitions, count=4):
    return ServedSnapshot(f's-{sequence}', sequence, count, partitions)


def test_newest_complete_snapshot_is_pinned():
    catalogue = SnapshotCatalogue()
    catalogue.set_leaf_snapshots(
        'a', 'group-0', (_served(1, (0, 1)), _served(2, (0, 1)))
    )
    catalogue.set_leaf_snapshots('b', 'group-1', (_served(1, (2, 3)),))
    assert catalogue.choose_map().snapshot == 's-1'
    catalogue.set_leaf_snapshots('b', 'group-1', (_served(2, (2, 3)),))
    assert catalogue.choose_map().snapshot == 's-2'


def _catalogue_during_rollout(leafs, updated):
    """Return a catalogue where only the first ``updated`` leafs serve s-2.

    All leafs belong to one group and serve the older snapshot s-1.
    """
    catalogue = SnapshotCatalogue()
    for number, leaf in enumerate(leafs):
        sequences = (1, 2) if number < updated else (1,)
        held = tuple(_served(each, (0, 1), 2) for each in sequences)
        catalogue.set_leaf_snapshots(leaf, 'group-0', held)
    return catalogue


def test_new_snapshot_is_pinned_once_two_replicas_serve_it():
    """Check that one replica does not get the load of its whole group.

    A group with a single leaf cannot have two, so its new snapshot is pinned.
    """
    assert _catalogue_during_rollout('abc', 1).choose_map().snapshot == 's-1'
    assert _catalogue_during_rollout('abc', 2).choose_map().snapshot == 's-2'
    assert _catalogue_during_rollout('a', 1).choose_map().snapshot == 's-2'


def test_choice_that_ignores_the_replica_count_is_caught(monkeypatch):
    monkeypatch.setattr(snapshots_module, 'PREFERRED_REPLICAS', 0)
    with pytest.raises(AssertionError):
        test_new_snapshot_is_pinned_once_two_replicas_serve_it()


def test_snapshot_dropped_by_one_of_two_replicas_is_not_pinned():
    catalogue = _catalogue_during_rollout('ab', 2)
    catalogue.remove_snapshot('a', 's-2')
    assert catalogue.choose_map().snapshot == 's-1'
    assert 'a' not in catalogue.partition_maps()[0].leaf_ids


def test_partition_held_twice_has_one_owner():
    catalogue = SnapshotCatalogue()
    catalogue.set_leaf_snapshots('b', 'group-1', (_served(1, (1, 2, 3)),))
    catalogue.set_leaf_snapshots('a', 'group-0', (_served(1, (0, 1)),))
    pinned = catalogue.choose_map()
    assert pinned.is_complete
    assert pinned.partitions_of('group-0') == (0, 1)
    assert pinned.partitions_of('group-1') == (2, 3)


def test_snapshot_with_unowned_partitions_is_not_complete():
    catalogue = SnapshotCatalogue()
    catalogue.set_leaf_snapshots('a', 'group-0', (_served(1, (0, 1)),))
    assert not catalogue.choose_map().is_complete
    assert SnapshotCatalogue().choose_map() is None
