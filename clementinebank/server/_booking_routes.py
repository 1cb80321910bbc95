"""Routes on which callers book and operators inspect and settle claims."""

import json
import uuid
from typing import Any
from urllib.parse import parse_qs

from result import Err, Ok, Result

from clementinebank.booking import (
    KEY_HEADER,
    BookingAnswer,
    BookingRequest,
    ClaimRecord,
    Settlement,
    find_claim,
    list_claims,
    settle,
    validate_key,
)
from clementinebank.clock import now, wall_time
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response
from clementinebank.server._deadlines import (
    DEADLINE_PATTERN,
    time_to_answer_ms,
)
from clementinebank.server._instance import Instance
from clementinebank.server._routes import (
    REQUEST_ID_PATTERN,
    Listener,
    failure_response,
    route,
)
from clementinebank.validation import FieldReader

MS_PER_S = 1000
# What an operator may state about the request of an unresolved claim.
RESOLUTIONS = ('ran', 'not_run')


@route(Listener.CALLERS, 'POST', '/v1/services/{service}/requests')
async def book(
    instance: Instance, request: HttpRequest, service: str
) -> HttpResponse:
    """Run the booking request of a caller at most once and return its outcome.

    An outcome that is already recorded under its key is returned again.
    """
    isolation = instance.isolation_failure()
    if isolation is not None:
        return failure_response(isolation)
    accepted = _accept(instance, request, service)
    if isinstance(accepted, Err):
        return failure_response(accepted.err_value)
    booking = accepted.ok_value
    engine = instance.booking_engines.engines_by_service[service]
    answer = await engine.book(booking)
    return _booking_response(booking, answer, instance.document_revision)


@route(Listener.OPERATORS, 'GET', '/v1/bookings')
async def list_bookings(
    instance: Instance, request: HttpRequest
) -> HttpResponse:
    """List unresolved claims, or with ``all=1`` every claim.

    ``service=NAME`` lists the claims of one service only.
    """
    query = parse_qs(request.query)
    found = await list_claims(
        instance.key_value,
        unresolved_only=query.get('all') != ['1'],
        service=query.get('service', [''])[0],
    )
    if isinstance(found, Err):
        return failure_response(found.err_value)
    claims = found.ok_value
    return json_response(
        200,
        {
            'bookings': [_claim_json(record) for record in claims.records],
            'unreadable': list(claims.unreadable),
            'whole': claims.is_complete,
        },
    )


@route(Listener.OPERATORS, 'GET', '/v1/bookings/{service}/{key}')
async def show_booking(
    instance: Instance, request: HttpRequest, service: str, key: str
) -> HttpResponse:
    """Return one claim with the history of its states."""
    found = await find_claim(instance.key_value, service, key)
    if isinstance(found, Err):
        return failure_response(found.err_value)
    return json_response(200, _claim_json(found.ok_value[0]))


@route(Listener.OPERATORS, 'POST', '/v1/bookings/{service}/{key}/settle')
async def settle_booking(
    instance: Instance, request: HttpRequest, service: str, key: str
) -> HttpResponse:
    """Settle one unresolved claim: record whether its request ran.

    The body states the resolution (``ran`` or ``not_run``), who settles the
    claim and why.
    """
    settlement = _read_settlement(request.body, service, key)
    if isinstance(settlement, Err):
        return failure_response(settlement.err_value)
    settled = await settle(instance.key_value, settlement.ok_value, wall_time())
    if isinstance(settled, Err):
        return failure_response(settled.err_value)
    return json_response(200, _claim_json(settled.ok_value))


def _accept(
    instance: Instance, request: HttpRequest, service: str
) -> Result[BookingRequest, Failure]:
    """Return the validated booking request, or the first problem found."""
    engine = instance.booking_engines.engines_by_service.get(service)
    if engine is None:
        message = f'no booking service is named {service!r}'
        return _invalid('service', message, 'unknown_service', 404)
    request_id = request.headers.get('request-id') or uuid.uuid4().hex
    if not REQUEST_ID_PATTERN.fullmatch(request_id):
        return _invalid('Request-Id', 'must be 1 to 64 of A-Z a-z 0-9 _ -')
    deadline_text = request.headers.get(
        'deadline-ms', str(engine.service.deadline_ms)
    )
    if not DEADLINE_PATTERN.fullmatch(deadline_text):
        message = (
            'must be a positive integer of milliseconds, '
            f'got {deadline_text[:80]!r}'
        )
        return _invalid('Deadline-Ms', message)
    if not _is_json_object(request.body):
        return _invalid('body', 'must be a JSON object')
    key = validate_key(
        request.headers.get(KEY_HEADER.lower()),
        wall_time(),
        engine.service.retention_hours,
    )
    caller_delay_ms = engine.document.fleet.caller_delay_ms
    deadline_ms = time_to_answer_ms(int(deadline_text), caller_delay_ms)
    deadline = now() + deadline_ms / MS_PER_S
    return key.map(
        lambda valid_key: BookingRequest(
            request_id, valid_key, service, request.body, deadline
        )
    )


def _is_json_object(body: bytes) -> bool:
    try:
        return isinstance(json.loads(body), dict)
    except (ValueError, RecursionError):
        return False


def _invalid(
    field: str, message: str, code: str = 'invalid_request', status: int = 400
) -> Err[Failure]:
    return Err(Failure(code, message, Step.ACCEPT, field=field, status=status))


def _booking_response(
    booking: BookingRequest, answer: BookingAnswer, revision: int
) -> HttpResponse:
    headers = {'request-id': booking.request_id}
    if answer.outcome is None:
        failure = answer.failure or Failure(
            'no_outcome', 'the booking ended without an outcome', Step.RESPOND
        )
        return json_response(failure.status, failure.as_json(), headers)
    return json_response(
        answer.outcome.status,
        {
            'request_id': booking.request_id,
            'key': booking.key,
            'execution': Execution.RAN.value,
            'outcome': answer.outcome.content,
            'repeated': answer.is_repeated,
            'recorded': answer.is_recorded,
            'configuration': {'revision': revision},
        },
        headers,
    )


def _read_settlement(
    body: bytes, service: str, key: str
) -> Result[Settlement, Failure]:
    """Return the settlement in a body, or the first problem found."""
    try:
        reader = FieldReader(json.loads(body))
    except (ValueError, RecursionError) as error:
        return _invalid('body', f'invalid JSON: {error}')
    resolution = reader.text('resolution', choices=RESOLUTIONS)
    who = reader.text('who')
    why = reader.text('why')
    reader.report_unknown_fields()
    if reader.problems:
        problem = reader.problems[0]
        return _invalid(problem.field, problem.message)
    return Ok(Settlement(service, key, Execution(resolution), who, why))


def _claim_json(record: ClaimRecord) -> dict[str, Any]:
    """Return a claim with its age in seconds, as operators receive it."""
    age_s = round(wall_time() - record.claimed_at, 1)
    return {**record.as_json(), 'age_s': age_s}
