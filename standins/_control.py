"""Control endpoint through which tests inject faults into a stand-in."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import curio

from clementinebank.http import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)

CONTROL_PATH = '/control'


async def serve_with_control(
    host: str,
    port: int,
    handler: Callable[[HttpRequest], Awaitable[HttpResponse]],
    faults: Any,
    on_control: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve a stand-in together with its control endpoint.

    ``POST /control`` sets the fields of ``faults`` that its JSON body names.
    Every request to ``/control`` returns all fields.

    Parameters
    ----------
    host : str
        IP number to listen on.
    port : int
        TCP port to listen on.
    handler : callable
        Answers the requests to all other paths.
    faults : attrs instance
        Faults of the stand-in.
    on_control : callable, optional
        Runs after the fields are set and before the response.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path != CONTROL_PATH:
            return await handler(request)
        if request.method == 'POST':
            for name, field_value in json.loads(request.body).items():
                setattr(faults, name, field_value)
            if on_control is not None:
                await on_control()
        return json_response(200, attrs.asdict(faults))

    await HttpServer(host, port, handle).serve()


async def sleep_ms(delay_ms: float) -> None:
    """Sleep for an injected delay; return at once if it is 0."""
    if delay_ms:
        await curio.sleep(delay_ms / 1000)
