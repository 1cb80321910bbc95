"""Guards requests that aggregators gather.

An aggregator can be killed, frozen, cut off, overloaded, stopping or of an
earlier version. Without another way to the leafs the caller would wait until
its deadline; without the mark of a repeat, calls that a silent aggregator may
have made would be made again outside the budget; a refusal that claims wrongly
that nothing ran would make the caller repeat the request.
"""

from math import inf

import attrs
import pytest

from clementinebank.aggregation import (
    AskAggregator,
    Delegation,
    DropAttempt,
    GatherLocally,
    PauseAggregator,
)
from clementinebank.dispatch import Finish, Refuse
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import MergedAnswer
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.validation import Address

START = 1000.0
ACCEPT_S = 0.05
OBJECTIVE_S = 0.3
TIMEOUT_S = 1.0
ADDRESSES = (Address('10.0.0.1', 1), Address('10.0.0.1', 2))
ANSWER = MergedAnswer(('sig',), 0, b'')


def make(addresses=ADDRESSES):
    return Delegation(
        addresses, ACCEPT_S, START + OBJECTIVE_S, START + TIMEOUT_S, START
    )


def failure(execution):
    return Failure('code', 'why', Step.DISPATCH, execution=execution)


def of_type(actions, kind):
    return [each for each in actions if isinstance(each, kind)]


def test_answer_of_the_first_aggregator_ends_the_request():
    delegation = make()
    actions = delegation.start(START)
    assert actions == [AskAggregator(0, ADDRESSES[0], is_repeat=False)]
    delegation.on_accepted(0, START + 0.01)
    assert delegation.next_wakeup == START + TIMEOUT_S
    assert delegation.on_answer(0, ANSWER, START + 0.1) == [Finish(ANSWER)]


def test_refused_request_goes_on_elsewhere_and_is_no_repeat():
    delegation = make()
    delegation.start(START)
    refusal = failure(Execution.NOT_RUN)
    assert delegation.on_failure(0, refusal, START) == [
        AskAggregator(1, ADDRESSES[1], is_repeat=False)
    ]
    assert delegation.on_failure(1, refusal, START) == [
        GatherLocally(2, is_repeat=False)
    ]


def test_broken_aggregator_makes_the_next_attempt_a_repeat():
    delegation = make()
    delegation.start(START)
    delegation.on_accepted(0, START + 0.01)
    broken = failure(Execution.UNKNOWN)
    assert delegation.on_failure(0, broken, START + 0.02) == [
        AskAggregator(1, ADDRESSES[1], is_repeat=True)
    ]


def test_silent_aggregator_is_paused_and_overtaken_in_time():
    delegation = make()
    delegation.start(START)
    assert delegation.next_wakeup == START + ACCEPT_S
    actions = delegation.on_time(START + ACCEPT_S)
    assert [each.address for each in of_type(actions, PauseAggregator)] == [
        ADDRESSES[0]
    ]
    assert of_type(actions, AskAggregator) == [
        AskAggregator(1, ADDRESSES[1], is_repeat=True)
    ]
    # Its answer still counts if it comes first; the other attempt ends.
    assert delegation.on_answer(0, ANSWER, START + 0.1) == [
        DropAttempt(1),
        Finish(ANSWER),
    ]


def test_accepting_aggregator_is_not_overtaken():
    delegation = make()
    delegation.start(START)
    delegation.on_accepted(0, START + 0.01)
    assert not delegation.on_time(START + 2 * OBJECTIVE_S)


def test_gathering_that_failed_late_is_not_repeated():
    delegation = make()
    delegation.start(START)
    delegation.on_accepted(0, START)
    actions = delegation.on_failure(
        0, failure(Execution.UNKNOWN), START + OBJECTIVE_S
    )
    assert of_type(actions, Refuse)[0].failure.status == 502


@pytest.mark.parametrize('is_accepted', [True, False])
def test_request_without_an_answer_ends_at_its_deadline(is_accepted):
    delegation = make(ADDRESSES[:1])
    delegation.start(START)
    if is_accepted:
        delegation.on_accepted(0, START)
    else:
        delegation.on_time(START + ACCEPT_S)
    actions = delegation.on_time(START + TIMEOUT_S)
    refused = of_type(actions, Refuse)[0].failure
    assert refused.status == 504
    assert refused.execution is Execution.UNKNOWN
    assert of_type(actions, DropAttempt)
    assert not delegation.on_answer(0, ANSWER, START + TIMEOUT_S)


def test_refusal_by_all_states_truly_that_nothing_ran():
    delegation = make()
    delegation.start(START)
    for attempt_id in range(3):
        actions = delegation.on_failure(
            attempt_id, failure(Execution.NOT_RUN), START
        )
    refused = of_type(actions, Refuse)[0].failure
    assert refused.execution is Execution.NOT_RUN
    assert refused.status == 503


@pytest.mark.parametrize('silent', [0, 1])
def test_refusal_after_any_possible_run_does_not_claim_not_run(silent):
    delegation = make()
    delegation.start(START)
    if silent == 1:
        delegation.on_failure(0, failure(Execution.NOT_RUN), START)
    delegation.on_time(START + ACCEPT_S)
    actions = []
    for attempt_id in range(silent, 3):
        actions += delegation.on_failure(
            attempt_id, failure(Execution.NOT_RUN), START + ACCEPT_S
        )
    assert of_type(actions, Refuse)[0].failure.status == 502


def test_request_is_answered_once():
    delegation = make()
    delegation.start(START)
    delegation.on_time(START + ACCEPT_S)
    delegation.on_answer(1, ANSWER, START + 0.1)
    assert not delegation.on_answer(0, ANSWER, START + 0.1)
    assert not delegation.on_failure(0, failure(Execution.UNKNOWN), START + 1)
    assert not delegation.on_time(START + TIMEOUT_S)
    assert not VIOLATIONS_BY_NAME.get('delegated-answered-once')


def test_control_without_an_acceptance_time_a_silent_aggregator_costs_all():
    """A delegation that waits for ever shows that the checks above bite."""
    delegation = attrs.evolve(make(), accept_timeout_s=inf)
    delegation.start(START)
    assert delegation.next_wakeup == START + TIMEOUT_S
