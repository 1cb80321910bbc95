"""Forwarding of HTTP requests, unchanged, to the leafs of their route."""

from clementinebank.forwarding._delays import LinkDelays
from clementinebank.forwarding._engine import ExtraLoadLimits, ForwardingEngine
from clementinebank.forwarding._forward import ForwardStateMachine
from clementinebank.forwarding._messages import (
    Answer,
    CallerCodec,
    ForwardRequest,
    LeafCodec,
    LeafLoad,
    LeafResponse,
    MergedAnswer,
)
from clementinebank.forwarding._records import merge_greatest

__all__ = (
    'Answer',
    'CallerCodec',
    'ExtraLoadLimits',
    'ForwardStateMachine',
    'ForwardRequest',
    'ForwardingEngine',
    'MergedAnswer',
    'LeafResponse',
    'LeafCodec',
    'LeafLoad',
    'LinkDelays',
    'merge_greatest',
)
