"""Guards the decision on a key against the age of what is known.

A key must not be called unknown on old knowledge, since callers don't repeat
after that answer; nor may keys of an earlier version stay valid.
"""

import pytest

from clementinebank.accounts import (
    AccountTable,
    ClientAccount,
    common_regions,
)
from clementinebank.errors import Failure
from clementinebank.ratelimit import Quota

ALPHA = ClientAccount('alpha', frozenset(('a1', 'a2')), quota=Quota(5, 1))
MAX_AGE_S = 5.0


@pytest.fixture(name='table')
def _table():
    table = AccountTable(MAX_AGE_S)
    table.activate((ALPHA,))
    return table


@pytest.mark.parametrize(
    ('age_s', 'status', 'code'),
    [
        (0, 401, 'unknown_key'),
        (MAX_AGE_S, 401, 'unknown_key'),
        (MAX_AGE_S + 0.1, 503, 'accounts_outdated'),
        (float('inf'), 503, 'accounts_outdated'),
    ],
)
def test_unknown_key_is_refused_by_the_age_of_the_table(
    table, age_s, status, code
):
    with pytest.raises(Failure) as raised:
        table.authenticate('b1', is_public=False, age_s=age_s)
    assert (raised.value.status, raised.value.code) == (status, code)
    assert 'b1' not in str(raised.value)


def test_a_new_version_replaces_all_keys_and_quotas(table):
    renamed = ClientAccount('beta', frozenset(('a2',)))
    table.activate((renamed,))
    assert table.authenticate('a2', is_public=False, age_s=0) is renamed
    assert table.authenticate('a1', is_public=True, age_s=0) is None
    assert table.find_quota('alpha') is None


def test_keys_stand_in_no_representation(table):
    assert 'a1' not in repr(ALPHA)
    assert 'a1' not in repr(table)


@pytest.mark.parametrize(
    ('first', 'second', 'common'),
    [
        (None, None, None),
        (None, {'x'}, {'x'}),
        ({'x'}, None, {'x'}),
        ({'x', 'y'}, {'y', 'z'}, {'y'}),
        ({'x'}, {'y'}, set()),
    ],
)
def test_both_sets_of_regions_bind(first, second, common):
    assert common_regions(first, second) == common
