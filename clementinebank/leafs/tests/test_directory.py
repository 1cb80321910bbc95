"""Guards which leafs the directory holds, and whether they are draining.

A running leaf is lost if a registration that expired in an outage of the
registry removes it at once, and a leaf that has gone keeps getting requests if
it stays too long. Records may arrive late: an older one must neither replace a
newer one nor end the drain of an incarnation, but a restart ends it.
"""

from unittest import mock

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from clementinebank.leafs import LeafDirectory, LeafRecord
from clementinebank.validation import Address

PROPERTY_SETTINGS = settings(derandomize=True, database=None, deadline=None)
DRAIN_S = 3.0
LEAF = LeafRecord('i-1', 1, 1, 's', Address('127.0.0.1', 1), 'dc', 3)


def make_record(**changes):
    return attrs.evolve(LEAF, **changes)


def test_removed_leaf_is_kept_until_its_registration_may_be_back():
    directory = LeafDirectory(DRAIN_S)
    directory.register(LEAF)
    directory.remove('i-1', now=10)
    assert not directory.expire(now=11)
    assert directory.records_by_id
    assert directory.next_expiry_at() < 10 + DRAIN_S
    assert directory.expire(now=directory.next_expiry_at())
    assert not directory.records_by_id


def test_leaf_that_registers_again_is_not_forgotten():
    directory = LeafDirectory(DRAIN_S)
    directory.register(LEAF)
    directory.remove('i-1', now=10)
    assert directory.register(LEAF)
    assert not directory.expire(now=100)
    assert directory.records_by_id


def test_leaf_that_a_complete_list_lacks_is_removed():
    directory = LeafDirectory(DRAIN_S)
    directory.register(LEAF)
    directory.retain(set(), now=10)
    directory.expire(now=10 + DRAIN_S)
    assert not directory.records_by_id


@pytest.mark.parametrize('drain_s', [0.3, 1.0, 3.0, 10.0])
def test_notice_and_grace_of_a_removal_end_before_the_drain_limit(drain_s):
    directory = LeafDirectory(drain_s)
    sum_s = directory.removal_notice_s + directory.removal_grace_s
    assert sum_s <= max(drain_s - 0.4, 0.6 * drain_s)


def test_restart_under_the_same_id_ends_a_drain():
    directory = LeafDirectory(DRAIN_S)
    directory.register(make_record(is_draining=True, sequence=9))
    directory.register(make_record(incarnation=2, sequence=1))
    assert not directory.records_by_id['i-1'].is_draining


def _check_order(statements):
    """Register records in the given order; check that the newest is kept."""
    directory = LeafDirectory(DRAIN_S)
    newest = (0, 0)
    drained_incarnations = set()
    for incarnation, sequence, is_draining in statements:
        record = make_record(
            incarnation=incarnation, sequence=sequence, is_draining=is_draining
        )
        if record.sort_key >= newest and is_draining:
            drained_incarnations.add(incarnation)
        newest = max(newest, record.sort_key)
        directory.register(record)
        known = directory.records_by_id['i-1']
        assert known.sort_key == newest
        assert (
            known.is_draining or known.incarnation not in drained_incarnations
        )


STATEMENTS = st.lists(
    st.tuples(st.integers(1, 3), st.integers(1, 4), st.booleans()), min_size=1
)


@PROPERTY_SETTINGS
@given(STATEMENTS)
def test_late_statement_changes_nothing_and_a_drain_is_final(statements):
    _check_order(statements)


def test_directory_that_takes_any_statement_is_caught():
    def store_always(directory, record):
        directory.records_by_id[record.leaf_id] = record

    with mock.patch.object(LeafDirectory, 'register', store_always):
        with pytest.raises(AssertionError):
            _check_order([(1, 2, True), (1, 1, False)])
