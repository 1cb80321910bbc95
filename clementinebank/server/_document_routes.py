"""Document routes of the operators' listener."""

import json
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
from result import Err

from clementinebank.clock import now
from clementinebank.document import (
    AcceptChange,
    ChangeResult,
    Outcome,
    read_change,
)
from clementinebank.errors import Execution, Failure, FieldProblem, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response
from clementinebank.server._instance import Instance
from clementinebank.server._routes import Listener, refuse, route

STATUS_BY_OUTCOME = {
    Outcome.ACCEPTED: HTTPStatus.OK,
    Outcome.CONFLICT: HTTPStatus.CONFLICT,
    Outcome.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    Outcome.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNKNOWN: HTTPStatus.SERVICE_UNAVAILABLE,
}


@route(Listener.OPERATORS, 'GET', '/v1/document')
async def show(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return the document in force."""
    head = instance.head
    origins = {
        name: attrs.asdict(
            section,
            filter=attrs.filters.exclude(attrs.fields(type(section)).text),
        )
        for name, section in head.sections_by_name.items()
    }
    return json_response(
        HTTPStatus.OK,
        {
            'revision': head.revision,
            'sections': head.texts_by_section,
            'origins': origins,
        },
    )


@route(Listener.OPERATORS, 'GET', '/v1/document/changes')
async def history(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return the recent changes of the document in force, oldest first."""
    head = instance.head
    return json_response(
        HTTPStatus.OK,
        {
            'revision': head.revision,
            'history_start': head.history_start,
            'changes': [attrs.asdict(entry) for entry in head.changes],
        },
    )


@route(Listener.OPERATORS, 'POST', '/v1/document/changes')
async def change(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Accept a change, or check it with ``?dry_run=1``."""
    try:
        raw = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        return _refuse_body([FieldProblem('$', f'not JSON: {error}')])
    read = read_change(raw)
    if isinstance(read, Err):
        return _refuse_body(read.err_value)
    use_case = AcceptChange(
        instance.key_value,
        lambda: instance.head,
        lambda: instance.follower.exchange.change_failure(now()),
    )
    if parse_qs(request.query).get('dry_run') == ['1']:
        rejected = await use_case.preview(read.ok_value)
        if rejected is None:
            return json_response(
                HTTPStatus.OK,
                {'result': 'valid', 'change_id': read.ok_value.change_id},
            )
        return _response(rejected)
    settled = await use_case.run(read.ok_value)
    # In force before the answer: this instance then writes the record back
    # if the key-value service loses it.
    if settled.head is not None and settled.head.extends(instance.head):
        await instance.activate(settled.head)
    return _response(settled)


def _refuse_body(problems: list[FieldProblem]) -> HttpResponse:
    return refuse(
        Failure(
            'invalid_request',
            '; '.join(str(problem) for problem in problems),
            Step.ACCEPT,
            field=problems[0].field,
            status=HTTPStatus.BAD_REQUEST,
        )
    )


def _response(settled: ChangeResult) -> HttpResponse:
    body: dict[str, Any] = {
        'result': settled.outcome.value,
        'change_id': settled.change_id,
        'revision': settled.revision,
        'conflicts': [attrs.asdict(each) for each in settled.conflicts],
        'problems': [attrs.asdict(each) for each in settled.problems],
    }
    if settled.outcome is not Outcome.ACCEPTED:
        body.update(_failure_of(settled).as_json())
    return json_response(STATUS_BY_OUTCOME[settled.outcome], body)


def _failure_of(settled: ChangeResult) -> Failure:
    if settled.failure is not None:
        return settled.failure
    if settled.outcome is Outcome.CONFLICT:
        message = '; '.join(str(each) for each in settled.conflicts)
        return Failure('section_conflict', message, Step.MERGE)
    message = '; '.join(str(each) for each in settled.problems)
    return Failure(
        'invalid_document',
        message,
        Step.VALIDATE,
        execution=Execution.NOT_RUN,
    )
