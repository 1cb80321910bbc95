"""The operators' document."""

from clementinebank.document._head import (
    DOCUMENT_KEY,
    HeadRecord,
    Section,
    decode_head,
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
    'Document',
    'FleetSettings',
    'GroupSettings',
    'HeadRecord',
    'LeafSettings',
    'Objectives',
    'Section',
    'ServiceSettings',
    'decode_head',
    'parse_document',
)
