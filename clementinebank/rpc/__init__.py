"""Unary gRPC calls between instances over HTTP/2."""

from clementinebank.rpc._channel import CallError, RpcChannel, failure_of
from clementinebank.rpc._connection import (
    MAX_MESSAGE_BYTES,
    RpcConnection,
    RpcProtocolError,
    frame,
    unframe,
)
from clementinebank.rpc._server import RpcServer

__all__ = (
    'CallError',
    'MAX_MESSAGE_BYTES',
    'RpcChannel',
    'RpcConnection',
    'RpcProtocolError',
    'RpcServer',
    'failure_of',
    'frame',
    'unframe',
)
