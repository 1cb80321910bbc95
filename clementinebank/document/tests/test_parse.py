"""Tests of parsing a document, with and without cached sections.

A cached result hides a problem or returns an old value if its key lacks
something that the result depends on, such as a setting of the fleet section.
"""

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

# Valid and invalid texts of the fleet section. The valid ones differ in the
# service texts that they make invalid.
FLEETS = (
    FLEET,
    FLEET.replace('max_instances: 2', 'max_instances: 30'),
    FLEET.replace('north-a', 'south-a'),
    FLEET + 'caller_delay_ms: 60\n',
    FLEET + 'booking_writes_per_second: 1\n',
    FLEET + 'instances_per_leaf: 1\n',
    FLEET + 'instances_per_leaf: 3\n',
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


DOCUMENT_SEQUENCES = st.lists(DOCUMENTS, min_size=1, max_size=8)


def _check_cached_equals_full(documents, cache):
    for revision, texts in enumerate(documents):
        full = parse_document(texts, revision, SectionCache())
        assert parse_document(texts, revision, cache) == full


@given(DOCUMENT_SEQUENCES)
@settings(max_examples=300, deadline=None)
def test_cached_parse_equals_the_full_parse(documents):
    _check_cached_equals_full(documents, SectionCache())


class KeyedByNameAndText(SectionCache):
    """Broken: the key lacks the fleet settings used by the validation."""

    def get(self, key, read):
        return super().get(key[:2], read)


class KeyedByText(SectionCache):
    """Broken: the key lacks the section name and the fleet settings."""

    def get(self, key, read):
        return super().get(key[1], read)


@pytest.mark.parametrize('broken', [KeyedByNameAndText, KeyedByText])
def test_negative_control_incomplete_key_is_caught(broken):
    @given(DOCUMENT_SEQUENCES)
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


def _fleet_text(max_instances, *lines):
    text = FLEET.replace('max_instances: 2', f'max_instances: {max_instances}')
    return '\n'.join([text.rstrip(), *lines, ''])


def _invalid_fields(parsed):
    return {(each.section, each.field) for each in parsed.err_value}


def test_target_size_can_be_written_with_a_subset_per_leaf():
    fleet = _fleet_text(3700, 'instances_per_leaf: 8')
    texts = {'fleet': fleet, 'service.desk': DESK}
    document = parse_document(texts, 1, SectionCache()).unwrap()
    assert document.fleet.max_instances == 3700
    service = document.services_by_name['desk']
    share = document.connections_per_instance(service)
    assert share == service.connections // 8
    assert share * 8 <= service.connections


def test_without_a_subset_all_instances_divide_the_connections():
    document = parse_document(TEXTS, 1, SectionCache()).unwrap()
    service = document.services_by_name['desk']
    assert (
        document.connections_per_instance(service) == service.connections // 2
    )


@pytest.mark.parametrize(
    ('lines', 'refused'),
    [
        # 20 connections for 3,700 instances: less than one for each.
        ((), {('service.desk', 'connections')}),
        (('instances_per_leaf: 21',), {('service.desk', 'connections')}),
        (('instances_per_leaf: 20',), None),
        (('instances_per_leaf: 3701',), {('fleet', 'instances_per_leaf')}),
        (('instances_per_leaf: 0',), {('fleet', 'instances_per_leaf')}),
        (('instances_per_leaf:',), {('fleet', 'instances_per_leaf')}),
    ],
)
def test_share_of_less_than_one_connection_is_refused(lines, refused):
    texts = {'fleet': _fleet_text(3700, *lines), 'service.desk': DESK}
    parsed = parse_document(texts, 1, SectionCache())
    if refused is None:
        assert parsed.is_ok()
    else:
        assert refused <= _invalid_fields(parsed)


def test_fleet_beyond_the_bound_is_refused():
    fleet = _fleet_text(4097, 'instances_per_leaf: 8')
    parsed = parse_document({'fleet': fleet}, 1, SectionCache())
    assert ('fleet', 'max_instances') in _invalid_fields(parsed)


def test_bookings_need_one_write_a_second_for_each_instance():
    # An instance with less than one write a second would refuse most bookings.
    lines = ('instances_per_leaf: 8', 'booking_writes_per_second: 450')
    for instances, is_valid in ((450, True), (451, False)):
        fleet = _fleet_text(instances, *lines)
        texts = {'fleet': fleet, 'service.orders': ORDERS}
        parsed = parse_document(texts, 1, SectionCache())
        assert parsed.is_ok() is is_valid
        if not is_valid:
            assert _invalid_fields(parsed) == {
                ('fleet', 'booking_writes_per_second')
            }
