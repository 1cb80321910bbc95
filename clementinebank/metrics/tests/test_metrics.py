"""Guards against metrics that cannot be read, merged or kept in memory.

Label texts come from leafs: special characters in them could break the lines
of the exposition, and ever new texts could fill the memory. Merging the
distributions of several instances must give the same quantiles as one
distribution of all times.
"""

import re

import curio
import pytest

from clementinebank.clock import FakeClockKernel
from clementinebank.metrics import (
    METRICS_BY_NAME,
    Metrics,
    format_metrics,
    names,
)
from clementinebank.metrics._metrics import (
    DISTRIBUTION_BYTES,
    IDLE_AFTER_S,
    MAX_LABEL_CHARS,
    MAX_LABEL_SETS,
)

LINE = re.compile(r'[a-z_]+(\{([a-z]+="([^"\\\n]|\\.)*",?)+\})? [-0-9.e+]+')


def _create_metrics():
    metrics = Metrics()
    metrics.add(names.LEAF_FAILURES, service='desk', reason='a"b\\c\nd')
    for milliseconds in range(1, 101):
        metrics.record_ms(names.LATENCY, milliseconds, service='desk')
    return metrics


def test_every_line_of_the_exposition_is_well_formed():
    lines = format_metrics(_create_metrics()).splitlines()
    for line in lines:
        assert line.startswith('# ') or LINE.fullmatch(line), line
    assert f'# TYPE {names.LATENCY} summary' in lines
    assert f'{names.LATENCY}_count{{service="desk"}} 100' in lines


def test_merged_distributions_equal_one_of_all_times():
    merged, unsplit = Metrics(), Metrics()
    for instance_number in range(3):
        metrics = Metrics()
        for number in range(100):
            milliseconds = (instance_number + 1) * (number + 1)
            metrics.record_ms(names.LATENCY, milliseconds, service='desk')
            unsplit.record_ms(names.LATENCY, milliseconds, service='desk')
        merged.merge_distributions(metrics.encode_distributions())
    assert format_metrics(merged) == format_metrics(unsplit)


def test_merge_check_catches_a_lost_part():
    """Negative control: each merge loses the distributions before it."""
    merged = Metrics()
    for _ in range(2):
        merged.distributions.clear()
        merged.merge_distributions(_create_metrics().encode_distributions())
    assert merged.distributions[_latency_key()].count == 100


def _latency_key(service='desk'):
    return names.LATENCY, (('service', service),)


@pytest.mark.parametrize('text', ['', 'no base64', 'AAAA'])
def test_invalid_distribution_is_refused(text):
    encoded = _create_metrics().encode_distributions()
    encoded[0]['histogram'] = text
    with pytest.raises(ValueError):
        Metrics().merge_distributions(encoded)


def test_label_texts_from_leafs_do_not_grow_without_bound():
    metrics = Metrics()
    for number in range(3 * MAX_LABEL_SETS):
        metrics.add(names.LEAF_FAILURES, service='desk', reason=str(number))
    assert len(metrics.counters) <= MAX_LABEL_SETS + 1
    assert sum(metrics.counters.values()) == 3 * MAX_LABEL_SETS


def test_unknown_names_and_labels_are_refused():
    with pytest.raises(ValueError):
        Metrics().add('other_total')
    with pytest.raises(ValueError):
        Metrics().add(names.REQUESTS, service='desk')


@pytest.mark.parametrize('description', METRICS_BY_NAME.values())
def test_names_follow_the_conventions(description):
    assert description.name.startswith('clementinebank_')
    assert description.kind in {'counter', 'gauge', 'summary'}
    assert description.name.endswith('_total') == (
        description.kind == 'counter'
    )


def _record_routes(metrics, numbers):
    for number in numbers:
        metrics.record_ms(names.LATENCY, 7, service=f'route-{number}')


def test_distributions_are_bounded_in_bytes():
    """Fault: each route name ever served kept 22 kB for ever."""

    async def run():
        metrics = Metrics(max_distribution_bytes=10 * DISTRIBUTION_BYTES)
        _record_routes(metrics, range(30))
        assert len(metrics.distributions) <= 11
        other = metrics.distributions[_latency_key('other')]
        assert other.count == 20
        await curio.sleep(IDLE_AFTER_S / 2)
        _record_routes(metrics, [0])
        await curio.sleep(IDLE_AFTER_S / 2)
        _record_routes(metrics, [30])
        return metrics

    with FakeClockKernel() as kernel:
        metrics = kernel.run(run)
    # A new route takes the place of one that is no longer served.
    assert metrics.distributions[_latency_key('route-30')].count == 1
    assert metrics.distributions[_latency_key('route-0')].count == 2
    assert _latency_key('route-1') not in metrics.distributions


def test_long_label_texts_are_cut():
    metrics = Metrics()
    metrics.add(names.LEAF_FAILURES, service='a' * 10_000, reason='b')
    [(_, labels)] = metrics.counters
    assert len(labels[0][1]) == MAX_LABEL_CHARS
