"""HTTP/1.1 client and server on curio and h11."""

from clementinebank.http._buffers import BufferLimit
from clementinebank.http._client import (
    HttpConnection,
    HttpProtocolError,
    UnsendableRequestError,
    fetch,
    open_socket,
)
from clementinebank.http._limits import HttpLimits
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    json_request,
    json_response,
)
from clementinebank.http._server import HttpServer
from clementinebank.http._server_connection import (
    Handler,
    ServerConnection,
    ServerState,
)
from clementinebank.http._sockets import is_closed_by_peer
from clementinebank.http._turns import MAX_TURN_S, ReadTurn

__all__ = (
    'MAX_TURN_S',
    'BufferLimit',
    'Handler',
    'HttpConnection',
    'HttpLimits',
    'HttpProtocolError',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'ReadTurn',
    'ServerConnection',
    'ServerState',
    'UnsendableRequestError',
    'fetch',
    'is_closed_by_peer',
    'json_request',
    'json_response',
    'open_socket',
)
