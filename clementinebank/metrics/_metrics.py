"""Counters and histograms of one instance."""

import base64
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from clementinebank.metrics._names import METRICS_BY_NAME

MICROSECONDS_PER_MS = 1000
MAX_MICROSECONDS = 120_000_000
# Two digits keep the error of a quantile below 1 % at 20 kB per histogram.
SIGNIFICANT_DIGITS = 2
# Some label texts come from leafs. Beyond this number of label sets of one
# name further ones are counted together, so that memory stays bounded.
MAX_LABEL_SETS = 500
OTHER = 'other'

Labels = tuple[tuple[str, str], ...]


@attrs.frozen
class Sample:
    """Value of one counter or gauge.

    Parameters
    ----------
    name : str
        Registered name.
    labels : tuple of pairs
        Label names with their texts.
    amount : float
        Current value.
    """

    name: str
    labels: Labels
    amount: float


Source = Callable[[], Iterable[Sample]]


@attrs.define
class Distribution:
    """Times in a histogram that can be merged with others."""

    histogram: Any = attrs.Factory(
        lambda: HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)
    )
    sum_ms: float = 0

    @property
    def count(self) -> int:
        """Return the number of times."""
        return int(self.histogram.get_total_count())

    def record_ms(self, milliseconds: float) -> None:
        """Add one time; longer ones than two minutes count as that."""
        microseconds = int(milliseconds * MICROSECONDS_PER_MS)
        clipped = max(1, min(microseconds, MAX_MICROSECONDS))
        self.histogram.record_value(clipped)
        self.sum_ms += milliseconds

    def quantile_ms(self, quantile: float) -> float:
        """Return a quantile between 0 and 1 in milliseconds."""
        microseconds = self.histogram.get_value_at_percentile(quantile * 100)
        return float(microseconds) / MICROSECONDS_PER_MS

    def encode(self) -> dict[str, Any]:
        """Return the content for another process."""
        encoded = base64.b64encode(self.histogram.encode())
        return {'sum_ms': self.sum_ms, 'histogram': encoded.decode('ascii')}

    def merge(self, encoded: dict[str, Any]) -> None:
        """Add the content of another process.

        Raises
        ------
        ValueError, KeyError
            If the content is not that of ``encode``.
        """
        raw = base64.b64decode(encoded['histogram'], validate=True)
        try:
            self.histogram.decode_and_add(raw)
        except Exception as error:
            # hdrhistogram raises several unrelated types here.
            raise ValueError(f'invalid histogram: {error}') from error
        self.sum_ms += float(encoded['sum_ms'])


@attrs.define(eq=False)
class Metrics:
    """All metrics of one instance."""

    counters: Counter[tuple[str, Labels]] = attrs.Factory(Counter)
    distributions: dict[tuple[str, Labels], Distribution] = attrs.Factory(dict)
    _sources: list[Source] = attrs.Factory(list)

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Increase a counter.

        Raises
        ------
        ValueError
            If the name or a label is not registered.
        """
        key = _key(name, labels)
        if key not in self.counters and self._is_full(name):
            key = _key(name, dict.fromkeys(labels, OTHER))
        self.counters[key] += amount  # type: ignore[assignment]

    def record_ms(self, name: str, milliseconds: float, **labels: str) -> None:
        """Add a time to a distribution."""
        key = _key(name, labels)
        if key not in self.distributions:
            self.distributions[key] = Distribution()
        self.distributions[key].record_ms(milliseconds)

    def add_source(self, source: Source) -> None:
        """Register what yields samples of state kept elsewhere."""
        self._sources.append(source)

    def samples(self) -> list[Sample]:
        """Return all counters and the samples of the sources."""
        own = [
            Sample(name, labels, amount)
            for (name, labels), amount in self.counters.items()
        ]
        return own + [each for source in self._sources for each in source()]

    def encode_distributions(self) -> list[dict[str, Any]]:
        """Return all distributions for another process."""
        return [
            {'name': name, 'labels': dict(labels), **distribution.encode()}
            for (name, labels), distribution in self.distributions.items()
        ]

    def _is_full(self, name: str) -> bool:
        return sum(key[0] == name for key in self.counters) >= MAX_LABEL_SETS

    def merge_distributions(self, encoded: list[dict[str, Any]]) -> None:
        """Add the distributions of another instance.

        Raises
        ------
        ValueError, KeyError
            If the content is not that of ``encode_distributions``.
        """
        for each in encoded:
            key = _key(each['name'], each['labels'])
            distribution = self.distributions.get(key) or Distribution()
            distribution.merge(each)
            self.distributions[key] = distribution


def sample(name: str, amount: float, **labels: str) -> Sample:
    """Return a sample of a registered metric."""
    return Sample(*_key(name, labels), amount)


def _key(name: str, labels: dict[str, str]) -> tuple[str, Labels]:
    description = METRICS_BY_NAME.get(name)
    if description is None or set(labels) != set(description.labels):
        raise ValueError(f'{name} with labels {sorted(labels)} is unknown')
    return name, tuple((label, labels[label]) for label in description.labels)
