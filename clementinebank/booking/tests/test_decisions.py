"""Guards against single decisions that let a booking run twice.

Examples are an expired key that is accepted, a dispatch without a confirmed
claim, and a reply that is read as not run although the leaf may have run the
request. Rate limits and the fakes of these tests are checked too.
"""

import uuid

import attrs
import curio
import pytest
from result import Err, Ok

from clementinebank.booking import (
    BOOKING_STEPS,
    STEP_ORDER,
    Booking,
    BookingBudget,
    ClaimRecord,
    ClaimState,
    DispatchMonitor,
    Outcome,
    TokenBucket,
    created_at,
    decode_record,
    new_key,
    validate_key,
)
from clementinebank.booking._messages import decode_leaf_reply
from clementinebank.booking.tests.fakes import (
    BODY,
    SERVICE,
    FakeConnection,
    FakeLeaf,
    FakePool,
    fake_document,
    new_request,
)
from clementinebank.booking.tests.simulation import run_simulation
from clementinebank.clock import FakeClockKernel, now
from clementinebank.coordination import Entry
from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import HttpRequest, HttpResponse
from clementinebank.invariants import INVARIANTS, VIOLATIONS_BY_NAME
from clementinebank.upstream import LeafCall

WALL_S = 1_800_000_000.0
HOUR_S = 3600


def test_steps_are_registered_in_their_order():
    assert tuple(BOOKING_STEPS) == STEP_ORDER


def test_new_key_carries_its_time():
    key = new_key(WALL_S)
    assert uuid.UUID(key).version == 7
    assert created_at(key) == pytest.approx(WALL_S, abs=1e-3)
    assert validate_key(key.upper(), WALL_S, 24) == Ok(key)


@pytest.mark.parametrize(
    ('raw', 'code'),
    [
        (None, 'key_missing'),
        ('', 'key_invalid'),
        ('7', 'key_invalid'),
        (str(uuid.UUID(int=0)), 'key_invalid'),
        ('6fa459ea-ee8a-4ca4-894e-db77e160355e', 'key_invalid'),
        ('{' + new_key(WALL_S) + '}', 'key_invalid'),
        (new_key(WALL_S - 24 * HOUR_S - 1), 'key_too_old'),
        (new_key(WALL_S + 301), 'key_from_future'),
    ],
)
def test_refused_key_names_its_field(raw, code):
    failure = validate_key(raw, WALL_S, 24).unwrap_err()
    assert failure.code == code
    assert failure.field == 'Idempotency-Key'
    assert failure.execution is Execution.NOT_RUN


@pytest.mark.parametrize('age_s', [24 * HOUR_S - 1, -299])
def test_key_within_its_bounds_is_accepted(age_s):
    assert validate_key(new_key(WALL_S - age_s), WALL_S, 24).is_ok()


def test_bucket_limits_its_rate_and_keeps_its_reserve():
    bucket = TokenBucket(10, 10)
    acquired = sum(
        bucket.try_acquire(1, 100 + step / 100) for step in range(1001)
    )
    assert 109 <= acquired <= 111
    bucket = TokenBucket(10, 10)
    assert not bucket.try_acquire(6, 0, reserve=5)
    assert bucket.try_acquire(5, 0, reserve=5)
    bucket.charge(15, 0)
    assert not bucket.try_acquire(1, 1)
    assert bucket.try_acquire(1, 1.2)


def test_budget_states_the_highest_booking_rate():
    document = fake_document(writes=200)
    budget = BookingBudget(1)
    budget.update(document.fleet)
    assert budget.writes_per_second == 25
    assert budget.bookings_per_second == 12.5


def test_monitor_refuses_unclaimed_and_second_dispatch():
    dispatch_monitor = DispatchMonitor()
    before = dict(VIOLATIONS_BY_NAME)
    try:
        dispatch_monitor.open('key', 'attempt')
        assert not dispatch_monitor.check_dispatch('key', 'attempt')
        dispatch_monitor.record_claim_confirmed('key', 'attempt')
        assert dispatch_monitor.check_dispatch('key', 'attempt')
        assert not dispatch_monitor.check_dispatch('key', 'attempt')
        dispatch_monitor.record_dispatch_not_run('key', 'attempt')
        assert dispatch_monitor.check_dispatch('key', 'attempt')
        assert not dispatch_monitor.check_dispatch('key', 'unknown attempt')
        for name in ('booking_single_dispatch', 'booking_confirmed_claim'):
            assert INVARIANTS[name].requirement == 'R5'
            assert VIOLATIONS_BY_NAME[name] > before.get(name, 0)
    finally:
        VIOLATIONS_BY_NAME.clear()
        VIOLATIONS_BY_NAME.update(before)


def test_record_is_decoded_from_its_stored_form():
    claim = ClaimRecord('key', 'service', 'digest', 'attempt', 'entry-1', 1.5)
    recorded = attrs.evolve(
        claim, state=ClaimState.RECORDED, outcome=Outcome(200, {'seat': [1]})
    )
    for record in (claim, recorded):
        assert decode_record(record.encode()) == Ok(record)
    assert decode_record(b'7').is_err()
    assert decode_record(b'[' * 100_000).is_err()
    problems = decode_record(b'{"state": "open"}').unwrap_err()
    assert 'state' in {problem.field for problem in problems}


@pytest.mark.parametrize(
    ('body', 'execution'),
    [
        (b'{"ran": false, "code": "shed"}', Execution.NOT_RUN),
        (b'{"ran": "false"}', Execution.UNKNOWN),
        (b'{"ran": 0}', Execution.UNKNOWN),
        (b'{}', Execution.UNKNOWN),
        (b'[]', Execution.UNKNOWN),
        (b'{"ran": fal', Execution.UNKNOWN),
        (b'[' * 100_000, Execution.UNKNOWN),
    ],
)
def test_reply_counts_as_not_run_only_if_ran_is_false(body, execution):
    reply = decode_leaf_reply(HttpResponse(503, {}, body), 'leaf')
    assert reply.unwrap_err().execution is execution


def test_claim_is_read_back_after_any_version_mismatch():
    request = attrs.evolve(_request(), deadline=1e9)
    booking = Booking(request, _claim(request), 24)
    booking.on_claim_send()
    failure = Failure('version_mismatch', 'changed', Step.SWAP)
    assert booking.on_claim_written(Err(failure)) is Step.CLAIM_CONFIRM


def test_request_is_not_run_if_its_claim_was_never_sent():
    request = _request()
    booking = Booking(request, _claim(request), 24)
    booking.on_claim_send()
    failure = Failure('key_value_unreachable', 'refused', Step.SWAP)
    assert booking.on_claim_written(Err(failure)) is Step.RESPOND
    assert booking.answer.execution is Execution.NOT_RUN
    # After a write that may take effect, a later write that was not sent does
    # not show that the claim is not stored.
    booking = Booking(request, _claim(request), 24)
    booking.on_claim_send()
    lost = attrs.evolve(failure, execution=Execution.UNKNOWN)
    assert booking.on_claim_written(Err(lost)) is Step.CLAIM_CONFIRM
    booking.on_claim_send()
    assert booking.on_claim_written(Err(failure)) is Step.CLAIM_CONFIRM


def test_expired_key_is_not_dispatched_on_a_confirmed_claim():
    request = _request(new_key(WALL_S))
    booking = Booking(request, _claim(request), 24)
    booking.on_claim_send()
    booking.on_claim_written(Ok(Entry(b'', 1)))
    assert booking.may_dispatch(0, WALL_S)
    assert not booking.may_dispatch(0, WALL_S + 25 * HOUR_S)
    assert not booking.may_dispatch(request.deadline, WALL_S)


def test_call_cancelled_while_connecting_is_not_sent():
    async def run():
        calls = curio.Queue()
        leaf = FakeLeaf()
        settings = fake_document().services_by_name[SERVICE]
        pool = FakePool(
            settings.leafs_by_id['leaf-0'],
            1,
            fake_leaf=leaf,
            instance=_RunningInstance(),
        )
        request = HttpRequest('POST', '/v1/execute', {'request-id': 'c'})
        call = LeafCall('c', request, now() + 1, calls.put)
        await pool.submit(call)
        await curio.sleep(0.001)
        await pool.cancel('c')
        reply = await curio.timeout_after(5, calls.get)
        return call.is_sent, reply.outcome.unwrap_err().execution, leaf.runs

    with FakeClockKernel() as kernel:
        is_sent, execution, runs = kernel.run(run)
    assert not is_sent
    assert execution is Execution.NOT_RUN
    assert runs == []


def test_withdrawn_call_is_answered_as_not_run():
    answers = []

    async def scenario(simulation):
        # Ten calls hold every connection of both leafs beyond the deadline.
        simulation.leaf.reply_faults.extend(['slow'] * 24)
        tasks = [
            await curio.spawn(simulation.book, 'a', new_request())
            for _ in range(30)
        ]
        answers.extend([await task.join() for task in tasks])
        await curio.sleep(60)
        assert await simulation.problems() == []

    run_simulation(scenario)
    executions = {answer.execution for answer in answers}
    assert executions == {Execution.NOT_RUN, Execution.UNKNOWN}


class _RunningInstance:
    is_killed = False

    def __init__(self):
        self.connections = []


def _request(key=None):
    with FakeClockKernel():
        return new_request(key or new_key(WALL_S), BODY)


def _claim(request):
    return ClaimRecord(
        request.key, request.service, request.digest, 'attempt', 'a', 0
    )


def test_fake_connection_is_not_reusable_before_connect():
    assert not FakeConnection(FakeLeaf(), _RunningInstance()).is_reusable
