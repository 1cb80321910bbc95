"""Guards against answers that reach the caller after its deadline.

The deadline counts from the sending of the request. If the network delay were
subtracted only once, an answer sent at the last moment would come too late.
"""

import json

import attrs
import pytest

from clementinebank.booking import KEY_HEADER, new_key
from clementinebank.clock import FakeClockKernel, now, wall_time
from clementinebank.document import Document, FleetSettings, ServiceSettings
from clementinebank.http import HttpRequest
from clementinebank.server import Instance, _booking_routes, _caller_routes
from clementinebank.settings import InstanceSettings
from clementinebank.validation import Address

DELAY_MS = 3
DEADLINE_MS = 110
ROUTES = (_caller_routes, _booking_routes)


@attrs.define
class _Engine:
    service: ServiceSettings
    document: Document


def _instance():
    """Return an instance with a search and a booking engine named ``desk``."""
    fleet = FleetSettings('team', {}, caller_delay_ms=DELAY_MS)
    service = ServiceSettings(
        'desk', 'team', 'search', {}, 3, 30, deadline_ms=DEADLINE_MS
    )
    document = Document(1, fleet, {'desk': service})
    settings = InstanceSettings('entry', 'dc', *[Address('127.0.0.1', 1)] * 5)
    instance = Instance(settings, None)
    instance.document = document
    engines = {'desk': _Engine(service, document)}
    instance.engines_by_service = engines
    instance.booking_engines.engines_by_service = engines
    return instance


def _latest_answer_ms(routes, stated_ms):
    """Return how long after sending the latest answer reaches the caller.

    Parameters
    ----------
    routes : module
        Module with the route that reads the deadline.
    stated_ms : int or None
        Deadline in the header in milliseconds; ``None`` for no header.
    """
    with FakeClockKernel():
        headers = {KEY_HEADER.lower(): new_key(wall_time())}
        if stated_ms:
            headers['deadline-ms'] = str(stated_ms)
        body = json.dumps({'query': 'a'}).encode()
        request = HttpRequest('POST', '/', headers, body)
        arrived_at = now()
        accepted = routes._accept(_instance(), request, 'desk').unwrap()
        time_to_answer_ms = (accepted.deadline - arrived_at) * 1000
    return DELAY_MS + time_to_answer_ms + DELAY_MS


def _check_latest_answer(routes, stated_ms):
    wanted_ms = min(stated_ms or DEADLINE_MS, 60_000)
    assert _latest_answer_ms(routes, stated_ms) == pytest.approx(wanted_ms)


@pytest.mark.parametrize('routes', ROUTES)
@pytest.mark.parametrize('stated_ms', [None, 50, 70_000])
def test_delay_counts_in_both_directions(routes, stated_ms):
    _check_latest_answer(routes, stated_ms)


@pytest.mark.parametrize('routes', ROUTES)
def test_check_catches_a_delay_that_counts_once(monkeypatch, routes):
    monkeypatch.setattr(
        routes, 'time_to_answer_ms', lambda deadline, delay: deadline - delay
    )
    with pytest.raises(AssertionError):
        _check_latest_answer(routes, 50)
