"""Guards against replies of leafs that come after the caller's deadline.

A leaf counts its time limit from the arrival of the request. A limit that
leaves no time for the link delay in both directions lets it reply too late.
"""

from types import SimpleNamespace

import pytest

from clementinebank.booking import _run
from clementinebank.booking.tests.fakes import new_request
from clementinebank.clock import FakeClockKernel, now

DELAY_MS = 8


def test_stated_deadline_leaves_time_for_the_delay_of_both_ways():
    with FakeClockKernel():
        request = new_request()
        fleet = SimpleNamespace(delay_ms=lambda *data_centres: DELAY_MS)
        pool = SimpleNamespace(leaf=SimpleNamespace(data_centre='south'))
        run = SimpleNamespace(
            booking=SimpleNamespace(
                request=request,
                claim=SimpleNamespace(attempt_id='attempt'),
                leafs_tried=['leaf'],
            ),
            engine=SimpleNamespace(
                pools_by_leaf={'leaf': pool},
                document=SimpleNamespace(fleet=fleet),
                data_centre='north',
            ),
            replies=SimpleNamespace(put=None),
        )
        call = _run._new_leaf_call(run, 'leaf')
        stated_ms = int(call.request.headers['deadline-ms'])
        arrival_ms = DELAY_MS + stated_ms + DELAY_MS
        remaining_ms = (request.deadline - now()) * 1000
    assert arrival_ms == pytest.approx(remaining_ms, abs=1)
