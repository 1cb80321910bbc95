"""Search route of the callers' listener."""

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
    failure_response,
    route,
)

MS_PER_S = 1000


@invariant('answer-to-own-request', 'R3')
def _is_answer_to_request(request: SearchRequest, answer: SearchAnswer) -> bool:
    """Return whether an answer has the request's id and respects its limit."""
    return (
        answer.request_id == request.request_id
        and len(answer.records) <= request.limit
    )


@route(Listener.CALLERS, 'POST', '/v1/services/{service}/search')
async def search(
    instance: Instance, request: HttpRequest, service: str
) -> HttpResponse:
    """Search one service and return the records found.

    The response states the document revision and currency at the start of
    the search. An answer that belongs to another request is withheld.
    """
    isolation = instance.isolation_failure()
    if isolation is not None:
        return failure_response(isolation)
    accepted = _accept(instance, request, service)
    if isinstance(accepted, Err):
        return failure_response(accepted.err_value)
    search_request = accepted.ok_value
    engine = instance.engines_by_service[service]
    configuration = {
        'revision': instance.document_revision,
        'currency': instance.currency,
    }
    found = await engine.search(search_request)
    if isinstance(found, Err):
        return failure_response(found.err_value)
    answer = found.ok_value
    if not check(
        'answer-to-own-request',
        search_request.request_id,
        request=search_request,
        answer=answer,
    ):
        return failure_response(_withheld_failure())
    current_observation().set_answer(answer)
    return json_response(
        200,
        _answer_json(answer, configuration),
        {'request-id': search_request.request_id},
    )


def _withheld_failure() -> Failure:
    return Failure(
        'answer_withheld',
        'the answer has the id of another request or too many records',
        Step.RESPOND,
        execution=Execution.UNKNOWN,
        status=500,
    )


def _accept(
    instance: Instance, request: HttpRequest, service: str
) -> Result[SearchRequest, Failure]:
    """Return the validated search request, or the first problem found."""
    settings = instance.find_service(service)
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
    deadline_ms = _read_deadline_ms(instance, request, settings)
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


def _read_deadline_ms(
    instance: Instance, request: HttpRequest, settings: ServiceSettings
) -> Result[float, Failure]:
    """Return how long after its arrival the request must be answered.

    Returns
    -------
    Result
        Milliseconds from the header ``Deadline-Ms``, or else from the
        settings of the service, less the network delays to and from the
        caller. A failure if the header is invalid.
    """
    deadline_text = request.headers.get(
        'deadline-ms', str(settings.deadline_ms)
    )
    if not DEADLINE_PATTERN.fullmatch(deadline_text):
        return _invalid(
            'Deadline-Ms',
            'must be a positive integer of milliseconds, '
            f'got {deadline_text[:80]!r}',
        )
    document = instance.document
    caller_delay_ms = document.fleet.caller_delay_ms if document else 0
    return Ok(time_to_answer_ms(int(deadline_text), caller_delay_ms))


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
