"""Guards against wrong responses on the search route of callers.

An engine that mixes up requests would give a caller the records of another
one, so the route withholds such answers. A bad request must be refused with
the name of the wrong field before any leaf is asked, and an isolated instance
must refuse callers.
"""

import json

import attrs
import pytest
from result import Ok

from clementinebank.clock import FakeClockKernel, now
from clementinebank.document import (
    Document,
    FleetSettings,
    GroupSettings,
    ServiceSettings,
)
from clementinebank.http import HttpRequest
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.metrics import format_metrics
from clementinebank.search import Coverage, SearchAnswer
from clementinebank.server import Instance, Listener, _caller_routes
from clementinebank.settings import InstanceSettings
from clementinebank.validation import Address

SERVICE = ServiceSettings(
    'desk', 'team', 'search', {'g': GroupSettings('g', 'north', {})}, 3, 30
)
DOCUMENT = Document(1, FleetSettings('team', {}), {'desk': SERVICE})
PATH = '/v1/services/desk/search'
GOOD_BODY = b'{"query": "silk", "limit": 2}'


@attrs.define
class _Engine:
    """Fake search engine whose answers may have the id of another request."""

    answers_other_request: bool = False
    router: object = None
    requests: list = attrs.Factory(list)

    async def search(self, request):
        self.requests.append(request)
        request_id = (
            'another' if self.answers_other_request else request.request_id
        )
        return Ok(SearchAnswer(request_id, 's-1', (), Coverage(None, {})))


def _instance(engine):
    address = Address('127.0.0.1', 1)
    settings = InstanceSettings('entry-0', 'kokura', *[address] * 5)
    instance = Instance(settings, None)
    instance.document = DOCUMENT
    exchange = instance.follower.exchange
    exchange.state.document = DOCUMENT
    exchange.currency.confirm(now())
    instance.engines_by_service = {'desk': engine}
    return instance


def _call(request, engine=None):
    with FakeClockKernel() as kernel:
        instance = _instance(engine or _Engine())
        handler = instance.listeners[Listener.CALLERS].handler
        response = kernel.run(handler, request)
    return instance, response, json.loads(response.body)


def _search(body=GOOD_BODY, **headers):
    header_fields = {
        name.replace('_', '-'): text for name, text in headers.items()
    }
    return HttpRequest('POST', PATH, header_fields, body)


def _is_answer_to_own_request(response, data):
    return response.status == 200 and data['request_id'] == 'mine'


@pytest.fixture(autouse=True)
def _clear_violations():
    VIOLATIONS_BY_NAME.clear()
    yield
    VIOLATIONS_BY_NAME.clear()


def test_own_answer_is_sent():
    instance, response, data = _call(_search(request_id='mine'))
    assert _is_answer_to_own_request(response, data)
    assert not VIOLATIONS_BY_NAME
    assert instance.observer.traces.find('mine')


def test_answer_of_another_request_is_withheld():
    engine = _Engine(answers_other_request=True)
    instance, response, data = _call(_search(request_id='mine'), engine)
    assert response.status == 500
    assert data['error']['code'] == 'answer_withheld'
    assert data['error']['execution'] == 'unknown'
    assert VIOLATIONS_BY_NAME == {'answer-to-own-request': 1}
    text = format_metrics(instance.observer.metrics)
    assert 'invariant="answer-to-own-request"} 1' in text


def test_check_catches_a_skipped_invariant(monkeypatch):
    monkeypatch.setattr(_caller_routes, 'check', lambda *_, **__: True)
    _, response, data = _call(
        _search(request_id='mine'), _Engine(answers_other_request=True)
    )
    assert response.status == 200
    assert not _is_answer_to_own_request(response, data)


@pytest.mark.parametrize(
    ('request_', 'status', 'field'),
    [
        (_search(b'not json'), 400, 'body'),
        (_search(b'[' * 100_000), 400, 'body'),
        (_search(b'{"query": 7}'), 400, 'query'),
        (_search(b'{"query": "a", "limit": 0}'), 400, 'limit'),
        (_search(b'{"query": "a", "colour": 0}'), 400, 'colour'),
        (_search(request_id='not valid'), 400, 'Request-Id'),
        (_search(deadline_ms='soon'), 400, 'Deadline-Ms'),
        (_search(deadline_ms='0'), 400, 'Deadline-Ms'),
        (_search(deadline_ms='9' * 5000), 400, 'Deadline-Ms'),
        (HttpRequest('GET', PATH), 405, 'method'),
        (HttpRequest('POST', '/v1/services/x/search'), 404, 'service'),
        (HttpRequest('POST', '/v1/nothing'), 404, 'path'),
    ],
)
def test_bad_request_names_its_field_and_is_not_run(request_, status, field):
    engine = _Engine()
    instance, response, data = _call(request_, engine)
    error = data['error']
    assert response.status == status
    assert error['field'] == field
    assert error['step'] == 'accept'
    assert error['execution'] == 'not_run'
    assert not engine.requests
    assert f'code="{error["code"]}"' in format_metrics(
        instance.observer.metrics
    )


def test_request_without_id_gets_the_traced_one():
    instance, response, data = _call(_search())
    assert response.headers['request-id'] == data['request_id']
    assert instance.observer.traces.find(data['request_id'])


def test_isolated_instance_refuses_and_is_not_ready():
    with FakeClockKernel() as kernel:
        instance = _instance(_Engine())
        kernel.clock.advance(6)
        handler = instance.listeners[Listener.CALLERS].handler
        response = kernel.run(handler, _search())
    error = json.loads(response.body)['error']
    assert response.status == 503
    assert error['code'] == 'isolated'
    assert error['execution'] == 'not_run'
    assert not instance.is_ready


def test_answer_states_revision_and_currency():
    _, response, data = _call(_search())
    assert response.status == 200
    assert data['configuration']['currency'] == 'confirmed'
    assert data['configuration']['revision'] == DOCUMENT.revision
