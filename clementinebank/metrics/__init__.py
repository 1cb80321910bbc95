"""Counters, time distributions and per-minute counts of an instance."""

from clementinebank.metrics import _names as names
from clementinebank.metrics._exposition import expose
from clementinebank.metrics._metrics import (
    Distribution,
    Metrics,
    Sample,
    sample,
)
from clementinebank.metrics._names import METRICS_BY_NAME, MetricDescription
from clementinebank.metrics._slots import (
    AnswerFacts,
    MinuteSlot,
    SlotRing,
    read_slot,
)

__all__ = (
    'METRICS_BY_NAME',
    'AnswerFacts',
    'Distribution',
    'MetricDescription',
    'Metrics',
    'MinuteSlot',
    'Sample',
    'SlotRing',
    'expose',
    'names',
    'read_slot',
    'sample',
)
