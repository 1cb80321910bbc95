"""Guards which leafs stay known when the registry comes back from a copy.

The copy lacks leafs that live, and has leafs that were removed since.
"""

import attrs

from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.validation import Address

DRAIN_S = 3.0
LEAF = LeafRecord('i-1', 1, 1, 's', Address('127.0.0.1', 1), 'dc', 3)
NEWER = attrs.evolve(LEAF, sequence=2)


def make_directory(*records):
    directory = LeafDirectory(DRAIN_S)
    for record in records:
        directory.register(record)
    return directory


def remove(directory):
    directory.remove('i-1', now=0)
    directory.expire(now=DRAIN_S)
    assert not directory.records_by_id


def test_leaf_that_the_copy_lacks_stays_until_it_is_known_to_be_gone():
    directory = make_directory(LEAF)
    directory.restore([], ())
    directory.retain([], now=0)
    assert not directory.expire(now=100)
    assert directory.records_by_id
    directory.forget_missing(now=100)
    assert not directory.records_by_id


def test_leaf_that_registers_after_the_return_is_kept():
    directory = make_directory(LEAF)
    directory.restore([], ())
    directory.register(NEWER)
    directory.forget_missing(now=3)
    assert directory.records_by_id == {'i-1': NEWER}


def test_removal_after_the_return_counts_as_always():
    directory = make_directory(LEAF)
    directory.restore([], ())
    directory.remove('i-1', now=1)
    assert directory.expire(now=1 + directory.removal_grace_s)
    directory.forget_missing(now=5)
    assert not directory.records_by_id


def test_removed_leaf_is_not_used_on_the_word_of_the_copy():
    directory = make_directory(NEWER)
    remove(directory)
    for copied in (LEAF, NEWER):
        assert directory.restore([copied], ()) == {'i-1'}
        assert not directory.records_by_id


def test_leaf_in_its_grace_period_is_still_removed():
    directory = make_directory(LEAF)
    directory.remove('i-1', now=0)
    assert directory.restore([LEAF], ()) == {'i-1'}
    assert directory.expire(now=DRAIN_S)


def test_removed_leaf_that_has_started_again_is_used():
    directory = make_directory(LEAF)
    remove(directory)
    restarted = attrs.evolve(LEAF, incarnation=2)
    assert not directory.restore([restarted], ())
    assert directory.records_by_id == {'i-1': restarted}


def test_leaf_that_registered_again_before_the_copy_was_lost_is_kept():
    """A later read of all entries dropped it as a removed one."""
    directory = make_directory(LEAF)
    remove(directory)
    directory.register(NEWER)
    assert not directory.restore([LEAF], ())
    assert directory.records_by_id == {'i-1': NEWER}


def test_second_copy_without_the_leaf_does_not_count_as_its_removal():
    directory = make_directory(LEAF)
    directory.restore([], ())
    directory.restore([LEAF], ())
    directory.forget_missing(now=5)
    assert directory.records_by_id == {'i-1': LEAF}


def test_evacuation_that_the_copy_lacks_stays_until_the_end_of_the_wait():
    directory = make_directory()
    directory.evacuate({'dc', 'other'})
    directory.restore([], {'other'})
    assert directory.evacuated_data_centres == {'dc', 'other'}
    directory.end_evacuation('other')
    directory.begin_evacuation('third')
    assert directory.evacuated_data_centres == {'dc', 'third'}
    directory.forget_missing(now=5)
    assert directory.evacuated_data_centres == {'third'}


def test_evacuation_that_is_ordered_again_stays():
    directory = make_directory()
    directory.evacuate({'dc'})
    directory.restore([], ())
    directory.begin_evacuation('dc')
    directory.forget_missing(now=5)
    assert directory.evacuated_data_centres == {'dc'}
