"""Tests that a merge does not revert the section of another team.

A change that was prepared from an older revision, or a key-value service that
was restored to an older state, can bring old section texts back. Each rule is
also checked with a broken variant of the merge, which must fail it.
"""

import attrs
import pytest
from result import Err, Ok

from clementinebank.document import (
    Change,
    HeadRecord,
    merge_change,
    merge_restored,
    read_change,
)
from clementinebank.document.tests.samples import (
    TEXTS,
    change,
    change_id,
    desk,
    first_head,
    next_head,
    orders,
)


def whole_document_write(head, new_change, accepted_at):
    """Broken: replaces the whole document by the sections of the change."""
    empty = attrs.evolve(head, sections_by_name={})
    current_change = attrs.evolve(new_change, base_revision=head.revision)
    return merge_change(empty, current_change, accepted_at)


def merge_without_base(head, new_change, accepted_at):
    """Broken: uses the revision of the head as the base revision."""
    current_change = attrs.evolve(new_change, base_revision=head.revision)
    return merge_change(head, current_change, accepted_at)


def merge_without_id(head, new_change, accepted_at):
    """Broken: does not look for the change id in the history."""
    return merge_change(attrs.evolve(head, changes=()), new_change, accepted_at)


def merge_by_history(head, new_change, accepted_at):
    """Broken: reports every section changed since the base as a conflict."""
    changed = {
        name
        for entry in head.changes
        if entry.revision > new_change.base_revision
        for name in entry.sections
    }
    conflicts = tuple(changed & new_change.texts_by_section.keys())
    if conflicts:
        return Err(conflicts)
    return merge_change(head, new_change, accepted_at)


def check_other_sections_stay(merge):
    head = next_head(first_head(), 2, 'bo', orders=orders(9))
    merged = merge(head, change(3, 1, desk=desk(3)), 300)
    assert isinstance(merged, Ok)
    texts = merged.ok_value.texts_by_section
    assert texts == {
        **TEXTS,
        'service.desk': desk(3),
        'service.orders': orders(9),
    }


def check_conflict_names_both_editors(merge):
    head = next_head(first_head(), 2, 'bo', desk=desk(9))
    merged = merge(head, change(3, 1, 'ana', desk=desk(3)), 300)
    assert isinstance(merged, Err)
    (conflict,) = merged.err_value
    assert conflict.section == 'service.desk'
    assert conflict.editor == 'ana'
    assert conflict.other_editor == 'bo'
    assert conflict.other_revision == 2
    assert 'bo' in str(conflict) and 'ana' in str(conflict)


def check_equal_text_is_no_conflict(merge):
    head = next_head(first_head(), 2, 'bo', desk=desk(9))
    merged = merge(head, change(3, 1, desk=desk(9), orders=orders(5)), 300)
    assert isinstance(merged, Ok)
    sections = merged.ok_value.sections_by_name
    assert sections['service.desk'].editor == 'bo'
    assert sections['service.orders'].text == orders(5)


def check_deletion_is_a_conflict(merge):
    head = next_head(first_head(), 2, 'bo', orders=None)
    merged = merge(head, change(3, 1, orders=orders(5)), 300)
    assert isinstance(merged, Err)
    assert merged.err_value[0].other_editor == 'bo'


def check_repeated_id_changes_nothing(merge):
    head = next_head(first_head(), 2, desk=desk(3))
    head = next_head(head, 3, 'bo', desk=desk(4))
    merged = merge(head, change(2, 1, desk=desk(3)), 400)
    assert merged == Ok(head)


CHECKS_WITH_BROKEN_VARIANT = [
    (check_other_sections_stay, whole_document_write),
    (check_conflict_names_both_editors, merge_without_base),
    (check_equal_text_is_no_conflict, merge_by_history),
    (check_deletion_is_a_conflict, merge_without_base),
    (check_repeated_id_changes_nothing, merge_without_id),
]


@pytest.mark.parametrize(('rule', 'broken'), CHECKS_WITH_BROKEN_VARIANT)
def test_rule_holds_and_catches_its_broken_variant(rule, broken):
    rule(merge_change)
    with pytest.raises(AssertionError):
        rule(broken)


def test_stale_file_applied_whole_reverts_nothing():
    head = next_head(first_head(), 2, 'bo', desk=desk(9))
    stale = Change(change_id(3), 1, 'ana', TEXTS)
    (conflict,) = merge_change(head, stale, 300).unwrap_err()
    assert conflict.section == 'service.desk'


def test_base_of_another_line_is_a_conflict():
    merged = merge_change(first_head(), change(3, 7, desk=desk(3)), 300)
    assert merged.unwrap_err()[0].other_editor == 'setup'


def test_section_absent_beyond_the_history_is_a_conflict():
    head = next_head(first_head(), 2, 'bo', orders=None)
    head = next_head(next_head(head, 3, desk=desk(3)), 4, desk=desk(4))
    trimmed = attrs.evolve(head, changes=head.changes[-1:], history_start=3)
    merged = merge_change(trimmed, change(5, 1, orders=orders(5)), 500)
    assert merged.unwrap_err()[0].other_editor is None
    current_change = change(5, 4, orders=orders(5))
    assert merge_change(trimmed, current_change, 500).unwrap().revision == 5


def test_accept_times_never_decrease():
    head = next_head(first_head(), 2, desk=desk(3), time=900)
    assert next_head(head, 3, desk=desk(4)).changes[-1].accepted_at == 900


def _ancestor_and_lost_head():
    ancestor = next_head(first_head(), 2, orders=orders(5))
    lost = next_head(ancestor, 3, 'bo', desk=desk(9))
    return ancestor, lost


def keep_higher_revision(restored, in_force):
    """Broken: writes the record in force back without a merge."""
    return attrs.evolve(in_force, revision=in_force.revision + 1)


def take_restored_sections(restored, in_force):
    """Broken: prefers every section of the restored record."""
    sections = {**in_force.sections_by_name, **restored.sections_by_name}
    merged = merge_restored(restored, in_force)
    return attrs.evolve(merged, sections_by_name=sections)


def check_change_on_top_of_restored_state_stays(merge):
    ancestor, lost = _ancestor_and_lost_head()
    on_top = next_head(ancestor, 4, 'cy', orders=orders(7))
    merged = merge(on_top, lost)
    assert merged.texts_by_section['service.orders'] == orders(7)
    assert merged.find_change(change_id(4)) is not None


def check_change_in_force_is_not_reverted(merge):
    ancestor, lost = _ancestor_and_lost_head()
    on_top = next_head(ancestor, 4, 'cy', orders=orders(7))
    merged = merge(on_top, lost)
    assert merged.texts_by_section['service.desk'] == desk(9)
    assert merged.extends(lost)
    assert merged.extends(on_top)
    assert merged.revision > max(lost.revision, on_top.revision)


@pytest.mark.parametrize(
    ('rule', 'broken'),
    [
        (check_change_on_top_of_restored_state_stays, keep_higher_revision),
        (check_change_in_force_is_not_reverted, take_restored_sections),
    ],
)
def test_restore_holds_and_catches_its_broken_variant(rule, broken):
    rule(merge_restored)
    with pytest.raises(AssertionError):
        rule(broken)


def test_restored_ancestor_gets_the_record_in_force_back():
    ancestor, lost = _ancestor_and_lost_head()
    for restored in (ancestor, first_head(), HeadRecord()):
        merged = merge_restored(restored, lost)
        assert merged == attrs.evolve(lost, revision=lost.revision + 1)


def test_newer_edit_of_the_same_section_wins():
    ancestor, lost = _ancestor_and_lost_head()
    newer = next_head(ancestor, 5, 'cy', desk=desk(1))
    assert merge_restored(newer, lost).texts_by_section['service.desk'] == desk(
        1
    )
    deleted = next_head(ancestor, 5, 'cy', desk=None)
    merged = merge_restored(deleted, lost)
    assert 'service.desk' not in merged.sections_by_name
    assert merged.find_last_change('service.desk').editor == 'cy'
    older = next_head(ancestor, 4, 'cy', desk=desk(1), time=250)
    assert merge_restored(older, lost).texts_by_section['service.desk'] == desk(
        9
    )


def test_history_agrees_with_the_section_kept_at_equal_times():
    ancestor, lost = _ancestor_and_lost_head()
    on_top = next_head(ancestor, 4, 'cy', desk=desk(1), time=300)
    assert on_top.changes[-1].accepted_at == lost.changes[-1].accepted_at
    merged = merge_restored(on_top, lost)
    assert merged.texts_by_section['service.desk'] == desk(9)
    assert merged.changes[-1].change_id == lost.changes[-1].change_id


def test_file_shown_before_the_restore_conflicts():
    ancestor, lost = _ancestor_and_lost_head()
    on_top = next_head(ancestor, 4, 'cy', orders=orders(7))
    merged = merge_restored(on_top, lost)
    for texts in ({'desk': desk(8)}, {'orders': orders(8)}):
        stale = change(6, lost.revision, **texts)
        assert isinstance(merge_change(merged, stale, 600), Err)
    current_change = change(6, merged.revision, desk=desk(8), orders=orders(8))
    assert isinstance(merge_change(merged, current_change, 600), Ok)


def test_section_older_than_the_trimmed_history_is_not_brought_back():
    head = next_head(first_head(), 2, 'bo', orders=None)
    head = next_head(next_head(head, 3, desk=desk(3)), 4, desk=desk(4))
    trimmed = attrs.evolve(head, changes=head.changes[-1:], history_start=3)
    merged = merge_restored(first_head(), trimmed)
    assert 'service.orders' not in merged.sections_by_name


VALID = {
    'change_id': change_id(1),
    'base_revision': 3,
    'editor': 'ana',
    'sections': {'service.desk': desk(3), 'service.orders': None},
}


def test_change_is_read():
    read = read_change(VALID).unwrap()
    assert read == change(1, 3, desk=desk(3), orders=None)


@pytest.mark.parametrize(
    ('field', 'value'),
    [
        ('change_id', 'seven'),
        ('change_id', None),
        ('base_revision', '3'),
        ('base_revision', -1),
        ('editor', ''),
        ('editor', 'a\nb'),
        ('editor', 'a' * 101),
        ('sections', {}),
        ('sections', []),
        ('sections.service.desk', {'service.desk': 7}),
        ('sections.service.desk', {'service.desk': '\ud800'}),
        ("sections.'a\\nb'", {'a\nb': 'owner: x'}),
        ('colour', 'red'),
    ],
)
def test_malformed_change_names_its_field(field, value):
    raw = {**VALID, field.partition('.')[0]: value}
    problems = read_change(raw).unwrap_err()
    assert field in {
        problem.field.replace("'service.desk'", 'service.desk')
        for problem in problems
    }
