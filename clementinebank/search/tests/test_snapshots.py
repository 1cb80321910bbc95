"""Guards the choice of the snapshot that a query pins.

A query must prefer a complete, replicated snapshot, and an incomplete one
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


def _change_index(leafs, changed):
    """Return a catalogue where the first ``changed`` leafs serve s-2 too."""
    catalogue = SnapshotCatalogue()
    for number, leaf in enumerate(leafs):
        sequences = (1, 2) if number < changed else (1,)
        held = tuple(_served(each, (0, 1), 2) for each in sequences)
        catalogue.set_leaf_snapshots(leaf, 'group-0', held)
    return catalogue


def test_snapshot_on_one_replica_waits_for_a_second():
    """Check that one replica does not get the load of its whole group."""
    assert _change_index('abc', 1).choose_map().snapshot == 's-1'
    assert _change_index('abc', 2).choose_map().snapshot == 's-2'
    assert _change_index('a', 1).choose_map().snapshot == 's-2'


def test_variant_without_replica_count_is_caught(monkeypatch):
    monkeypatch.setattr(snapshots_module, 'PREFERRED_REPLICAS', 0)
    with pytest.raises(AssertionError):
        test_snapshot_on_one_replica_waits_for_a_second()


def test_withdrawn_snapshot_is_not_pinned():
    catalogue = _change_index('ab', 2)
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


def test_incomplete_snapshot_is_not_complete():
    catalogue = SnapshotCatalogue()
    catalogue.set_leaf_snapshots('a', 'group-0', (_served(1, (0, 1)),))
    assert not catalogue.choose_map().is_complete
    assert SnapshotCatalogue().choose_map() is None
