"""Strict decoding of a head record.

The value may be malformed or inconsistent, because other tools can write the
key as well.
"""

import json
from collections import Counter
from collections.abc import Iterable
from typing import Any, NoReturn

import attrs

from clementinebank.document._head import (
    MAX_HEAD_BYTES,
    AcceptedChange,
    HeadRecord,
    Section,
)

HEAD_FIELDS = ('revision', 'history_start', 'sections', 'changes')
# Latest valid Unix time: the end of the year 9999.
MAX_TIME_S = 253_402_300_799


def decode_head(payload: bytes) -> HeadRecord:
    """Decode a head record from JSON and check that it is consistent.

    Raises
    ------
    ValueError
        If the payload is not a valid and consistent head record; the message
        names the field.
    """
    if len(payload) > MAX_HEAD_BYTES:
        raise ValueError(
            f'not a head record: {len(payload)} bytes exceed the limit'
        )
    try:
        raw = json.loads(payload, object_pairs_hook=_reject_duplicates)
    except (ValueError, RecursionError) as error:
        raise ValueError(f'not a head record: {error}') from error
    fields = _check_fields(raw, 'head', HEAD_FIELDS)
    sections = _check_mapping(fields['sections'], 'sections')
    head = HeadRecord(
        _check_integer(fields['revision'], 'revision'),
        {
            _check_text(name, 'sections'): _decode_section(
                section, f'sections.{name}'
            )
            for name, section in sections.items()
        },
        tuple(
            _decode_change(entry, f'changes.{index}')
            for index, entry in enumerate(
                _check_list(fields['changes'], 'changes')
            )
        ),
        _check_integer(fields['history_start'], 'history_start'),
    )
    _check_consistency(head)
    return head


def _decode_section(raw: Any, path: str) -> Section:
    names = tuple(field.name for field in attrs.fields(Section))
    fields = _check_fields(raw, path, names)
    return Section(
        _check_text(fields['text'], f'{path}.text', allow_empty=True),
        _check_integer(fields['revision'], f'{path}.revision'),
        _check_text(fields['change_id'], f'{path}.change_id'),
        _check_text(fields['editor'], f'{path}.editor'),
        _check_time(fields['accepted_at'], f'{path}.accepted_at'),
    )


def _decode_change(raw: Any, path: str) -> AcceptedChange:
    names = tuple(field.name for field in attrs.fields(AcceptedChange))
    fields = _check_fields(raw, path, names)
    return AcceptedChange(
        _check_text(fields['change_id'], f'{path}.change_id'),
        _check_integer(fields['revision'], f'{path}.revision'),
        _check_text(fields['editor'], f'{path}.editor'),
        tuple(
            _check_text(name, f'{path}.sections')
            for name in _check_list(fields['sections'], f'{path}.sections')
        ),
        _check_time(fields['accepted_at'], f'{path}.accepted_at'),
        _check_text(fields['digest'], f'{path}.digest', allow_empty=True),
    )


def _check_consistency(head: HeadRecord) -> None:
    for name, section in head.sections_by_name.items():
        if not 1 <= section.revision <= head.revision:
            _raise_invalid(
                f'sections.{name}.revision',
                f'{section.revision} is not in 1 to {head.revision}',
            )
    if head.history_start > head.revision:
        _raise_invalid('history_start', 'above the revision of the head')
    revisions = [entry.revision for entry in head.changes]
    if revisions != sorted(revisions):
        _raise_invalid('changes', 'not sorted by revision')
    if any(not 1 <= revision <= head.revision for revision in revisions):
        _raise_invalid('changes', f'revisions are not in 1 to {head.revision}')
    counts = Counter(entry.change_id for entry in head.changes)
    for change_id, count in counts.items():
        if count > 1:
            _raise_invalid(
                'changes', f'change {change_id} occurs {count} times'
            )


def _reject_duplicates(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    fields_by_name: dict[str, Any] = {}
    for name, value in pairs:
        if name in fields_by_name:
            raise ValueError(f'duplicate field {name}')
        fields_by_name[name] = value
    return fields_by_name


def _check_fields(
    raw: Any, path: str, names: tuple[str, ...]
) -> dict[str, Any]:
    fields_by_name = _check_mapping(raw, path)
    for name in names:
        if name not in fields_by_name:
            _raise_invalid(path, f'missing field {name}')
    for name in fields_by_name:
        if name not in names:
            _raise_invalid(path, f'unknown field {name}')
    return fields_by_name


def _check_mapping(raw: Any, path: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        _raise_invalid(path, 'must be a mapping')
    return raw


def _check_list(raw: Any, path: str) -> list[Any]:
    if not isinstance(raw, list):
        _raise_invalid(path, 'must be a list')
    return raw


def _check_integer(raw: Any, path: str) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or raw < 0:
        _raise_invalid(path, 'must be an integer of at least 0')
    return raw


def _check_time(raw: Any, path: str) -> float:
    is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
    # NaN fails the comparison and is rejected as well.
    if not is_number or not 0 <= raw <= MAX_TIME_S:
        _raise_invalid(path, 'must be a Unix time in seconds')
    return float(raw)


def _check_text(raw: Any, path: str, *, allow_empty: bool = False) -> str:
    if not isinstance(raw, str) or not (raw or allow_empty):
        _raise_invalid(path, 'must be a non-empty string')
    try:
        raw.encode()
    except UnicodeEncodeError as error:
        raise ValueError(f'not a head record: {path}: {error}') from error
    return raw


def _raise_invalid(path: str, message: str) -> NoReturn:
    raise ValueError(f'not a head record: {path}: {message}')
