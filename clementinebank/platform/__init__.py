"""Ports and adapters of the platform's services."""

from clementinebank.platform._key_value import (
    MAX_VALUE_BYTES,
    Entry,
    HttpKeyValueService,
    KeyValueService,
    ListedEntry,
    Page,
)

__all__ = (
    'MAX_VALUE_BYTES',
    'Entry',
    'HttpKeyValueService',
    'KeyValueService',
    'ListedEntry',
    'Page',
)
