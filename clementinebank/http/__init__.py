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
from clementinebank.http._memory import Holding, MemoryBudget, MemoryPart
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    json_request,
    json_response,
)
from clementinebank.http._resources import ServerResources
from clementinebank.http._samples import read_resource_samples
from clementinebank.http._server import HttpServer
from clementinebank.http._server_connection import (
    Handler,
    ServerConnection,
    ServerState,
)
from clementinebank.http._shared_socket import SharedSocket, listen
from clementinebank.http._sockets import is_closed_by_peer, shut_down_socket
from clementinebank.http._turns import MAX_TURN_S, HeavyLane, ReadTurn

__all__ = (
    'MAX_TURN_S',
    'BufferLimit',
    'Handler',
    'HeavyLane',
    'Holding',
    'HttpConnection',
    'HttpLimits',
    'HttpProtocolError',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'MemoryBudget',
    'MemoryPart',
    'ReadTurn',
    'ServerConnection',
    'ServerResources',
    'ServerState',
    'SharedSocket',
    'UnsendableRequestError',
    'fetch',
    'is_closed_by_peer',
    'json_request',
    'json_response',
    'listen',
    'open_socket',
    'read_resource_samples',
    'shut_down_socket',
)
