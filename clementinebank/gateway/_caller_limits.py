"""Limits of the listener for callers."""

from clementinebank.gateway._settings import ResourceLimits
from clementinebank.http import HttpLimits
from clementinebank.routes import CallerLimits

MAX_CALLER_CONNECTIONS = 2048
MAX_REQUESTS_IN_FLIGHT = 1024


def create_caller_limits(
    configured: CallerLimits | None, resources: ResourceLimits
) -> HttpLimits:
    """Return the limits of the listener for callers.

    Parameters
    ----------
    configured : CallerLimits or None
        What the operators' configuration permits callers; ``None`` as long as
        none is known.
    resources : ResourceLimits
        Resources of the machine.
    """
    limits = configured or CallerLimits()
    return HttpLimits(
        max_header_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_s,
        # The pages state no time for a body or an answer.
        body_timeout_s=limits.idle_timeout_s,
        idle_timeout_s=limits.idle_timeout_s,
        send_timeout_s=limits.idle_timeout_s,
        max_connections=min(
            MAX_CALLER_CONNECTIONS, resources.max_caller_connections
        ),
        max_in_flight=MAX_REQUESTS_IN_FLIGHT,
        responds_before_idle_close=False,
        are_provisional=configured is None,
    )
