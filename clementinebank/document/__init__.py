"""The operators' document."""

from clementinebank.document._accept import (
    ACCEPT_STEPS,
    AcceptChange,
    ChangeResult,
    Outcome,
)
from clementinebank.document._change import (
    Change,
    SectionConflict,
    merge_change,
    read_change,
    text_digest,
)
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
from clementinebank.document._restore import merge_restored

__all__ = (
    'ACCEPT_STEPS',
    'DOCUMENT_KEY',
    'MAX_HEAD_BYTES',
    'AcceptChange',
    'AcceptedChange',
    'Change',
    'ChangeResult',
    'Document',
    'FleetSettings',
    'GroupSettings',
    'HeadRecord',
    'HeadTooLargeError',
    'LeafSettings',
    'Objectives',
    'Outcome',
    'Section',
    'SectionConflict',
    'ServiceSettings',
    'decode_head',
    'fit_head',
    'merge_change',
    'merge_restored',
    'parse_document',
    'read_change',
    'text_digest',
)
