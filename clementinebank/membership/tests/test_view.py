"""Guards against wrong states of members and messages that grow too large.

A member may return to an earlier state when reports arrive out of order or the
instance list lags. Old heartbeats may make a lost member count as heard. The
number of reports in a message must not grow with the fleet.
"""

import random

import attrs
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from clementinebank.membership import (
    MAX_REPORTS_PER_MESSAGE,
    ListedInstance,
    Member,
    MemberReport,
    MembershipView,
    MemberState,
    merge_members,
    rendezvous_order,
)
from clementinebank.validation import Address

ADDRESS = Address('127.0.0.1', 1)
DATA_CENTRES = ('north', 'central', 'south')


def member(number=1, incarnation=10, **fields):
    data_centre = DATA_CENTRES[number % 3]
    return Member(f'i{number}', incarnation, ADDRESS, data_centre, **fields)


def report(number=1, age_s=0, **fields):
    return MemberReport(member(number, **fields), age_s)


def view_of(count, now=100.0):
    view = MembershipView(member(0), random.Random(5))
    view.merge([report(number) for number in range(1, count)], now)
    return view


REPORTS = st.builds(
    member,
    st.just(1),
    st.integers(1, 3),
    state=st.sampled_from(MemberState),
    heartbeat=st.integers(0, 5),
    revision=st.integers(0, 5),
)


def merged(reports):
    known = reports[0]
    for each in reports[1:]:
        known = merge_members(known, each)
    return known


def last_wins(reports):
    return reports[-1]


def assert_order_does_not_matter(merge):
    @seed(20261204)
    @settings(
        max_examples=300,
        database=None,
        deadline=None,
        report_multiple_bugs=False,
    )
    @given(st.lists(REPORTS, min_size=1, max_size=6), st.randoms())
    def run(reports, rng):
        shuffled = list(reports)
        rng.shuffle(shuffled)
        assert merge(reports) == merge(shuffled)
        newest = max(each.incarnation for each in reports)
        assert merge(reports).incarnation == newest
        final = max(e.state for e in reports if e.incarnation == newest)
        assert merge(reports).state == final

    run()


def test_order_of_reports_does_not_matter():
    assert_order_does_not_matter(merged)


def test_negative_control_last_report_wins_is_caught():
    with pytest.raises(AssertionError):
        assert_order_does_not_matter(last_wins)


def test_list_does_not_undo_leaving():
    view = view_of(3)
    view.merge([report(1, state=MemberState.LEAVING)], 101)
    listed = [ListedInstance('i1', ADDRESS, 'central')]
    view.merge_list(listed, 102)
    assert view.members_by_id['i1'].state is MemberState.LEAVING
    view.merge_list(listed, 200)
    assert view.members_by_id['i1'].state is MemberState.LEAVING


def test_stale_leaving_in_the_list_does_not_mark_a_heard_instance():
    view = view_of(3)
    view.merge_list([ListedInstance('i1', ADDRESS, 'central', True)], 101)
    assert view.members_by_id['i1'].state is MemberState.LIVE


def test_old_heartbeats_do_not_count_as_heard():
    view = view_of(5)
    reports = [report(number, age_s=20, heartbeat=9) for number in range(1, 5)]
    view.merge(reports, 120)
    assert not view.hears_majority(120)
    view.merge([report(number, heartbeat=10) for number in (1, 2)], 121)
    assert view.hears_majority(121)


def test_majority_of_a_large_fleet_is_lost_with_its_data_centres():
    view = view_of(900)
    assert view.hears_majority(100)
    own = [n for n in range(1, 900) if n % 3 == 0]
    view.merge([report(number, heartbeat=1) for number in own], 106)
    assert not view.hears_majority(106)


def test_majority_is_not_trusted_after_a_pause():
    view = view_of(5)
    view.reset_contacts(101)
    assert not view.hears_majority(101)
    view.merge([report(number) for number in range(1, 5)], 100.5)
    assert not view.hears_majority(101)


def test_news_is_bounded_and_carries_changes_first():
    view = view_of(3700)
    for _ in range(50):
        view.choose_reports(101)
    view.merge([report(77, state=MemberState.LEAVING)], 101)
    for _ in range(20):
        reports = view.choose_reports(101)
        assert len(reports) <= MAX_REPORTS_PER_MESSAGE
        assert 'i77' in {each.member.instance_id for each in reports}


def test_instance_removed_by_peers_returns_under_a_new_incarnation():
    view = view_of(3)
    view.merge([report(0, state=MemberState.GONE)], 101)
    assert view.own.incarnation == 11
    assert view.own.state is MemberState.LIVE


def test_silent_instance_is_removed_only_if_the_list_agrees():
    view = view_of(3)
    view.merge_list([ListedInstance('i1', ADDRESS, 'central')], 190)
    view.advance_heartbeat(0, 191)
    states = {key: each.state for key, each in view.members_by_id.items()}
    assert states['i1'] is MemberState.LIVE
    assert states['i2'] is MemberState.GONE


def test_views_that_differ_by_one_agree_on_watchers():
    ids = [f'i{number}' for number in range(30)]
    order = rendezvous_order('watcher', ids)
    shorter = rendezvous_order('watcher', set(ids) - {order[5]})
    assert shorter[:5] == order[:5]


def test_peers_are_taken_from_other_data_centres_too():
    view = view_of(60)
    chosen = [view.choose_peers(1, 101)[0] for _ in range(400)]
    remote = sum(each.data_centre != 'north' for each in chosen)
    assert 80 < remote < 320


def test_leaving_instance_is_no_watcher():
    view = view_of(1)
    assert view.watchers('north', 100) == ['i0']
    view.mark_leaving()
    assert view.watchers('north', 100) == []
    assert attrs.evolve(view.own).state is MemberState.LEAVING
