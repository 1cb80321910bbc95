"""Routes on which operators read and change the configuration document."""

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
from clementinebank.server._routes import Listener, failure_response, route

STATUS_BY_OUTCOME = {
    Outcome.ACCEPTED: HTTPStatus.OK,
    Outcome.CONFLICT: HTTPStatus.CONFLICT,
    Outcome.INVALID: HTTPStatus.UNPROCESSABLE_ENTITY,
    Outcome.REFUSED: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.UNKNOWN: HTTPStatus.SERVICE_UNAVAILABLE,
}


@route(Listener.OPERATORS, 'GET', '/v1/document')
async def show(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return the document in force: the text and the origin of each section.

    The origin of a section is its record without the text.
    """
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
    """Accept a document change, or only check it with ``?dry_run=1``."""
    try:
        content = json.loads(request.body)
    except (ValueError, RecursionError) as error:
        return _refuse_body([FieldProblem('$', f'not JSON: {error}')])
    read = read_change(content)
    if isinstance(read, Err):
        return _refuse_body(read.err_value)
    accept_change = AcceptChange(
        instance.key_value,
        lambda: instance.head,
        lambda: instance.follower.exchange.change_failure(now()),
    )
    if parse_qs(request.query).get('dry_run') == ['1']:
        preview_result = await accept_change.preview(read.ok_value)
        if preview_result is None:
            return json_response(
                HTTPStatus.OK,
                {'result': 'valid', 'change_id': read.ok_value.change_id},
            )
        return _change_response(preview_result)
    change_result = await accept_change.run(read.ok_value)
    # The new head is put in force before the operator gets the answer: from
    # then on, this instance restores it if the key-value service loses it.
    if change_result.head is not None and change_result.head.extends(
        instance.head
    ):
        await instance.activate(change_result.head)
    return _change_response(change_result)


def _refuse_body(problems: list[FieldProblem]) -> HttpResponse:
    """Return the response to a request body that is not a valid change."""
    return failure_response(
        Failure(
            'invalid_request',
            '; '.join(str(problem) for problem in problems),
            Step.ACCEPT,
            field=problems[0].field,
            status=HTTPStatus.BAD_REQUEST,
        )
    )


def _change_response(change_result: ChangeResult) -> HttpResponse:
    body: dict[str, Any] = {
        'result': change_result.outcome.value,
        'change_id': change_result.change_id,
        'revision': change_result.revision,
        'conflicts': [attrs.asdict(each) for each in change_result.conflicts],
        'problems': [attrs.asdict(each) for each in change_result.problems],
    }
    if change_result.outcome is not Outcome.ACCEPTED:
        body.update(_change_failure(change_result).as_json())
    return json_response(STATUS_BY_OUTCOME[change_result.outcome], body)


def _change_failure(change_result: ChangeResult) -> Failure:
    """Return the failure that reports why a change was not accepted."""
    if change_result.failure is not None:
        return change_result.failure
    if change_result.outcome is Outcome.CONFLICT:
        message = '; '.join(str(each) for each in change_result.conflicts)
        return Failure('section_conflict', message, Step.MERGE)
    message = '; '.join(str(each) for each in change_result.problems)
    return Failure(
        'invalid_document',
        message,
        Step.VALIDATE,
        execution=Execution.NOT_RUN,
    )
