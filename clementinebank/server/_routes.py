"""Registry of the routes of the listeners."""

import enum
import re
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.errors import Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response

REQUEST_ID_PATTERN = re.compile(r'[A-Za-z0-9_-]{1,64}')

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
    pattern: re.Pattern[str] = attrs.field(init=False)

    @pattern.default
    def _compile_template(self) -> re.Pattern[str]:
        named = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', self.template)
        return re.compile(named)

    def match(self, path: str) -> dict[str, str] | None:
        """Return the variables of a path, or ``None``."""
        found = self.pattern.fullmatch(path)
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


@attrs.frozen
class Match:
    """A route with the variables of a path.

    Parameters
    ----------
    route : Route
        The route.
    variables : dict of str to str
        Texts of the variable segments.
    """

    route: Route
    variables: dict[str, str]

    async def call(self, instance: Any, request: HttpRequest) -> HttpResponse:
        """Pass a request to the handler."""
        return await self.route.handler(instance, request, **self.variables)


def find_route(
    listener: Listener, request: HttpRequest
) -> Result[Match, Failure]:
    """Return the route of a request, or why there is none."""
    matches_by_method = {
        each.method: Match(each, variables)
        for each in ROUTES
        if each.listener is listener
        and (variables := each.match(request.path)) is not None
    }
    found = matches_by_method.get(request.method)
    if found is not None:
        return Ok(found)
    if matches_by_method:
        allowed = ', '.join(sorted(matches_by_method))
        message = f'{request.method} is not one of {allowed}'
        return _no_route('method_not_allowed', message, 'method', 405)
    message = f'no such path: {request.path}'
    return _no_route('unknown_path', message, 'path', 404)


def _no_route(code: str, message: str, field: str, status: int) -> Err[Failure]:
    return Err(Failure(code, message, Step.ACCEPT, field=field, status=status))


def refuse(failure: Failure) -> HttpResponse:
    """Return the response of a failure."""
    return json_response(failure.status, failure.as_json())
