"""Listeners of an instance."""

from typing import Any

from clementinebank.errors import Failure
from clementinebank.http import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from clementinebank.metrics import names
from clementinebank.server._routes import Listener, dispatch

# A predecessor on the same address frees it at the end of its drain.
BIND_TIMEOUT_S = 60.0


def create_listeners(instance: Any) -> dict[Listener, HttpServer]:
    """Return the servers of the callers and the operators.

    Parameters
    ----------
    instance : Instance
        Handles the requests.
    """
    settings = instance.settings
    caller_limits = HttpLimits(
        max_connections=settings.max_caller_connections,
        max_in_flight=settings.max_requests_in_flight,
    )
    addresses = {
        Listener.CALLERS: (settings.callers, caller_limits),
        Listener.OPERATORS: (settings.operators, HttpLimits()),
    }
    return {
        listener: HttpServer(
            address.host,
            address.port,
            _handler(instance, listener),
            limits,
            _failure_counter(instance, listener),
            BIND_TIMEOUT_S,
        )
        for listener, (address, limits) in addresses.items()
    }


def _handler(instance: Any, listener: Listener) -> Handler:
    async def handle(request: HttpRequest) -> HttpResponse:
        instance.loop_monitor.check()
        return await dispatch(instance, listener, request)

    return handle


def _failure_counter(instance: Any, listener: Listener) -> Any:
    def count(failure: Failure) -> None:
        instance.observer.metrics.add(
            names.REFUSALS, listener=listener.value, code=failure.code
        )

    return count
