"""Strict decoding of a head record, which another tool may have written."""

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

FIELDS = ('revision', 'history_start', 'sections', 'changes')
# Year 9999.
MAX_TIME_S = 253_402_300_799


def decode_head(payload: bytes) -> HeadRecord:
    """Decode a head record.

    Raises
    ------
    ValueError
        If the value is no consistent head record; the message names the
        field.
    """
    if len(payload) > MAX_HEAD_BYTES:
        raise ValueError(f'not a head record: {len(payload)} bytes')
    try:
        raw = json.loads(payload, object_pairs_hook=_unique_fields)
    except (ValueError, RecursionError) as error:
        raise ValueError(f'not a head record: {error}') from error
    fields = _fields(raw, 'head', FIELDS)
    sections = _mapping(fields['sections'], 'sections')
    head = HeadRecord(
        _integer(fields['revision'], 'revision'),
        {
            _text(name, 'sections'): _section(section, f'sections.{name}')
            for name, section in sections.items()
        },
        tuple(
            _change(entry, f'changes.{index}')
            for index, entry in enumerate(_list(fields['changes'], 'changes'))
        ),
        _integer(fields['history_start'], 'history_start'),
    )
    _check_consistency(head)
    return head


def _section(raw: Any, path: str) -> Section:
    names = tuple(field.name for field in attrs.fields(Section))
    fields = _fields(raw, path, names)
    return Section(
        _text(fields['text'], f'{path}.text', allow_empty=True),
        _integer(fields['revision'], f'{path}.revision'),
        _text(fields['change_id'], f'{path}.change_id'),
        _text(fields['editor'], f'{path}.editor'),
        _time(fields['accepted_at'], f'{path}.accepted_at'),
    )


def _change(raw: Any, path: str) -> AcceptedChange:
    names = tuple(field.name for field in attrs.fields(AcceptedChange))
    fields = _fields(raw, path, names)
    return AcceptedChange(
        _text(fields['change_id'], f'{path}.change_id'),
        _integer(fields['revision'], f'{path}.revision'),
        _text(fields['editor'], f'{path}.editor'),
        tuple(
            _text(name, f'{path}.sections')
            for name in _list(fields['sections'], f'{path}.sections')
        ),
        _time(fields['accepted_at'], f'{path}.accepted_at'),
        _text(fields['digest'], f'{path}.digest', allow_empty=True),
    )


def _check_consistency(head: HeadRecord) -> None:
    for name, section in head.sections_by_name.items():
        if not 1 <= section.revision <= head.revision:
            _refuse(
                f'sections.{name}.revision',
                f'{section.revision} is not in 1 to {head.revision}',
            )
    if head.history_start > head.revision:
        _refuse('history_start', 'above the revision')
    revisions = [entry.revision for entry in head.changes]
    if revisions != sorted(revisions):
        _refuse('changes', 'not in the order of their revisions')
    if any(not 1 <= revision <= head.revision for revision in revisions):
        _refuse('changes', f'revisions are not in 1 to {head.revision}')
    counts = Counter(entry.change_id for entry in head.changes)
    for change_id, count in counts.items():
        if count > 1:
            _refuse('changes', f'change {change_id} occurs {count} times')


def _unique_fields(pairs: Iterable[tuple[str, Any]]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for name, value in pairs:
        if name in found:
            raise ValueError(f'duplicate field {name}')
        found[name] = value
    return found


def _fields(raw: Any, path: str, names: tuple[str, ...]) -> dict[str, Any]:
    found = _mapping(raw, path)
    for name in names:
        if name not in found:
            _refuse(path, f'missing field {name}')
    for name in found:
        if name not in names:
            _refuse(path, f'unknown field {name}')
    return found


def _mapping(raw: Any, path: str) -> dict[str, Any]:
    if not isinstance(raw, dict):
        _refuse(path, 'must be a mapping')
    return raw


def _list(raw: Any, path: str) -> list[Any]:
    if not isinstance(raw, list):
        _refuse(path, 'must be a list')
    return raw


def _integer(raw: Any, path: str) -> int:
    if isinstance(raw, bool) or not isinstance(raw, int) or raw < 0:
        _refuse(path, 'must be an integer of at least 0')
    return raw


def _time(raw: Any, path: str) -> float:
    is_number = isinstance(raw, int | float) and not isinstance(raw, bool)
    # The comparison also refuses NaN.
    if not is_number or not 0 <= raw <= MAX_TIME_S:
        _refuse(path, 'must be a Unix time in seconds')
    return float(raw)


def _text(raw: Any, path: str, *, allow_empty: bool = False) -> str:
    if not isinstance(raw, str) or not (raw or allow_empty):
        _refuse(path, 'must be a non-empty string')
    try:
        raw.encode()
    except UnicodeEncodeError as error:
        raise ValueError(f'not a head record: {path}: {error}') from error
    return raw


def _refuse(path: str, message: str) -> NoReturn:
    raise ValueError(f'not a head record: {path}: {message}')
