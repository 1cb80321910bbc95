"""HTTP/1.1 client and server on curio and h11."""

from clementinebank.http._client import (
    HttpConnection,
    HttpProtocolError,
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

__all__ = (
    'Handler',
    'HttpConnection',
    'HttpLimits',
    'HttpProtocolError',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'ServerConnection',
    'ServerState',
    'fetch',
    'json_request',
    'json_response',
    'open_socket',
)
