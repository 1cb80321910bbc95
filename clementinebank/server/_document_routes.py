"""Document routes of the operators' listener."""

import json
import uuid

import attrs
from result import Err

from clementinebank.document import (
    DOCUMENT_KEY,
    HeadRecord,
    Section,
    decode_head,
    parse_document,
)
from clementinebank.errors import Failure, Step
from clementinebank.http import HttpRequest, HttpResponse, json_response
from clementinebank.server._instance import Instance
from clementinebank.server._routes import Listener, refuse, route


@route(Listener.OPERATORS, 'GET', '/v1/document')
async def show(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Return the document in force."""
    return json_response(
        200,
        {
            'revision': instance.head.revision,
            'sections': instance.head.texts_by_section,
        },
    )


@route(Listener.OPERATORS, 'POST', '/v1/document/changes')
async def change(instance: Instance, request: HttpRequest) -> HttpResponse:
    """Accept changed sections by one compare-and-swap."""
    try:
        texts = json.loads(request.body)['sections']
    except (ValueError, KeyError, TypeError):
        failure = Failure(
            'invalid_request',
            'the body must be JSON with "sections"',
            Step.ACCEPT,
            field='sections',
            status=400,
        )
        return refuse(failure)
    entry = await instance.key_value.read(DOCUMENT_KEY)
    if isinstance(entry, Err):
        return refuse(entry.err_value)
    stored = entry.ok_value
    head = decode_head(stored.value) if stored.version else HeadRecord()
    updated = _updated(head, texts)
    parsed = parse_document(updated.texts_by_section, updated.revision)
    if isinstance(parsed, Err):
        problems = [str(problem) for problem in parsed.err_value]
        return json_response(422, {'problems': problems})
    swapped = await instance.key_value.swap(
        DOCUMENT_KEY, updated.encode(), stored.version
    )
    if isinstance(swapped, Err):
        return refuse(swapped.err_value)
    await instance.activate(updated)
    return json_response(200, {'revision': updated.revision})


def _updated(head: HeadRecord, texts: dict[str, str]) -> HeadRecord:
    revision = head.revision + 1
    change_id = uuid.uuid4().hex
    changed = {
        name: Section(text, revision, change_id, 'unnamed')
        for name, text in texts.items()
    }
    return attrs.evolve(
        head,
        revision=revision,
        sections_by_name={**head.sections_by_name, **changed},
    )
