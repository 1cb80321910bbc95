"""Tests of the burn report.

They guard against a report that shows too little spent budget, and against
one that presents a window as covered although an instance started within the
window or did not answer.
"""

import json
import xml.etree.ElementTree as ElementTree

import attrs
import pytest

from clementinebank.burn import (
    InstanceCounts,
    ServiceCounts,
    burn_data,
    burn_html,
    burn_report,
    burn_text,
    decode_instance_counts,
)
from clementinebank.clock import FakeClock
from clementinebank.document import Objectives
from clementinebank.metrics import RequestFacts, SlotRing

GOALS = Objectives(100, 0.99, 0.999)
HOUR_S = 3600


def _ring_of_requests(clock, minutes, per_minute, bad_per_minute, ring=None):
    """Count the same requests in each minute; the last one is the present."""
    ring = ring or SlotRing()
    clock.advance(-60 * (minutes - 1))
    for minute in range(minutes):
        for number in range(per_minute):
            is_bad = number < bad_per_minute
            facts = RequestFacts(
                is_bad,
                False,
                {'north': 1, 'south': 1},
                {'north': 0, 'south': int(is_bad)},
            )
            ring.record(clock.wall_time(), facts)
        if minute < minutes - 1:
            clock.advance(60)
    return ring


def _instance_record(
    clock, ring, name='entry-0', age_s=7 * HOUR_S, data_centre='kokura'
):
    wall_s = clock.wall_time()
    service = ServiceCounts(GOALS, tuple(ring.slots(wall_s)))
    return InstanceCounts(
        name, data_centre, 3, wall_s - age_s, {'desk': service}
    )


def _latency_burn(report):
    return report.services[0].objectives[0]


def test_constant_burn_is_the_same_in_every_window():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 361, 100, 2)
    report = burn_report([_instance_record(clock, ring)], [], clock.wall_time())
    rates = [burn.rate for burn in _latency_burn(report).burns]
    assert rates == pytest.approx([2] * 4)
    assert _latency_burn(report).budget_left == pytest.approx(-1)
    assert not _latency_burn(report).burning_pairs
    assert not report.uncovered_windows


def test_coverage_and_latency_are_separate():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 10, 10, 5)
    report = burn_report([_instance_record(clock, ring)], [], clock.wall_time())
    latency, coverage = report.services[0].objectives
    assert latency.burns[0].bad == 25
    assert coverage.burns[0].bad == 0
    assert coverage.budget_left == 1


def test_pair_burns_only_if_both_windows_do():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 355, 10, 0)
    clock.advance(60 * 5)
    _ring_of_requests(clock, 5, 10, 10, ring)
    report = burn_report([_instance_record(clock, ring)], [], clock.wall_time())
    short, long = _latency_burn(report).burns[:2]
    assert short.rate == pytest.approx(100)
    assert long.rate == pytest.approx(100 * 5 / 60)
    assert not _latency_burn(report).burning_pairs


def test_lasting_burn_is_reported():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 361, 10, 3)
    report = burn_report([_instance_record(clock, ring)], [], clock.wall_time())
    assert len(_latency_burn(report).burning_pairs) == 2
    assert 'BURNING over 5 min and 1 h' in burn_text(report)


def _uncovered(report):
    return report.uncovered_windows


def test_young_and_unreachable_instances_do_not_cover_windows():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 5, 10, 0)
    records = [
        _instance_record(clock, ring),
        _instance_record(clock, ring, 'entry-1', age_s=HOUR_S / 2 + 1),
    ]
    report = burn_report(records, [], clock.wall_time())
    assert _uncovered(report) == {'1 h': ('entry-1',), '6 h': ('entry-1',)}
    report = burn_report(records, ['10.0.0.1:9002'], clock.wall_time())
    assert len(_uncovered(report)) == 4
    assert '10.0.0.1:9002' in burn_text(report)


def test_coverage_check_catches_ignored_age():
    """Check that without the age no window would be shown as uncovered."""
    clock = FakeClock(100_000)
    young = _instance_record(
        clock, _ring_of_requests(clock, 5, 10, 0), age_s=60
    )
    with_age_ignored = attrs.evolve(young, recording_since=0)
    report = burn_report([with_age_ignored], [], clock.wall_time())
    assert not _uncovered(report)
    assert _uncovered(burn_report([young], [], clock.wall_time()))


def test_worst_data_centre_and_yard():
    clock = FakeClock(100_000)
    records = [
        _instance_record(
            clock,
            _ring_of_requests(clock, 10, 10, 1),
            'a',
            data_centre='kokura',
        ),
        _instance_record(
            clock, _ring_of_requests(clock, 10, 10, 4), 'b', data_centre='uto'
        ),
    ]
    (service,) = burn_report(records, [], clock.wall_time()).services
    assert service.worst_data_centre.name == 'uto'
    assert service.worst_data_centre.bad == 40
    assert service.worst_yard.name == 'south'
    assert service.worst_yard.bad == 50


def test_target_of_one_spends_at_any_bad_request():
    clock = FakeClock(100_000)
    record = _instance_record(clock, _ring_of_requests(clock, 10, 10, 1))
    strict = attrs.evolve(
        record.services_by_name['desk'], objectives=Objectives(100, 1, 1)
    )
    record = attrs.evolve(record, services_by_name={'desk': strict})
    report = burn_report([record], [], clock.wall_time())
    assert len(_latency_burn(report).burning_pairs) == 2
    json.dumps(burn_data(report), allow_nan=False)


def test_ring_forgets_after_six_hours():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 1, 10, 10)
    clock.advance(361 * 60)
    assert not ring.slots(clock.wall_time())
    ring.record(clock.wall_time(), RequestFacts(False, False))
    (slot,) = ring.slots(clock.wall_time())
    assert (slot.total, slot.slow) == (1, 0)


def test_clock_that_was_set_back_keeps_counts():
    clock = FakeClock(100_000)
    ring = _ring_of_requests(clock, 3, 10, 0)
    ring.record(clock.wall_time() - 600, RequestFacts(True, False))
    assert sum(slot.total for slot in ring.slots(clock.wall_time())) == 31


def test_page_is_self_contained_and_escapes_names():
    clock = FakeClock(100_000)
    ring = SlotRing()
    facts = RequestFacts(True, True, {'<yard>': 1}, {'<yard>': 1})
    ring.record(clock.wall_time(), facts)
    record = _instance_record(clock, ring, '<script>', age_s=1)
    page = burn_html(burn_report([record], ['<a:1>'], clock.wall_time()))
    assert '<script>' not in page
    assert '<yard>' not in page
    assert 'http' not in page.replace('http://www.w3.org/2000/svg', '')
    for drawing in page.split('<svg')[1:]:
        ElementTree.fromstring(f'<svg{drawing.split("</svg>")[0]}</svg>')
    assert page.count('<svg') == 2


def test_record_passes_through_json():
    clock = FakeClock(100_000)
    record = _instance_record(clock, _ring_of_requests(clock, 3, 10, 2))
    decoded = decode_instance_counts(
        json.loads(json.dumps(attrs.asdict(record)).replace('_by_name', ''))
    )
    assert decoded.unwrap() == record


@pytest.mark.parametrize('data', [None, [], {'services': {'a': 1}}, {'b': 1}])
def test_invalid_record_is_refused(data):
    assert decode_instance_counts(data).is_err()
