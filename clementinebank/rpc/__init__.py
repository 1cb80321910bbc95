"""Unary gRPC calls between instances over HTTP/2."""

from clementinebank.rpc._channel import (
    CALL_ERRORS,
    CallDeadlines,
    CallNotAcceptedError,
    RpcChannel,
    failure_from_error,
)
from clementinebank.rpc._connection import (
    MAX_MESSAGE_BYTES,
    RpcConnection,
    RpcProtocolError,
    add_message_prefix,
    strip_message_prefix,
)
from clementinebank.rpc._server import RpcServer

__all__ = (
    'CALL_ERRORS',
    'CallDeadlines',
    'CallNotAcceptedError',
    'MAX_MESSAGE_BYTES',
    'RpcChannel',
    'RpcConnection',
    'RpcProtocolError',
    'RpcServer',
    'failure_from_error',
    'add_message_prefix',
    'strip_message_prefix',
)
