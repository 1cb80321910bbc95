"""Guards against lost replies when the process pauses past a deadline.

The query waits for replies with ``get_before`` until a deadline. Replies that
leafs sent during the pause are delivered after that deadline and must still
be part of the answer. The last two tests replace ``get_before``: by a plain
curio timeout, which logs a warning for each such wait, and by a version that
loses the replies.
"""

import json
import logging
from types import SimpleNamespace

import curio
import pytest
from result import Ok

from clementinebank.clock import FakeClockKernel, now
from clementinebank.dispatch import _run as run_module
from clementinebank.http import HttpResponse
from clementinebank.search import Query, SearchRequest
from clementinebank.search import _engine as engine_module
from clementinebank.search.tests.simulation import DEADLINE_S, make_simulation
from clementinebank.upstream import LeafReply


class _Pools(dict):
    """Leaf pools that hold all calls until the test delivers the replies."""

    def __init__(self):
        super().__init__()
        self.calls = []

    def __missing__(self, leaf_id):
        async def submit(call):
            self.calls.append((leaf_id, call))

        async def cancel(call_id):
            """Ignore the cancel; the reply is delivered all the same."""

        return SimpleNamespace(leaf=None, submit=submit, cancel=cancel)

    async def deliver_after(self, kernel, pause_s):
        """Simulate a pause of the process, then deliver every reply."""
        await curio.sleep(DEADLINE_S / 10)
        kernel.clock.advance(pause_s)
        for leaf_id, call in self.calls:
            asked = json.loads(call.request.body)
            body = {
                'request_id': call.call_id,
                'snapshot': call.request.headers['snapshot'],
                'partitions': asked['partitions'],
                'records': [],
            }
            response = HttpResponse(200, {}, json.dumps(body).encode())
            outcome = Ok(response)
            await call.on_reply(LeafReply(call.call_id, leaf_id, outcome, 0.01))


async def _search(kernel, pause_s):
    """Run a query whose replies arrive after a pause; return its result."""
    simulation = make_simulation(answer_policy='coverage_first')
    request = SearchRequest('r', '*', 10, now() + DEADLINE_S)
    query = Query(
        request, simulation.service, simulation.router, simulation.catalogue
    )
    engine = SimpleNamespace(router=simulation.router, delay_to=lambda leaf: 0)
    pools = _Pools()
    run = engine_module._QueryRun(
        state_machine=query, pools=pools, engine=engine
    )
    await curio.spawn(pools.deliver_after, kernel, pause_s, daemon=True)
    return await run.run()


def _is_complete(pause_s):
    """Return whether the query is answered with complete coverage."""
    with FakeClockKernel() as kernel:
        found = kernel.run(_search, kernel, pause_s)
    return found.is_ok() and found.ok_value.coverage.is_complete


@pytest.mark.parametrize('pause_s', [0, DEADLINE_S, 5])
def test_reply_delivered_after_a_pause_counts_without_a_warning(
    pause_s, caplog
):
    with caplog.at_level(logging.WARNING):
        assert _is_complete(pause_s)
    assert not caplog.records


def test_plain_curio_timeout_logs_a_warning_after_a_pause(monkeypatch, caplog):
    async def get_before(deadline, queue):
        return await curio.ignore_after(max(0, deadline - now()), queue.get)

    monkeypatch.setattr(run_module, 'get_before', get_before)
    with caplog.at_level(logging.WARNING):
        _is_complete(5)
    assert 'longer than an enclosing timeout' in caplog.text


def test_replies_are_lost_if_not_read_after_the_deadline(monkeypatch):
    async def get_before(deadline, queue):
        if deadline <= now():
            return None
        return await curio.ignore_after(deadline - now(), queue.get)

    monkeypatch.setattr(run_module, 'get_before', get_before)
    assert not _is_complete(5)
