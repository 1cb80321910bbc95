"""Limits of an HTTP server."""

import attrs

BYTES_PER_KIB = 1024


@attrs.frozen
class HttpLimits:
    """Sizes, times and counts that an HTTP server accepts from clients.

    Parameters
    ----------
    max_header_bytes : int
        Largest size of the request line and headers together, in bytes.
    max_body_bytes : int
        Largest body of a request, in bytes.
    header_timeout_s, body_timeout_s : float
        Longest time from the first byte of a request to the end of its
        headers, and from there to the end of its body, in seconds.
    idle_timeout_s : float
        Longest time without a request on an open connection, in seconds.
    send_timeout_s : float
        Longest time in which a client takes no byte of its response, in
        seconds.
    linger_s : float
        Longest time for which a connection that the server closes still
        reads and discards input, in seconds.
    max_connections : int
        Largest number of open connections.
    max_in_flight : int
        Largest number of requests in the handler.
    responds_before_idle_close : bool
        Whether the server sends a 408 response before it closes an idle
        connection.
    are_provisional : bool
        Whether the limits in force aren't known yet. A request that exceeds
        these is then refused as unavailable, not as too large.
    """

    max_header_bytes: int = 16 * BYTES_PER_KIB
    max_body_bytes: int = 2 * BYTES_PER_KIB * BYTES_PER_KIB
    header_timeout_s: float = 5
    body_timeout_s: float = 10
    idle_timeout_s: float = 75
    send_timeout_s: float = 10
    linger_s: float = 1
    max_connections: int = 2048
    max_in_flight: int = 1024
    responds_before_idle_close: bool = True
    are_provisional: bool = False
