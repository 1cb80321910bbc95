"""Registry of the routes of the listeners."""

import enum
import re
from collections.abc import Awaitable, Callable
from typing import Any

import attrs

from clementinebank.errors import Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response

RouteHandler = Callable[..., Awaitable[HttpResponse]]


class Listener(enum.Enum):
    """Listener on which a route is served."""

    CALLERS = 'callers'
    OPERATORS = 'operators'


@attrs.frozen
class Route:
    """One route.

    Parameters
    ----------
    listener : Listener
        Listener that serves it.
    method : str
        HTTP method.
    template : str
        Path with ``{name}`` for variable segments.
    handler : callable
        Coroutine function of the instance, the request and the variables.
    """

    listener: Listener
    method: str
    template: str
    handler: RouteHandler

    def match(self, path: str) -> dict[str, str] | None:
        """Return the variables of a path, or ``None``."""
        pattern = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', self.template)
        found = re.fullmatch(pattern, path)
        return found.groupdict() if found else None


ROUTES: list[Route] = []


def route(
    listener: Listener, method: str, template: str
) -> Callable[[RouteHandler], RouteHandler]:
    """Register a handler for a method and a path."""

    def register(handler: RouteHandler) -> RouteHandler:
        ROUTES.append(Route(listener, method, template, handler))
        return handler

    return register


async def dispatch(
    instance: Any, listener: Listener, request: HttpRequest
) -> HttpResponse:
    """Pass a request to its route, or refuse it."""
    routes_by_method = {
        each.method: each
        for each in ROUTES
        if each.listener is listener and each.match(request.path) is not None
    }
    found = routes_by_method.get(request.method)
    if found is not None:
        variables = found.match(request.path) or {}
        return await found.handler(instance, request, **variables)
    if routes_by_method:
        allowed = ', '.join(sorted(routes_by_method))
        return refuse(
            Failure(
                'method_not_allowed',
                f'{request.method} is not one of {allowed}',
                Step.ACCEPT,
                field='method',
                status=405,
            )
        )
    return refuse(
        Failure(
            'unknown_path',
            f'no such path: {request.path}',
            Step.ACCEPT,
            field='path',
            status=404,
        )
    )


def refuse(failure: Failure) -> HttpResponse:
    """Return the response of a failure."""
    return json_response(failure.status, failure.as_json())
