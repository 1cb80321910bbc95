"""Listeners for the platform: readiness checks and metrics."""

from collections.abc import Awaitable, Callable

import attrs

from clementinebank.http import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from clementinebank.metrics import Metrics, format_metrics
from clementinebank.validation import Address

OK = 200
UNAVAILABLE = 503
EXPOSITION_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'
# Connections of each listener.
MAX_CONNECTIONS = 32

Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


@attrs.define(eq=False)
class PlatformListeners:
    """Servers that the platform asks for readiness and metrics.

    Parameters
    ----------
    is_ready : callable
        Returns whether the load balancer may send requests.
    metrics : Metrics
        Metrics of the instance.
    bind_timeout_s : float
        Time for which binding to a port in use is retried, in seconds.
    """

    is_ready: Callable[[], bool]
    metrics: Metrics
    bind_timeout_s: float

    def create_readiness(self, address: Address) -> HttpServer:
        """Return the server that answers readiness checks."""
        return self._create(address, self._on_readiness)

    def create_metrics(self, address: Address) -> HttpServer:
        """Return the server that answers reads of the metrics."""
        return self._create(address, self._on_metrics)

    async def _on_readiness(self, message: HttpRequest) -> HttpResponse:
        return HttpResponse(OK if self.is_ready() else UNAVAILABLE)

    async def _on_metrics(self, message: HttpRequest) -> HttpResponse:
        body = format_metrics(self.metrics).encode()
        headers = {'content-type': EXPOSITION_CONTENT_TYPE}
        return HttpResponse(OK, headers, body)

    def _create(self, address: Address, handler: Handler) -> HttpServer:
        return HttpServer(
            address.host,
            address.port,
            handler,
            HttpLimits(max_connections=MAX_CONNECTIONS),
            bind_timeout_s=self.bind_timeout_s,
        )
