"""Histograms, counters, their exposition and the burn report."""

from clementinebank.metrics import _names as names
from clementinebank.metrics._burn import BurnReport, burn_report
from clementinebank.metrics._burn_html import burn_html
from clementinebank.metrics._burn_records import (
    InstanceRecord,
    ServiceRecord,
    decode_instance_record,
)
from clementinebank.metrics._burn_text import burn_data, burn_text
from clementinebank.metrics._burn_windows import WINDOW_PAIRS
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
    'WINDOW_PAIRS',
    'AnswerFacts',
    'BurnReport',
    'Distribution',
    'InstanceRecord',
    'MetricDescription',
    'Metrics',
    'MinuteSlot',
    'Sample',
    'ServiceRecord',
    'SlotRing',
    'burn_data',
    'burn_html',
    'burn_report',
    'burn_text',
    'decode_instance_record',
    'expose',
    'names',
    'read_slot',
    'sample',
)
