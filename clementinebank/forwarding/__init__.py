"""Forwarding of HTTP requests, unchanged, to the leafs of their route."""

from clementinebank.forwarding._delays import LinkDelays
from clementinebank.forwarding._engine import (
    ExtraLoadLimits,
    ForwardingEngine,
    OnRequestEnd,
)
from clementinebank.forwarding._forward import (
    CALLER_RESERVE_S,
    ForwardStateMachine,
)
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
from clementinebank.forwarding._shares import FleetShares

__all__ = (
    'CALLER_RESERVE_S',
    'Answer',
    'CallerCodec',
    'ExtraLoadLimits',
    'FleetShares',
    'ForwardStateMachine',
    'ForwardRequest',
    'ForwardingEngine',
    'MergedAnswer',
    'LeafResponse',
    'LeafCodec',
    'LeafLoad',
    'LinkDelays',
    'OnRequestEnd',
    'merge_greatest',
)
