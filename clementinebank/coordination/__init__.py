"""Interfaces and HTTP clients of the key-value service and instance list."""

from clementinebank.coordination._instance_list import (
    HttpInstanceList,
    InstanceList,
)
from clementinebank.coordination._key_value import (
    MAX_VALUE_BYTES,
    Entry,
    HttpKeyValueService,
    KeyValueService,
    ListedEntry,
    ListingPage,
)

__all__ = (
    'MAX_VALUE_BYTES',
    'Entry',
    'HttpInstanceList',
    'HttpKeyValueService',
    'InstanceList',
    'KeyValueService',
    'ListedEntry',
    'ListingPage',
)
