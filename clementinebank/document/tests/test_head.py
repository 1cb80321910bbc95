"""Tests of the size limit, the decoding and the order of head records.

A record can grow above the size limit of the key-value service, another tool
can write a malformed one, and a restore can bring an older one back. None of
them may replace a valid newer record unnoticed.
"""

import json

import attrs
import pytest

from clementinebank.document import (
    MAX_HEAD_BYTES,
    HeadRecord,
    HeadTooLargeError,
    decode_head,
    merge_change,
    merge_restored,
    trim_history,
)
from clementinebank.document._head import (
    HISTORY_TRIM_THRESHOLD_BYTES,
    MAX_HISTORY_CHANGES,
    AcceptedChange,
)
from clementinebank.document.tests.samples import (
    change,
    change_id,
    desk,
    first_head,
    next_head,
    orders,
)


def _history_entries(count):
    return tuple(
        AcceptedChange(change_id(number), number, 'ana', ('fleet',), number)
        for number in range(1, count + 1)
    )


def test_encoding_keeps_every_field():
    head = next_head(first_head(), 2, desk='# 日本語\n' + desk(3))
    assert decode_head(head.encode()) == head


def test_history_is_bounded():
    head = HeadRecord(1500, changes=_history_entries(1500))
    fitted = trim_history(head)
    assert len(fitted.changes) == MAX_HISTORY_CHANGES
    assert fitted.changes[-1].revision == 1500


@pytest.mark.parametrize('size', [850_000, 899_000, 950_000])
def test_history_is_trimmed_before_the_document(size):
    head = first_head()
    comment = '#' * (size - len(head.encode()))
    head = next_head(head, 2, desk=f'{desk(3)}{comment}\n')
    fitted = trim_history(
        attrs.evolve(head, revision=900, changes=_history_entries(900))
    )
    assert fitted.sections_by_name == head.sections_by_name
    assert fitted.changes[-1].revision == 900
    encoded = len(fitted.encode())
    assert encoded <= HISTORY_TRIM_THRESHOLD_BYTES or len(fitted.changes) == 1
    assert decode_head(fitted.encode()) == fitted


def test_document_that_does_not_fit_is_rejected():
    text = desk(3) + '#' * MAX_HEAD_BYTES
    with pytest.raises(HeadTooLargeError):
        merge_change(first_head(), change(2, 1, desk=text), 200)


def _set_field(path, value):
    def edit(raw):
        *parents, last = path
        for name in parents:
            raw = raw[name]
        if value is None:
            del raw[last]
        else:
            raw[last] = value

    return edit


@pytest.mark.parametrize(
    ('edit', 'field'),
    [
        (_set_field(['revision'], '2'), 'revision'),
        (_set_field(['revision'], True), 'revision'),
        (_set_field(['revision'], -1), 'revision'),
        (_set_field(['revision'], 1), 'sections.service.desk.revision'),
        (_set_field(['colour'], 'red'), 'colour'),
        (_set_field(['changes'], None), 'changes'),
        (_set_field(['history_start'], 3), 'history_start'),
        (_set_field(['changes'], {}), 'changes'),
        (_set_field(['changes', 0, 'revision'], 9), 'changes'),
        (_set_field(['changes', 0, 'change_id'], change_id(2)), 'changes'),
        (_set_field(['changes', 0, 'accepted_at'], 'noon'), 'accepted_at'),
        (_set_field(['sections'], []), 'sections'),
        (_set_field(['sections', 'fleet', 'text'], 7), 'sections.fleet.text'),
        (
            _set_field(['sections', 'fleet', 'text'], '\ud800'),
            'sections.fleet.text',
        ),
        (
            _set_field(['sections', 'fleet', 'editor'], ''),
            'sections.fleet.editor',
        ),
        (
            _set_field(['sections', 'fleet', 'accepted_at'], 1e300),
            'accepted_at',
        ),
    ],
)
def test_record_of_another_tool_is_refused_with_its_field(edit, field):
    raw = json.loads(next_head(first_head(), 2, desk=desk(3)).encode())
    edit(raw)
    with pytest.raises(ValueError, match=f'not a head record.*{field}'):
        decode_head(json.dumps(raw).encode())


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'[]',
        b'\xff',
        b'[' * 100_000,
        b'{"revision":1,"revision":2,"history_start":0,"sections":{},'
        b'"changes":[]}',
        b'{"revision":NaN,"history_start":0,"sections":{},"changes":[]}',
        b'{"revision":' + b'9' * 5000 + b',"sections":{},"changes":[]}',
    ],
)
def test_malformed_record_is_refused(payload):
    with pytest.raises(ValueError, match='not a head record'):
        decode_head(payload)


def test_record_after_a_restore_does_not_extend_the_lost_one():
    ancestor = first_head()
    lost = next_head(ancestor, 2, desk=desk(3))
    other = next_head(ancestor, 3, orders=orders(5))
    overtaking = next_head(other, 4, orders=orders(6))
    assert lost.extends(ancestor)
    assert overtaking.extends(ancestor)
    assert not ancestor.extends(lost)
    assert not other.extends(lost)
    assert not overtaking.extends(lost)


def test_record_extends_a_merged_one_only_with_all_its_changes():
    # The newest change of a merged record also occurs in one of the two records
    # that were merged, so comparing the newest changes is not enough.
    ancestor = first_head()
    lost = next_head(ancestor, 2, desk=desk(3))
    other = next_head(ancestor, 3, orders=orders(5))
    merged = merge_restored(other, lost)
    assert merged.extends(other) and merged.extends(lost)
    overtaking = next_head(next_head(other, 4, orders=orders(6)), 5)
    assert overtaking.revision >= merged.revision
    assert not overtaking.extends(merged)


def test_trimmed_history_is_not_taken_for_a_restore():
    earlier = first_head()
    head = next_head(next_head(earlier, 2, desk=desk(3)), 3, desk=desk(4))
    trimmed = attrs.evolve(head, changes=head.changes[-1:], history_start=2)
    assert trimmed.extends(earlier)
