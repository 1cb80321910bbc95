"""The operators' document: its content, its changes and their acceptance.

The document consists of named YAML sections. The accepted sections and the
recent changes are stored as one head record in the key-value service.
"""

from clementinebank.document._accept import ACCEPT_STEPS, AcceptChange
from clementinebank.document._change import (
    Change,
    SectionConflict,
    merge_change,
    read_change,
    text_digest,
)
from clementinebank.document._decode import decode_head
from clementinebank.document._file import (
    DocumentFile,
    FileBase,
    FileSection,
    parse_file,
    render_file,
    set_base_line,
)
from clementinebank.document._head import (
    DOCUMENT_KEY,
    MAX_HEAD_BYTES,
    AcceptedChange,
    HeadRecord,
    HeadTooLargeError,
    Section,
    trim_history,
)
from clementinebank.document._model import (
    Document,
    FleetSettings,
    GroupSettings,
    LeafEndpoint,
    Objectives,
    ServiceSettings,
)
from clementinebank.document._parse import parse_document
from clementinebank.document._restore import merge_restored
from clementinebank.document._result import ChangeResult, Outcome

__all__ = (
    'ACCEPT_STEPS',
    'DOCUMENT_KEY',
    'MAX_HEAD_BYTES',
    'AcceptChange',
    'AcceptedChange',
    'Change',
    'ChangeResult',
    'Document',
    'DocumentFile',
    'FileBase',
    'FileSection',
    'FleetSettings',
    'GroupSettings',
    'HeadRecord',
    'HeadTooLargeError',
    'LeafEndpoint',
    'Objectives',
    'Outcome',
    'Section',
    'SectionConflict',
    'ServiceSettings',
    'decode_head',
    'trim_history',
    'merge_change',
    'merge_restored',
    'parse_document',
    'parse_file',
    'read_change',
    'set_base_line',
    'render_file',
    'text_digest',
)
