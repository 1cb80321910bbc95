"""Guards against partitions that an answer neither covers nor misses."""

from clementinebank.search import Coverage, PartitionMap, ShardCoverage


def test_partitions_without_an_owner_are_listed_as_missing():
    known = PartitionMap('s-1', 1, 4, {0: 'g', 1: 'g'})
    shards = {'g': ShardCoverage('g', 'north', (0, 1), 'a')}
    coverage = Coverage(known, shards).as_json()
    missing = [
        partition
        for entry in coverage['missing']
        for partition in entry['partitions']
    ]
    assert sorted(missing) == [2, 3]
