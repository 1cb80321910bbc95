"""Guards leafs that leave against new requests.

A registration that still says ready, or comes back after an outage, must not
undo what the leaf has said itself; a later start of the same leaf must not be
barred; and the memory must stay bounded.
"""

import attrs
import pytest

from clementinebank.leafs import Departures, LeafDirectory, LeafRecord
from clementinebank.leafs import _departures as departures_module
from clementinebank.validation import Address

NOW = 1000.0
RECORD = LeafRecord('a', 7, 3, 's', Address('127.0.0.1', 1), 'dc-1', 2)


def make_directory():
    directory = LeafDirectory(5.0)
    directory.register(RECORD)
    directory.on_leaving(RECORD.incarnation_id, NOW, is_told_on=True)
    return directory


def check_stale_registration_changes_nothing():
    directory = make_directory()
    directory.register(attrs.evolve(RECORD, sequence=9))
    assert directory.records_by_id['a'].is_draining


def check_registration_after_an_outage_changes_nothing():
    directory = make_directory()
    directory.remove('a', NOW)
    directory.expire(NOW + 10)
    assert not directory.records_by_id
    directory.register(RECORD)
    assert directory.records_by_id['a'].is_draining


def check_departure_before_the_registration_counts():
    directory = LeafDirectory(5.0)
    directory.on_leaving(RECORD.incarnation_id, NOW, is_told_on=False)
    directory.register(RECORD)
    assert directory.records_by_id['a'].is_draining


def check_later_start_is_not_barred():
    directory = make_directory()
    directory.register(attrs.evolve(RECORD, incarnation=8, sequence=1))
    assert not directory.records_by_id['a'].is_draining
    # News about the earlier start that arrive late don't bar it either.
    directory.departures.forget(RECORD.incarnation_id)
    directory.on_leaving(RECORD.incarnation_id, NOW, is_told_on=False)
    assert not directory.records_by_id['a'].is_draining


def check_start_that_is_not_told_is_not_barred():
    directory = LeafDirectory(5.0)
    unknown = attrs.evolve(RECORD, incarnation=0)
    directory.register(unknown)
    directory.on_leaving(unknown.incarnation_id, NOW, is_told_on=False)
    directory.remove('a', NOW)
    directory.expire(NOW + 10)
    directory.register(attrs.evolve(unknown, sequence=1))
    assert not directory.records_by_id['a'].is_draining


def check_memory_is_bounded():
    departures = Departures()
    count = departures_module.MAX_DEPARTURES
    for number in range(2 * count):
        departures.add(f'{number}@1', NOW + number, is_told_on=True)
    assert len(departures.heard_at_by_incarnation) <= count
    assert len(departures.untold) <= count
    assert f'{2 * count - 1}@1' in departures
    departures.expire(NOW + 2 * count + 1000, ())
    assert not departures.heard_at_by_incarnation
    assert not departures.untold


def check_departure_is_kept_while_it_is_registered():
    directory = make_directory()
    registered = directory.registered_departures()
    assert registered == [RECORD.incarnation_id]
    directory.departures.expire(NOW + 10_000, registered)
    directory.register(attrs.evolve(RECORD, sequence=9))
    assert directory.records_by_id['a'].is_draining


CHECKS = [each for name, each in globals().items() if name.startswith('check_')]


@pytest.mark.parametrize('check', CHECKS, ids=lambda check: check.__name__)
def test_departures(check):
    check()


def _bar_every_start(directory, record):
    barred = f'{record.leaf_id}@7' in directory.departures
    directory.records_by_id[record.leaf_id] = attrs.evolve(
        record, is_draining=barred
    )
    return True


BROKEN = {
    check_stale_registration_changes_nothing: (
        Departures,
        '__contains__',
        lambda departures, incarnation_id: False,
    ),
    check_registration_after_an_outage_changes_nothing: (
        Departures,
        'forget_unknown_start',
        Departures.forget,
    ),
    check_departure_before_the_registration_counts: (
        Departures,
        '__contains__',
        lambda departures, incarnation_id: False,
    ),
    check_later_start_is_not_barred: (
        LeafDirectory,
        'register',
        _bar_every_start,
    ),
    check_start_that_is_not_told_is_not_barred: (
        Departures,
        'forget_unknown_start',
        lambda departures, incarnation_id: None,
    ),
    check_memory_is_bounded: (departures_module, 'KEPT_TIME_S', 1e9),
}


@pytest.mark.parametrize(
    ('check', 'broken'), BROKEN.items(), ids=lambda each: str(each)[:60]
)
def test_broken_variant_is_caught(check, broken, monkeypatch):
    monkeypatch.setattr(*broken)
    # The record is marked as draining by the drain that it knows itself, so
    # that variant has to forget it as well.
    if check is check_stale_registration_changes_nothing:
        monkeypatch.setattr(
            LeafDirectory,
            'on_leaving',
            lambda directory, incarnation_id, now, is_told_on: (
                directory.departures.add(
                    incarnation_id, now, is_told_on=is_told_on
                )
            ),
        )
    with pytest.raises(AssertionError):
        check()
