"""Registry of the HTTP routes of the callers' and operators' listeners."""

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
    """HTTP listener of an instance, each with routes of its own."""

    CALLERS = 'callers'
    OPERATORS = 'operators'


@attrs.frozen
class Route:
    """HTTP method and path template with the handler that answers them.

    Parameters
    ----------
    listener : Listener
        Listener that serves the route.
    method : str
        HTTP method.
    template : str
        Path with ``{name}`` for variable segments.
    handler : callable
        Coroutine function from the instance, the request and the variable
        segments, passed by keyword, to the response.
    pattern : re.Pattern
        Regular expression compiled from the template.
    """

    listener: Listener
    method: str
    template: str
    handler: RouteHandler
    pattern: re.Pattern[str] = attrs.field(init=False)

    @pattern.default
    def _compile_template(self) -> re.Pattern[str]:
        expression = re.sub(r'\{(\w+)\}', r'(?P<\1>[^/]+)', self.template)
        return re.compile(expression)

    def match(self, path: str) -> dict[str, str] | None:
        """Return the variable segments of a path, ``None`` if it differs."""
        found = self.pattern.fullmatch(path)
        return found.groupdict() if found else None


ROUTES: list[Route] = []


def route(
    listener: Listener, method: str, template: str
) -> Callable[[RouteHandler], RouteHandler]:
    """Return a decorator that registers a handler in ``ROUTES``.

    Parameters
    ----------
    listener : Listener
        Listener that serves the route.
    method : str
        HTTP method.
    template : str
        Path with ``{name}`` for variable segments.
    """

    def register(handler: RouteHandler) -> RouteHandler:
        ROUTES.append(Route(listener, method, template, handler))
        return handler

    return register


@attrs.frozen
class RouteMatch:
    """Route that matches a request, with its variable path segments.

    Parameters
    ----------
    route : Route
        The route.
    variables : dict of str to str
        Text of each variable segment by its name in the template.
    """

    route: Route
    variables: dict[str, str]

    async def call(self, instance: Any, request: HttpRequest) -> HttpResponse:
        """Call the handler of the route and return its response."""
        return await self.route.handler(instance, request, **self.variables)


def find_route(
    listener: Listener, request: HttpRequest
) -> Result[RouteMatch, Failure]:
    """Return the route that matches a request.

    Returns
    -------
    Result
        The route with its variables, or a failure with status 405 if the
        path exists for other methods only and 404 if it does not exist.
    """
    matches_by_method = {
        each.method: RouteMatch(each, variables)
        for each in ROUTES
        if each.listener is listener
        and (variables := each.match(request.path)) is not None
    }
    found = matches_by_method.get(request.method)
    if found is not None:
        return Ok(found)
    if matches_by_method:
        allowed = ', '.join(sorted(matches_by_method))
        message = f'method {request.method} is not one of {allowed}'
        return _route_failure('method_not_allowed', message, 'method', 405)
    message = f'no such path: {request.path}'
    return _route_failure('unknown_path', message, 'path', 404)


def _route_failure(
    code: str, message: str, field: str, status: int
) -> Err[Failure]:
    return Err(Failure(code, message, Step.ACCEPT, field=field, status=status))


def failure_response(failure: Failure) -> HttpResponse:
    """Return the HTTP response that reports a failure."""
    return json_response(failure.status, failure.as_json())
