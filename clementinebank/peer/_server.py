"""Listener for the messages of peers."""

from collections.abc import Awaitable, Callable

from clementinebank.distribution import SyncMessage
from clementinebank.peer._codec import decode_message, encode_message
from clementinebank.rpc import RpcServer

SYNC_PATH = '/clementinebank.Peer/Sync'

Answer = Callable[[SyncMessage], Awaitable[SyncMessage]]


def create_peer_server(host: str, port: int, answer: Answer) -> RpcServer:
    """Return a listener that passes messages of peers to a handler.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port to listen on.
    answer : callable
        Coroutine function from message to reply.
    """

    async def answer_encoded(payload: bytes) -> bytes:
        return encode_message(await answer(decode_message(payload)))

    return RpcServer(host, port, {SYNC_PATH: answer_encoded})
