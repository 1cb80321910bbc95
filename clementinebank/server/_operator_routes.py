"""Operators' routes for health, readiness and status of an instance."""

from clementinebank.distribution import follower_status
from clementinebank.http import HttpRequest, HttpResponse, json_response
from clementinebank.server._instance import Instance
from clementinebank.server._routes import Listener, route


@route(Listener.OPERATORS, 'GET', '/healthz')
async def healthz(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return status 200 as long as the process answers."""
    return json_response(200, {'healthy': True})


@route(Listener.OPERATORS, 'GET', '/readyz')
async def readyz(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return status 200 if callers may be sent to this instance, else 503."""
    status = 200 if instance.is_ready else 503
    return json_response(status, {'ready': instance.is_ready})


@route(Listener.OPERATORS, 'GET', '/v1/status')
async def status(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return the identity, phase, document state and call counts."""
    return json_response(
        200,
        {
            **follower_status(instance.follower),
            'instance_id': instance.settings.instance_id,
            'data_centre': instance.settings.data_centre,
            'ready': instance.is_ready,
            'phase': instance.life_cycle.phase.value,
            'revision': instance.document_revision,
            'services': sorted(
                {
                    *instance.engines_by_service,
                    *instance.booking_engines.engines_by_service,
                }
            ),
            'calls': {
                'key_value': instance.key_value.calls,
                'instance_list': instance.instance_list.calls,
                'peers': instance.peer_client.calls,
            },
        },
    )
