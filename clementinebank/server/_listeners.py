"""Listeners of an instance."""

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
)
from clementinebank.metrics import names
from clementinebank.server._observer import error_of
from clementinebank.server._routes import (
    REQUEST_ID_PATTERN,
    Listener,
    Match,
    find_route,
    refuse,
)

# A predecessor on the same address frees it at the end of its drain.
BIND_TIMEOUT_S = 60.0
CLIENT_ERROR = 400
REQUEST_ID = 'request-id'


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
        response = await _respond(instance, listener, request)
        if response.status >= CLIENT_ERROR:
            code = str(error_of(response).get('code', response.status))
            instance.observer.metrics.add(
                names.REFUSALS, listener=listener.value, code=code
            )
        return response

    return handle


async def _respond(
    instance: Any, listener: Listener, request: HttpRequest
) -> HttpResponse:
    found = find_route(listener, request)
    if isinstance(found, Err):
        return refuse(found.err_value)
    if listener is Listener.CALLERS:
        return await _respond_observed(instance, request, found.ok_value)
    return await found.ok_value.call(instance, request)


async def _respond_observed(
    instance: Any, request: HttpRequest, match: Match
) -> HttpResponse:
    """Respond under one action of the log and one observation."""
    identified, request_id = _identify(request)
    service = match.variables.get('service', '')
    settings = instance.service(service)
    objectives = settings.objectives if settings else None
    with (
        instance.observer.observe(request_id, service, objectives) as seen,
        start_action(
            action_type='request', request_id=request_id, service=service
        ) as action,
    ):
        response = await match.call(instance, identified)
        seen.response = response
        action.add_success_fields(
            outcome=seen.outcome,
            status=seen.status,
            code=seen.error.get('code'),
        )
    return response


def _identify(request: HttpRequest) -> tuple[HttpRequest, str]:
    """Return the request with an id, and the id under which it is traced.

    An id that is not valid stays in the request, which the route refuses,
    but is neither logged nor traced.
    """
    given = request.headers.get(REQUEST_ID, '')
    if REQUEST_ID_PATTERN.fullmatch(given):
        return request, given
    request_id = uuid.uuid4().hex
    if given:
        return request, request_id
    headers = {**request.headers, REQUEST_ID: request_id}
    return attrs.evolve(request, headers=headers), request_id


def _failure_counter(instance: Any, listener: Listener) -> Any:
    def count(failure: Failure) -> None:
        instance.observer.metrics.add(
            names.REFUSALS, listener=listener.value, code=failure.code
        )

    return count
