"""HTTP/1.1 on curio with h11, both sides."""

from clementinebank.http._client import (
    HttpConnection,
    HttpProtocolError,
    fetch,
)
from clementinebank.http._messages import (
    HttpRequest,
    HttpResponse,
    json_request,
    json_response,
)
from clementinebank.http._server import Handler, HttpServer

__all__ = (
    'Handler',
    'HttpConnection',
    'HttpProtocolError',
    'HttpRequest',
    'HttpResponse',
    'HttpServer',
    'fetch',
    'json_request',
    'json_response',
)
