"""The operators' document."""

from clementinebank.document._decode import decode_head
from clementinebank.document._head import (
    DOCUMENT_KEY,
    MAX_HEAD_BYTES,
    AcceptedChange,
    HeadRecord,
    HeadTooLargeError,
    Section,
    fit_head,
)
from clementinebank.document._model import (
    Document,
    FleetSettings,
    GroupSettings,
    LeafSettings,
    Objectives,
    ServiceSettings,
)
from clementinebank.document._parse import parse_document

__all__ = (
    'DOCUMENT_KEY',
    'MAX_HEAD_BYTES',
    'AcceptedChange',
    'Document',
    'FleetSettings',
    'GroupSettings',
    'HeadRecord',
    'HeadTooLargeError',
    'LeafSettings',
    'Objectives',
    'Section',
    'ServiceSettings',
    'decode_head',
    'fit_head',
    'parse_document',
)
