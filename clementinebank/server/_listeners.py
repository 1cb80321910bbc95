"""HTTP servers of an instance, which count, log and trace its requests."""

import uuid
from typing import Any

import attrs
from eliot import start_action
from result import Err

from clementinebank.errors import Failure
from clementinebank.http import (
    Handler,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    MemoryBudget,
    ServerResources,
)
from clementinebank.metrics import names
from clementinebank.server._observer import read_error
from clementinebank.server._routes import (
    REQUEST_ID_PATTERN,
    Listener,
    RouteMatch,
    failure_response,
    find_route,
)

# Longest wait for an address: a previous process that listens on it frees it
# only at the end of its drain.
BIND_TIMEOUT_S = 60.0
BYTES_PER_MB = 1_000_000
# Lowest HTTP status of a refusal or an error.
MIN_CLIENT_ERROR_STATUS = 400
REQUEST_ID = 'request-id'


def create_listeners(instance: Any) -> dict[Listener, HttpServer]:
    """Return the HTTP server of each listener of an instance.

    Parameters
    ----------
    instance : Instance
        Passed to the route handlers; its settings give the addresses and the
        limits for callers.
    """
    settings = instance.settings
    caller_limits = HttpLimits(
        max_connections=settings.max_caller_connections,
        max_in_flight=settings.max_requests_in_flight,
    )
    resources = ServerResources(
        MemoryBudget(settings.max_client_memory_mb * BYTES_PER_MB)
    )
    addresses = {
        Listener.CALLERS: (settings.callers, caller_limits),
        Listener.OPERATORS: (settings.operators, HttpLimits()),
    }
    return {
        listener: HttpServer(
            address.host,
            address.port,
            _create_handler(instance, listener),
            limits,
            _create_failure_counter(instance, listener),
            BIND_TIMEOUT_S,
            resources,
        )
        for listener, (address, limits) in addresses.items()
    }


def _create_handler(instance: Any, listener: Listener) -> Handler:
    """Return the handler of all requests of a listener.

    It first checks for a pause of the process, so that no request is handled
    with outdated state, and counts each refusal and error by its code.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        instance.loop_monitor.check_pause()
        response = await _respond(instance, listener, request)
        if response.status >= MIN_CLIENT_ERROR_STATUS:
            code = str(read_error(response).get('code', response.status))
            instance.observer.metrics.add(
                names.REFUSALS, listener=listener.value, code=code
            )
        return response

    return handle


async def _respond(
    instance: Any, listener: Listener, request: HttpRequest
) -> HttpResponse:
    """Return the response of the matching route; callers are also traced."""
    found = find_route(listener, request)
    if isinstance(found, Err):
        return failure_response(found.err_value)
    if listener is Listener.CALLERS:
        return await _respond_observed(instance, request, found.ok_value)
    return await found.ok_value.call(instance, request)


async def _respond_observed(
    instance: Any, request: HttpRequest, match: RouteMatch
) -> HttpResponse:
    """Call the route of a caller's request, and log, count and trace it."""
    identified_request, request_id = _assign_request_id(request)
    service = match.variables.get('service', '')
    settings = instance.find_service(service)
    objectives = settings.objectives if settings else None
    with (
        instance.observer.observe(
            request_id, service, objectives
        ) as observation,
        start_action(
            action_type='request', request_id=request_id, service=service
        ) as action,
    ):
        response = await match.call(instance, identified_request)
        observation.response = response
        action.add_success_fields(
            outcome=observation.outcome,
            status=observation.status,
            code=observation.error.get('code'),
        )
    return response


def _assign_request_id(request: HttpRequest) -> tuple[HttpRequest, str]:
    """Return the request with a request id, and the id to log and trace.

    A request without an id gets a new one. An invalid id stays in the
    request, so that the route refuses it, but the request is logged and
    traced under a new id.
    """
    given_id = request.headers.get(REQUEST_ID, '')
    if REQUEST_ID_PATTERN.fullmatch(given_id):
        return request, given_id
    request_id = uuid.uuid4().hex
    if given_id:
        return request, request_id
    headers = {**request.headers, REQUEST_ID: request_id}
    return attrs.evolve(request, headers=headers), request_id


def _create_failure_counter(instance: Any, listener: Listener) -> Any:
    """Return a function that counts the failures of the HTTP server itself.

    These requests, for example malformed ones, never reach the handler.
    """

    def count(failure: Failure) -> None:
        instance.observer.metrics.add(
            names.REFUSALS, listener=listener.value, code=failure.code
        )

    return count
