"""Report on how fast services spend the error budgets of objectives."""

from clementinebank.burn._html import burn_html
from clementinebank.burn._records import (
    InstanceCounts,
    ServiceCounts,
    decode_instance_counts,
)
from clementinebank.burn._report import BurnReport, burn_report
from clementinebank.burn._text import burn_data, burn_text
from clementinebank.burn._windows import WINDOW_PAIRS

__all__ = (
    'WINDOW_PAIRS',
    'BurnReport',
    'InstanceCounts',
    'ServiceCounts',
    'burn_data',
    'burn_html',
    'burn_report',
    'burn_text',
    'decode_instance_counts',
)
