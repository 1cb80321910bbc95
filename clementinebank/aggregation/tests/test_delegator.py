"""Guards requests that aggregators gather.

An aggregator can be killed, frozen, cut off, overloaded, stopping or of an
earlier version. Without another way to the leafs the caller would wait until
its deadline; if a request went on elsewhere that an aggregator may have begun,
more leafs than its route allows would run it; a refusal that claims wrongly
that nothing ran would make the caller repeat it.
"""

import attrs
import curio
import pytest
from result import Err, Ok

from clementinebank.aggregation import AggregatorSelector, Delegator
from clementinebank.clock import FakeClockKernel, now
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import (
    ForwardRequest,
    LinkDelays,
    MergedAnswer,
)
from clementinebank.forwarding.tests.simulation import (
    OBJECTIVE_S,
    SERVICES,
    TIMEOUT_S,
    make_leaf_record,
    make_route,
)
from clementinebank.http import HttpRequest
from clementinebank.relay import FleetMember, RelayDirectory
from clementinebank.validation import Address

ADDRESSES = tuple(Address('10.0.0.1', number) for number in (1, 2))
ANSWER = MergedAnswer(('sig',), 0, b'')
ROUTE = make_route(services=SERVICES)
REFUSED = Failure('overloaded', 'busy', Step.ADMIT)
RATE_LIMITED = Failure(
    'not_answered', 'rate_limited', Step.DISPATCH, status=503, retry_after_s=0.7
)
BROKEN = Failure(
    'peer_unreachable',
    'reset',
    Step.DISPATCH,
    execution=Execution.UNKNOWN,
    status=502,
)


@attrs.define
class FakeEngine:
    """Engine that records the routes of the requests that it gathers."""

    routes: list = attrs.Factory(list)

    async def forward(self, request, route):
        self.routes.append(route)
        return Ok('gathered here')


@attrs.define
class FakeClient:
    """Client whose aggregators answer as given, and None stays silent."""

    outcomes: list
    calls: list = attrs.Factory(list)

    async def gather(self, address, message, deadlines):
        outcome = self.outcomes[len(self.calls)]
        self.calls.append((address, message, deadlines))
        if outcome is None:
            await curio.sleep(deadlines.acceptance - now())
            return Err(Failure('peer_timeout', 'silent', Step.DISPATCH))
        await curio.sleep(0.01)
        return outcome


def forward(*outcomes, engine=None):
    """Forward one request; return its outcome and the parts involved."""
    ends = []
    selector = AggregatorSelector(
        Address('10.0.0.1', 99), LinkDelays('dc-0', {'dc-0': 'r-0'})
    )
    selector.update(
        {'dc-0': tuple(FleetMember(each, 1) for each in ADDRESSES)},
        [make_leaf_record(service, 0) for service in SERVICES],
    )
    delegator = Delegator(
        engine or FakeEngine(),
        RelayDirectory(),
        selector,
        FakeClient(list(outcomes)),
        lambda *end: ends.append(end),
    )

    async def run():
        request = ForwardRequest('q', now() + 2, HttpRequest('GET', '/'))
        started_at = now()
        outcome = await delegator.forward(request, ROUTE)
        return outcome, now() - started_at

    with FakeClockKernel() as kernel:
        outcome, elapsed_s = kernel.run(run)
    return outcome, elapsed_s, delegator, ends


def test_answer_of_the_first_aggregator_is_returned():
    outcome, _, delegator, ends = forward(Ok(ANSWER))
    assert outcome == Ok(ANSWER)
    (address, message, deadlines), *others = delegator.client.calls
    assert not others
    assert address in ADDRESSES
    assert message.route.services == SERVICES
    assert message.deadline_s <= TIMEOUT_S
    assert deadlines.acceptance < deadlines.answer
    assert [event.event for event in ends[0][2]] == ['delegated', 'gathered']


def test_refused_request_goes_to_the_next_and_then_is_gathered_here():
    outcome, _, delegator, _ = forward(Err(REFUSED), Err(REFUSED))
    assert outcome == Ok('gathered here')
    assert {call[0] for call in delegator.client.calls} == set(ADDRESSES)
    # The time that has passed is no longer part of the objective.
    (route,) = delegator.engine.routes
    assert route.objective_s == pytest.approx(OBJECTIVE_S - 0.02)
    assert route.timeout_s == pytest.approx(TIMEOUT_S - 0.02)


def test_request_beyond_the_rate_limits_is_not_gathered_elsewhere():
    """Each further instance would use up tokens for nothing."""
    outcome, _, delegator, _ = forward(Err(RATE_LIMITED))
    assert outcome == Err(RATE_LIMITED)
    assert len(delegator.client.calls) == 1
    assert not delegator.engine.routes


def test_silent_aggregators_cost_a_part_of_the_objective():
    outcome, elapsed_s, delegator, _ = forward(None, None)
    assert outcome == Ok('gathered here')
    assert elapsed_s < OBJECTIVE_S / 2
    assert not delegator.selector.candidates(SERVICES, elapsed_s)


def test_objective_and_deadline_shrink_with_each_attempt():
    _, _, delegator, _ = forward(None, Ok(ANSWER))
    first, second = [call[1] for call in delegator.client.calls]
    assert second.route.objective_s < first.route.objective_s
    assert second.deadline_s < first.deadline_s


def test_request_that_may_have_run_fails_at_once():
    """Another aggregator would call more leafs than ``max_attempts``."""
    outcome, elapsed_s, delegator, ends = forward(Err(BROKEN), Ok(ANSWER))
    assert outcome.err_value.status == 502
    assert outcome.err_value.execution is Execution.UNKNOWN
    assert len(delegator.client.calls) == 1
    assert not delegator.engine.routes
    assert elapsed_s < OBJECTIVE_S / 2
    assert ends[0][2][-1].event == 'refused'


@pytest.mark.parametrize('failure', [REFUSED, BROKEN])
def test_aggregator_that_failed_is_paused(failure):
    _, _, delegator, _ = forward(Err(failure), Ok(ANSWER))
    left = dict(delegator.selector.candidates(SERVICES, 1000.02))
    assert delegator.client.calls[0][0] not in left


def test_failed_gathering_does_not_pause_its_aggregator():
    failure = attrs.evolve(BROKEN, code='not_answered')
    _, _, delegator, _ = forward(Err(failure))
    assert len(delegator.selector.candidates(SERVICES, 1000.02)) == 2


def test_caller_that_leaves_is_recorded_as_abandoned():
    ends = []

    async def run():
        selector = AggregatorSelector(
            Address('10.0.0.1', 99), LinkDelays('dc-0', {'dc-0': 'r-0'})
        )
        selector.update(
            {'dc-0': (FleetMember(ADDRESSES[0], 1),)},
            [make_leaf_record(service, 0) for service in SERVICES],
        )
        delegator = Delegator(
            FakeEngine(),
            RelayDirectory(),
            selector,
            FakeClient([None]),
            lambda *end: ends.append(end),
        )
        request = ForwardRequest('q', now() + 2, HttpRequest('GET', '/'))
        task = await curio.spawn(delegator.forward, request, ROUTE)
        await curio.sleep(0.01)
        await task.cancel()
        return delegator

    with FakeClockKernel() as kernel:
        delegator = kernel.run(run)
    assert not delegator.engine.routes
    assert ends[0][2][-1].event == 'abandoned'
