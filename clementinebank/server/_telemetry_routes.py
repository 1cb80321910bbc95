"""Operators' routes for metrics, request traces and burn report counts."""

from typing import Any

import attrs

from clementinebank.clock import wall_time
from clementinebank.errors import Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response
from clementinebank.metrics import format_metrics
from clementinebank.server._instance import Instance
from clementinebank.server._routes import Listener, failure_response, route

EXPOSITION_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8'


@route(Listener.OPERATORS, 'GET', '/metrics')
async def metrics(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return all metrics in the text exposition format."""
    body = format_metrics(instance.observer.metrics).encode()
    return HttpResponse(200, {'content-type': EXPOSITION_CONTENT_TYPE}, body)


@route(Listener.OPERATORS, 'GET', '/v1/metrics/distributions')
async def distributions(
    instance: Instance, request: HttpRequest
) -> HttpResponse:
    """Return the encoded distributions, which other processes can merge."""
    encoded = instance.observer.metrics.encode_distributions()
    return json_response(200, {**_identity(instance), 'distributions': encoded})


@route(Listener.OPERATORS, 'GET', '/v1/requests/{request_id}')
async def trace(
    instance: Instance, request: HttpRequest, request_id: str
) -> HttpResponse:
    """Return the traces of one request id, oldest first."""
    found = instance.observer.traces.find(request_id)
    if not found:
        limit = instance.observer.traces.limit
        return failure_response(
            Failure(
                'unknown_request',
                f'not among the last {limit} requests of this instance',
                Step.READ,
                field='request_id',
                status=404,
            )
        )
    traces = [each.as_json() for each in found]
    return json_response(200, {**_identity(instance), 'traces': traces})


@route(Listener.OPERATORS, 'GET', '/v1/burn')
async def burn(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return the objectives and the per-minute counts of each service."""
    wall_s = wall_time()
    document = instance.document
    services = document.services_by_name if document else {}
    rings = instance.observer.slot_rings_by_service
    return json_response(
        200,
        {
            **_identity(instance),
            'revision': instance.document_revision,
            'recording_since': instance.observer.recording_since,
            'wall_time': wall_s,
            'services': {
                name: {
                    'objectives': attrs.asdict(service.objectives),
                    'slots': [
                        slot.as_json()
                        for slot in (
                            rings[name].slots(wall_s) if name in rings else ()
                        )
                    ],
                }
                for name, service in services.items()
            },
        },
    )


def _identity(instance: Instance) -> dict[str, Any]:
    """Return the fields that name the instance in a response."""
    return {
        'instance_id': instance.settings.instance_id,
        'data_centre': instance.settings.data_centre,
    }
