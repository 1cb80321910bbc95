"""Encoding, client and listener of the messages between instances."""

from clementinebank.peer._client import PeerClient
from clementinebank.peer._codec import (
    PROTOCOL_VERSION,
    decode_message,
    encode_message,
)
from clementinebank.peer._server import create_peer_server

__all__ = (
    'PROTOCOL_VERSION',
    'PeerClient',
    'create_peer_server',
    'decode_message',
    'encode_message',
)
