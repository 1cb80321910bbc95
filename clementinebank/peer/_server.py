"""Listener for the calls of peers."""

from collections.abc import Awaitable, Callable

from clementinebank.distribution import SyncMessage
from clementinebank.peer._codec import decode_message, encode_message
from clementinebank.rpc import RpcServer

SYNC_PATH = '/clementinebank.Peer/Sync'

RequestHandler = Callable[[SyncMessage], Awaitable[SyncMessage]]


def create_peer_server(
    host: str, port: int, handle_request: RequestHandler
) -> RpcServer:
    """Return a listener that answers the messages of peers.

    Parameters
    ----------
    host : str
        IP address to listen on.
    port : int
        TCP port to listen on.
    handle_request : callable
        Coroutine function that gets a message and returns the reply.
    """

    async def answer_encoded(payload: bytes) -> bytes:
        return encode_message(await handle_request(decode_message(payload)))

    return RpcServer(host, port, {SYNC_PATH: answer_encoded})
