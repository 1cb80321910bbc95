"""Guards against coverage that is claimed and not derived."""

from clementinebank.search import SnapshotCatalogue
from clementinebank.upstream import ServedSnapshot


def _served(sequence, partitions, count=4):
    return ServedSnapshot(f's-{sequence}', sequence, count, partitions)


def test_newest_complete_snapshot_is_pinned():
    catalogue = SnapshotCatalogue()
    catalogue.learn('a', 'group-0', (_served(1, (0, 1)), _served(2, (0, 1))))
    catalogue.learn('b', 'group-1', (_served(1, (2, 3)),))
    assert catalogue.newest().snapshot == 's-1'
    catalogue.learn('b', 'group-1', (_served(2, (2, 3)),))
    assert catalogue.newest().snapshot == 's-2'


def test_partition_held_twice_has_one_owner():
    catalogue = SnapshotCatalogue()
    catalogue.learn('b', 'group-1', (_served(1, (1, 2, 3)),))
    catalogue.learn('a', 'group-0', (_served(1, (0, 1)),))
    pinned = catalogue.newest()
    assert pinned.is_complete
    assert pinned.partitions_of('group-0') == (0, 1)
    assert pinned.partitions_of('group-1') == (2, 3)


def test_incomplete_snapshot_is_not_complete():
    catalogue = SnapshotCatalogue()
    catalogue.learn('a', 'group-0', (_served(1, (0, 1)),))
    assert not catalogue.newest().is_complete
    assert SnapshotCatalogue().newest() is None
