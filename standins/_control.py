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
    """Serve a handler; ``POST /control`` sets fields of ``faults``.

    ``on_control`` runs after the fields are set and before the answer.
    """

    async def handle(request: HttpRequest) -> HttpResponse:
        if request.path != CONTROL_PATH:
            return await handler(request)
        if request.method == 'POST':
            for name, setting in json.loads(request.body).items():
                setattr(faults, name, setting)
            if on_control is not None:
                await on_control()
        return json_response(200, attrs.asdict(faults))

    await HttpServer(host, port, handle).serve()


async def pause(delay_ms: float) -> None:
    """Wait for an injected delay."""
    if delay_ms:
        await curio.sleep(delay_ms / 1000)
