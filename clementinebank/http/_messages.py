"""HTTP requests and responses as immutable values."""

import json
from typing import Any

import attrs

JSON_CONTENT_TYPE = 'application/json'


@attrs.frozen
class HttpRequest:
    """One HTTP request.

    Parameters
    ----------
    method : str
        Method in upper case, such as ``GET``.
    target : str
        Path and query string.
    headers : dict of str to str
        Header values by lower-case name.
    body : bytes
        Complete body.
    """

    method: str
    target: str
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b''

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> str:
        """Return the query string without the question mark."""
        return self.target.partition('?')[2]


@attrs.frozen
class HttpResponse:
    """One HTTP response.

    Parameters
    ----------
    status : int
        Status code.
    headers : dict of str to str
        Header values by lower-case name.
    body : bytes
        Complete body.
    """

    status: int
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b''


def json_request(
    method: str,
    target: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
) -> HttpRequest:
    """Return a request with a JSON body, or without one if it is ``None``."""
    payload = b'' if body is None else json.dumps(body).encode()
    return HttpRequest(
        method,
        target,
        {'content-type': JSON_CONTENT_TYPE, **(headers or {})},
        payload,
    )


def json_response(
    status: int, body: Any, headers: dict[str, str] | None = None
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(
        status,
        {'content-type': JSON_CONTENT_TYPE, **(headers or {})},
        json.dumps(body).encode(),
    )
