"""Counters and time distributions of one instance."""

import base64
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from clementinebank.clock import now
from clementinebank.metrics._names import METRICS_BY_NAME

MICROSECONDS_PER_MS = 1000
# Longest time that a histogram tells apart: two minutes.
MAX_MICROSECONDS = 120_000_000
# Decimal digits that a histogram keeps of each time. Two digits keep the error
# of a quantile below 1 % and need 20 kB per histogram.
SIGNIFICANT_DIGITS = 2
# Most combinations of label texts that are counted apart for one counter. Some
# label texts come from leafs, so that memory would grow without this bound.
MAX_LABEL_SETS = 500
# Longest label text that is kept; longer ones are cut.
MAX_LABEL_CHARS = 100
# Text of every label that adds up all further combinations.
OTHER_LABEL = 'other'
# Memory of a distribution with its labels, in bytes.
DISTRIBUTION_BYTES = 24_000
# Memory for the distributions if no size is given, in bytes.
MAX_DISTRIBUTION_BYTES = 24_000_000
# A distribution that got no time for so long makes room for a new one.
IDLE_AFTER_S = 600.0

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class Sample:
    """Value of one counter or gauge at the time of reading.

    Parameters
    ----------
    name : str
        Registered name of the metric.
    labels : tuple of pairs
        Label names with their texts, in the order of registration.
    amount : float
        Current value.
    """

    name: str
    labels: Labels
    amount: float


Source = Callable[[], Iterable[Sample]]


@attrs.define
class Distribution:
    """Histogram of times, which can be merged with those of other processes.

    Parameters
    ----------
    histogram : HdrHistogram
        Counts of the times in microseconds.
    sum_ms : float
        Sum of the times in milliseconds.
    """

    histogram: Any = attrs.Factory(
        lambda: HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    )
    sum_ms: float = 0

    @property
    def count(self) -> int:
        """Return how many times were recorded or merged."""
        return int(self.histogram.get_total_count())

    def record_ms(self, milliseconds: float) -> None:
        """Add one time; times above two minutes count as two minutes."""
        microseconds = int(milliseconds * MICROSECONDS_PER_MS)
        limited = max(1, min(microseconds, MAX_MICROSECONDS))
        self.histogram.record_value(limited)
        self.sum_ms += milliseconds

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile of the times in milliseconds.

        Parameters
        ----------
        quantile : float
            Share of the times, between 0 and 1, that are at most the result.
        """
        microseconds = self.histogram.get_value_at_percentile(quantile * 100)
        return float(microseconds) / MICROSECONDS_PER_MS

    def encode(self) -> dict[str, Any]:
        """Return the distribution as JSON data for ``merge``."""
        encoded = base64.b64encode(self.histogram.encode())
        return {'sum_ms': self.sum_ms, 'histogram': encoded.decode('ascii')}

    def merge(self, encoded: dict[str, Any]) -> None:
        """Add the times of a distribution that another process encoded.

        Parameters
        ----------
        encoded : dict
            Result of ``encode``.

        Raises
        ------
        ValueError, KeyError
            If ``encoded`` is not a result of ``encode``.
        """
        raw = base64.b64decode(encoded['histogram'], validate=True)
        try:
            self.histogram.decode_and_add(raw)
        except Exception as error:
            # hdrhistogram raises unrelated types of exceptions for invalid
            # input.
            raise ValueError(f'invalid histogram: {error}') from error
        self.sum_ms += float(encoded['sum_ms'])


@attrs.define(eq=False)
class Metrics:
    """All metrics of one instance.

    Parameters
    ----------
    counters : Counter
        Value of each counter by metric name and labels.
    distributions : dict
        Distribution of each summary by metric name and labels.
    max_distribution_bytes : float
        Largest size of the distributions in memory, in bytes. Beyond it a new
        one replaces one that is idle, or is added up under ``other``.
    """

    counters: Counter[tuple[str, Labels]] = attrs.Factory(Counter)
    distributions: dict[tuple[str, Labels], Distribution] = attrs.Factory(dict)
    max_distribution_bytes: float = MAX_DISTRIBUTION_BYTES
    _sources: list[Source] = attrs.Factory(list)
    _counter_sets_by_name: Counter[str] = attrs.Factory(Counter)
    # Runtime time of the last record of each distribution, oldest first.
    _recorded_at_by_key: dict[tuple[str, Labels], float] = attrs.Factory(dict)

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter.

        A new combination of labels beyond ``MAX_LABEL_SETS`` is counted
        under ``other``.

        Raises
        ------
        ValueError
            If the name or a label is not registered.
        """
        key = _metric_key(name, labels)
        if key not in self.counters:
            if self._counter_sets_by_name[name] >= MAX_LABEL_SETS:
                key = _metric_key(name, dict.fromkeys(labels, OTHER_LABEL))
            self._counter_sets_by_name[name] += key not in self.counters
        self.counters[key] += amount  # type: ignore[assignment]

    def record_ms(self, name: str, milliseconds: float, **labels: str) -> None:
        """Add a time to a distribution.

        Raises
        ------
        ValueError
            If the name or a label is not registered.
        """
        self._distribution_of(name, labels).record_ms(milliseconds)

    def add_source(self, source: Source) -> None:
        """Register a function that yields samples of state kept elsewhere.

        It is called each time the samples are read.
        """
        self._sources.append(source)

    def samples(self) -> list[Sample]:
        """Return samples of all counters and of the registered sources."""
        counter_samples = [
            Sample(name, labels, amount)
            for (name, labels), amount in self.counters.items()
        ]
        return counter_samples + [
            each for source in self._sources for each in source()
        ]

    def encode_distributions(self) -> list[dict[str, Any]]:
        """Return all distributions as JSON data for ``merge_distributions``."""
        return [
            {'name': name, 'labels': dict(labels), **distribution.encode()}
            for (name, labels), distribution in self.distributions.items()
        ]

    def _distribution_of(
        self, name: str, labels: dict[str, str]
    ) -> Distribution:
        """Return the distribution of some labels, or that of all others."""
        key = _metric_key(name, labels)
        if key not in self.distributions and not self._make_room():
            key = _metric_key(name, dict.fromkeys(labels, OTHER_LABEL))
        if key not in self.distributions:
            self.distributions[key] = Distribution()
        self._recorded_at_by_key.pop(key, None)
        self._recorded_at_by_key[key] = now()
        return self.distributions[key]

    def _make_room(self) -> bool:
        """Return whether one more distribution is within the size."""
        idle_before = now() - IDLE_AFTER_S
        while self._recorded_at_by_key and not self._has_room():
            oldest, recorded_at = next(iter(self._recorded_at_by_key.items()))
            if recorded_at > idle_before:
                break
            self._recorded_at_by_key.pop(oldest)
            self.distributions.pop(oldest, None)
        return self._has_room()

    def _has_room(self) -> bool:
        size = (len(self.distributions) + 1) * DISTRIBUTION_BYTES
        return size <= self.max_distribution_bytes

    def merge_distributions(self, encoded: list[dict[str, Any]]) -> None:
        """Add the distributions of another instance.

        Raises
        ------
        ValueError, KeyError
            If ``encoded`` is not a result of ``encode_distributions``.
        """
        for each in encoded:
            # Invalid data must not leave an empty distribution.
            Distribution().merge(each)
            self._distribution_of(each['name'], each['labels']).merge(each)


def create_sample(name: str, amount: float, **labels: str) -> Sample:
    """Return a sample of a registered metric.

    Raises
    ------
    ValueError
        If the name or a label is not registered.
    """
    return Sample(*_metric_key(name, labels), amount)


def _metric_key(name: str, labels: dict[str, str]) -> tuple[str, Labels]:
    """Return the name and the labels in the order of their registration."""
    description = METRICS_BY_NAME.get(name)
    if description is None or set(labels) != set(description.labels):
        raise ValueError(
            f'metric {name} with labels {sorted(labels)} is not registered'
        )
    return name, tuple(
        (label, labels[label][:MAX_LABEL_CHARS]) for label in description.labels
    )
