"""Limits of an HTTP server."""

import attrs

KIBIBYTE = 1024


@attrs.frozen
class HttpLimits:
    """What a server accepts from the other side.

    Parameters
    ----------
    max_header_bytes : int
        Largest request line with headers, in bytes.
    max_body_bytes : int
        Largest body of a request, in bytes.
    header_timeout_s, body_timeout_s : float
        Longest time from the first byte of a request to the end of its
        headers, and from there to the end of its body, in seconds.
    idle_timeout_s : float
        Longest time without a request on an open connection, in seconds.
    send_timeout_s : float
        Longest time in which the other side takes a response, in seconds.
    linger_s : float
        Time in which a closing connection still reads, in seconds.
    max_connections : int
        Connections open at the same time.
    max_in_flight : int
        Requests in the handler at the same time.
    announces_idle_close : bool
        Whether an idle connection gets a response that tells why it ends.
    """

    max_header_bytes: int = 16 * KIBIBYTE
    max_body_bytes: int = 2 * KIBIBYTE * KIBIBYTE
    header_timeout_s: float = 5
    body_timeout_s: float = 10
    idle_timeout_s: float = 75
    send_timeout_s: float = 10
    linger_s: float = 1
    max_connections: int = 2048
    max_in_flight: int = 1024
    announces_idle_close: bool = True
