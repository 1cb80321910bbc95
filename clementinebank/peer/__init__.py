"""Messages between instances and their transport."""

from clementinebank.peer._client import PeerClient
from clementinebank.peer._codec import (
    PROTOCOL_VERSION,
    decode_message,
    encode_message,
)
from clementinebank.peer._connection import (
    MAX_MESSAGE_BYTES,
    PeerProtocolError,
)
from clementinebank.peer._server import PeerServer

__all__ = (
    'MAX_MESSAGE_BYTES',
    'PROTOCOL_VERSION',
    'PeerClient',
    'PeerProtocolError',
    'PeerServer',
    'decode_message',
    'encode_message',
)
