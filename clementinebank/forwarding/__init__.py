"""Forwarding of HTTP requests, unchanged, to the leafs of their route."""

from clementinebank.forwarding._delays import LinkDelays
from clementinebank.forwarding._engine import ExtraLoadLimits, ForwardingEngine
from clementinebank.forwarding._forward import Forward
from clementinebank.forwarding._messages import (
    Answer,
    CallerCodec,
    ForwardRequest,
    GatheredAnswer,
    LeafAnswer,
    LeafCodec,
    LeafLoad,
)
from clementinebank.forwarding._records import merge_greatest

__all__ = (
    'Answer',
    'CallerCodec',
    'ExtraLoadLimits',
    'Forward',
    'ForwardRequest',
    'ForwardingEngine',
    'GatheredAnswer',
    'LeafAnswer',
    'LeafCodec',
    'LeafLoad',
    'LinkDelays',
    'merge_greatest',
)
