"""Guards against partitions that are neither answered nor listed as missing.

A partition map may name no owning group for some partitions; in some runs of
the soak, an instance that had just started had such a map. An answer must list
these partitions as missing.
"""

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
