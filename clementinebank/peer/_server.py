"""Listener for the messages of peers."""

from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio
from eliot import log_message
from h2.exceptions import ProtocolError

from clementinebank.distribution import SyncMessage
from clementinebank.errors import Failure, Step
from clementinebank.peer._codec import decode_message, encode_message
from clementinebank.peer._connection import (
    CONTENT_TYPE,
    SYNC_PATH,
    PeerConnection,
    PeerProtocolError,
    ReceivedMessage,
    unframe,
)

BACKLOG = 512
# Clients close connections that they have not used for a shorter time.
IDLE_LIMIT_S = 120.0
SEND_LIMIT_S = 10.0
REPLY_HEADERS = {':status': '200', 'content-type': CONTENT_TYPE}
STATUS_UNIMPLEMENTED = '12'

Answer = Callable[[SyncMessage], Awaitable[SyncMessage]]


@attrs.define(eq=False)
class PeerServer:
    """Listener that passes messages of peers to a handler.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port to listen on.
    answer : callable
        Coroutine function from message to reply.
    """

    host: str
    port: int
    answer: Answer
    messages: int = 0
    refused: int = 0

    async def serve(self) -> None:
        """Accept connections until the task is cancelled."""
        await curio.tcp_server(
            self.host, self.port, self.serve_connection, backlog=BACKLOG
        )

    async def serve_connection(self, sock: Any, peer: Any) -> None:
        """Serve one connection; an error closes only this connection."""
        connection = PeerConnection(sock, is_client=False)
        try:
            await self._serve_messages(connection)
        except (PeerProtocolError, ProtocolError) as error:
            self.refused += 1
            failure = Failure(
                'peer_protocol', str(error), Step.DISTRIBUTE, peer=str(peer)
            )
            log_message(message_type='peer:refused', reason=str(failure))
        except (OSError, curio.TaskTimeout):
            # The peer is gone or silent; it connects again when it needs to.
            return
        finally:
            await connection.close()

    async def _serve_messages(self, connection: PeerConnection) -> None:
        await connection.start()
        while True:
            async with curio.timeout_after(IDLE_LIMIT_S):
                message = await connection.receive()
            if message is None:
                return
            async with curio.timeout_after(SEND_LIMIT_S):
                await self._answer_one(connection, message)

    async def _answer_one(
        self, connection: PeerConnection, message: ReceivedMessage
    ) -> None:
        if message.headers_by_name.get(':path') != SYNC_PATH:
            trailers = {'grpc-status': STATUS_UNIMPLEMENTED}
            await connection.send(
                message.stream_id, REPLY_HEADERS, b'', trailers
            )
            return
        self.messages += 1
        reply = await self.answer(decode_message(unframe(message.body)))
        await connection.send(
            message.stream_id,
            REPLY_HEADERS,
            encode_message(reply),
            {'grpc-status': '0'},
        )
