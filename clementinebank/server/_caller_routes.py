"""Routes of the callers' listener."""

import uuid
from typing import Any

from result import Err, Ok, Result

from clementinebank.clock import now
from clementinebank.document import ServiceSettings
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response
from clementinebank.invariants import check, invariant
from clementinebank.search import (
    SearchAnswer,
    SearchRequest,
    decode_search_request,
)
from clementinebank.server._deadlines import (
    DEADLINE_PATTERN,
    time_to_answer_ms,
)
from clementinebank.server._instance import Instance
from clementinebank.server._observer import current_observation
from clementinebank.server._routes import (
    REQUEST_ID_PATTERN,
    Listener,
    refuse,
    route,
)

MS_PER_S = 1000


@invariant('answer-to-own-request', 'R3')
def _is_own_answer(request: SearchRequest, answer: SearchAnswer) -> bool:
    return (
        answer.request_id == request.request_id
        and len(answer.records) <= request.limit
    )


@route(Listener.CALLERS, 'POST', '/v1/services/{service}/search')
async def search(
    instance: Instance, request: HttpRequest, service: str
) -> HttpResponse:
    """Answer one search."""
    isolation = instance.isolation_failure()
    if isolation is not None:
        return refuse(isolation)
    accepted = _accept(instance, request, service)
    if isinstance(accepted, Err):
        return refuse(accepted.err_value)
    search_request = accepted.ok_value
    engine = instance.engines_by_service[service]
    configuration = {
        'revision': instance.document_revision,
        'currency': instance.currency,
    }
    found = await engine.search(search_request)
    if isinstance(found, Err):
        return refuse(found.err_value)
    answer = found.ok_value
    if not check(
        'answer-to-own-request',
        search_request.request_id,
        request=search_request,
        answer=answer,
    ):
        return refuse(_withheld())
    current_observation().take_answer(answer)
    return json_response(
        200,
        _answer_json(answer, configuration),
        {'request-id': search_request.request_id},
    )


def _withheld() -> Failure:
    return Failure(
        'answer_withheld',
        'the answer does not belong to this request',
        Step.RESPOND,
        execution=Execution.UNKNOWN,
        status=500,
    )


def _accept(
    instance: Instance, request: HttpRequest, service: str
) -> Result[SearchRequest, Failure]:
    settings = instance.service(service)
    if settings is None or service not in instance.engines_by_service:
        return Err(
            Failure(
                'unknown_service',
                f'no search service is named {service!r}',
                Step.ACCEPT,
                field='service',
                status=404,
            )
        )
    request_id = request.headers.get('request-id') or uuid.uuid4().hex
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        return _invalid('Request-Id', 'must be 1 to 64 of A-Z a-z 0-9 _ -')
    deadline_ms = _deadline_ms(instance, request, settings)
    if isinstance(deadline_ms, Err):
        return deadline_ms
    try:
        body = decode_search_request(request.body)
    except RecursionError:
        return _invalid('body', 'the JSON is nested too deeply')
    if isinstance(body, Err):
        problem = body.err_value[0]
        return _invalid(problem.field, problem.message)
    query, limit = body.ok_value
    deadline = now() + deadline_ms.ok_value / MS_PER_S
    return Ok(SearchRequest(request_id, query, limit, deadline))


def _deadline_ms(
    instance: Instance, request: HttpRequest, settings: ServiceSettings
) -> Result[float, Failure]:
    """Return the time for the answer without the delays of the caller."""
    raw = request.headers.get('deadline-ms', str(settings.deadline_ms))
    if not DEADLINE_PATTERN.fullmatch(raw):
        return _invalid(
            'Deadline-Ms', f'must be a positive integer, got {raw[:80]!r}'
        )
    document = instance.document
    delay_ms = document.fleet.caller_delay_ms if document else 0
    return Ok(time_to_answer_ms(int(raw), delay_ms))


def _invalid(field: str, message: str) -> Err[Failure]:
    return Err(
        Failure(
            'invalid_request', message, Step.ACCEPT, field=field, status=400
        )
    )


def _answer_json(
    answer: SearchAnswer, configuration: dict[str, Any]
) -> dict[str, Any]:
    return {
        'request_id': answer.request_id,
        'snapshot': answer.snapshot,
        'records': [
            {
                'record_id': record.record_id,
                'yard': record.yard,
                'score': record.score,
                'fields': record.fields,
            }
            for record in answer.records
        ],
        'coverage': answer.coverage.as_json(),
        'configuration': configuration,
    }
