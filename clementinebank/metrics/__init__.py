"""Counters, time distributions and per-minute counts of an instance."""

from clementinebank.metrics import _names as names
from clementinebank.metrics._exposition import format_metrics
from clementinebank.metrics._metrics import (
    Distribution,
    Metrics,
    Sample,
    create_sample,
)
from clementinebank.metrics._names import METRICS_BY_NAME, MetricDescription
from clementinebank.metrics._slots import (
    MinuteSlot,
    RequestFacts,
    SlotRing,
    read_slot,
)

__all__ = (
    'METRICS_BY_NAME',
    'RequestFacts',
    'Distribution',
    'MetricDescription',
    'Metrics',
    'MinuteSlot',
    'Sample',
    'SlotRing',
    'format_metrics',
    'names',
    'read_slot',
    'create_sample',
)
