"""HTTP requests and responses as immutable values."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

JSON_CONTENT_TYPE = 'application/json'
HEADER_ENCODING = 'latin-1'
SET_COOKIE = 'set-cookie'
# Between the texts of a header that occurs more than once. Cookies can't be
# joined by commas (RFC 9110, section 5.3), and no header holds a line feed.
LIST_SEPARATOR = ', '
COOKIE_SEPARATOR = '\n'
NO_NAMES: frozenset[str] = frozenset()

RawHeaders = list[tuple[bytes, bytes]]


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
        Header values by lower-case name, one character for each byte
        (Latin-1); those of a repeated header are joined.
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
        Header values by lower-case name, one character for each byte
        (Latin-1); those of a repeated header are joined.
    body : bytes
        Complete body.
    repeated : frozenset of str
        Names of the headers that were received more than once.
    """

    status: int
    headers: dict[str, str] = attrs.Factory(dict)
    body: bytes = b''
    repeated: frozenset[str] = NO_NAMES


def decode_headers(
    raw_headers: Iterable[tuple[bytes, bytes]],
) -> tuple[dict[str, str], frozenset[str]]:
    """Return received headers and the names that occur more than once."""
    headers: dict[str, str] = {}
    repeated = set()
    for raw_name, raw_text in raw_headers:
        name = raw_name.decode(HEADER_ENCODING).lower()
        text = raw_text.decode(HEADER_ENCODING)
        if name in headers:
            repeated.add(name)
            is_cookie = name == SET_COOKIE
            separator = COOKIE_SEPARATOR if is_cookie else LIST_SEPARATOR
            text = f'{headers[name]}{separator}{text}'
        headers[name] = text
    return headers, frozenset(repeated) if repeated else NO_NAMES


def encode_headers(headers: dict[str, str]) -> RawHeaders:
    """Return the bytes of headers as they are sent.

    Raises
    ------
    UnicodeEncodeError
        If a text has a character that is no byte.
    """
    raw_headers = [
        (name.encode(HEADER_ENCODING), text.encode(HEADER_ENCODING))
        for name, text in headers.items()
        if name != SET_COOKIE
    ]
    if SET_COOKIE in headers:
        raw_headers.extend(
            (SET_COOKIE.encode(), cookie.encode(HEADER_ENCODING))
            for cookie in headers[SET_COOKIE].split(COOKIE_SEPARATOR)
        )
    return raw_headers


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
