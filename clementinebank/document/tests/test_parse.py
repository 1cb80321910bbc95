"""Guards against a cached section that hides a problem or an old value."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from clementinebank.document import _parse as parse_module
from clementinebank.document import parse_document
from clementinebank.document._section_cache import SectionCache
from clementinebank.document.tests.samples import (
    DESK,
    FLEET,
    ORDERS,
    TEXTS,
    desk,
    orders,
)

# Valid and invalid texts; each fleet text makes other services invalid.
FLEETS = (
    FLEET,
    FLEET.replace('max_instances: 2', 'max_instances: 30'),
    FLEET.replace('north-a', 'south-a'),
    FLEET + 'caller_delay_ms: 60\n',
    FLEET + 'isolation: serve\n',
    FLEET + 'isolation: never\n',
    'owner: [',
    '',
)
SERVICES = (
    DESK,
    ORDERS,
    desk(3),
    desk(30),
    orders(7),
    DESK.replace('owner', 'ownr'),
    DESK.replace('north-a', 'south-a'),
    '---\nowner: x\n',
    'text',
)
DOCUMENTS = st.fixed_dictionaries(
    {},
    optional={
        'fleet': st.sampled_from(FLEETS),
        'service.desk': st.sampled_from(SERVICES),
        'service.orders': st.sampled_from(SERVICES),
        'other': st.sampled_from(SERVICES),
    },
)


HISTORIES = st.lists(DOCUMENTS, min_size=1, max_size=8)


def _check_cached_equals_full(documents, cache):
    for revision, texts in enumerate(documents):
        full = parse_document(texts, revision, SectionCache())
        assert parse_document(texts, revision, cache) == full


@given(HISTORIES)
@settings(max_examples=300, deadline=None)
def test_cached_parse_equals_the_full_parse(documents):
    _check_cached_equals_full(documents, SectionCache())


class KeyedByNameAndText(SectionCache):
    """Broken: ignores what the validation takes from the fleet."""

    def get(self, key, read):
        return super().get(key[:2], read)


class KeyedByText(SectionCache):
    """Broken: ignores the name of the section and the fleet."""

    def get(self, key, read):
        return super().get(key[1], read)


@pytest.mark.parametrize('broken', [KeyedByNameAndText, KeyedByText])
def test_negative_control_incomplete_key_is_caught(broken):
    @given(HISTORIES)
    @settings(max_examples=300, deadline=None, database=None)
    def check(documents):
        _check_cached_equals_full(documents, broken())

    with pytest.raises((AssertionError, AttributeError, BaseExceptionGroup)):
        check()


@pytest.mark.parametrize('fleet', FLEETS[1:4])
def test_change_of_the_fleet_validates_unchanged_services_again(fleet):
    cache = SectionCache()
    assert parse_document(TEXTS, 1, cache).is_ok()
    parsed = parse_document({**TEXTS, 'fleet': fleet}, 2, cache)
    assert isinstance(parsed, Err)
    assert {problem.section for problem in parsed.err_value} >= {'service.desk'}


def test_only_the_changed_section_is_parsed(monkeypatch):
    parsed_texts = []
    parse_yaml = parse_module.parse_yaml

    def record(text):
        parsed_texts.append(text)
        return parse_yaml(text)

    monkeypatch.setattr(parse_module, 'parse_yaml', record)
    cache = SectionCache()
    parse_document(TEXTS, 1, cache)
    assert sorted(parsed_texts) == sorted(TEXTS.values())
    parsed_texts.clear()
    parse_document({**TEXTS, 'service.desk': desk(3)}, 2, cache)
    parse_document({**TEXTS, 'service.desk': desk(3)}, 3, cache)
    assert parsed_texts == [desk(3)]


def test_cache_holds_the_sections_of_two_documents():
    cache = SectionCache()
    for slots in range(1, 20):
        parse_document({**TEXTS, 'service.desk': desk(slots)}, 1, cache)
    assert len(cache._current) == len(TEXTS)
    assert len(cache._previous) == len(TEXTS)
