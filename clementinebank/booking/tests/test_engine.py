"""Guards against bookings that run twice or are answered untruthfully.

The tests repeat requests at another instance, lose writes and replies, settle
claims and remove expired ones. After each scenario all guarantees of the
simulation are checked.
"""

import attrs
import curio
import pytest
from result import Err

from clementinebank.booking import (
    BookingBudget,
    BookingEngines,
    ClaimState,
    Settlement,
    decode_record,
    find_claim,
    list_claims,
    new_key,
    settle,
    storage_key,
)
from clementinebank.booking.tests.fakes import (
    SERVICE,
    fake_document,
    new_request,
)
from clementinebank.booking.tests.simulation import run_simulation
from clementinebank.clock import now, wall_time
from clementinebank.errors import Execution

DAY_S = 86_400


def run_checked(scenario, **variant):
    """Run a scenario, then check every guarantee of the simulation."""

    async def checked_scenario(simulation):
        await scenario(simulation)
        await curio.sleep(60)
        assert await simulation.problems() == []

    run_simulation(checked_scenario, **variant)


def test_repeat_gets_the_recorded_outcome_without_a_write():
    async def scenario(simulation):
        request = new_request()
        first = await simulation.book('a', request)
        writes = simulation.key_value.writes
        again = await simulation.book('b', new_request(request.key))
        assert first.is_recorded
        assert not first.is_repeated
        assert again.is_repeated
        assert again.outcome == first.outcome
        assert (writes, simulation.key_value.writes) == (2, 2)

    run_checked(scenario)


def test_key_with_another_body_is_refused():
    async def scenario(simulation):
        request = new_request()
        await simulation.book('a', request)
        other = await simulation.book('b', new_request(request.key, b'{}'))
        assert other.failure.code == 'key_reused'
        assert other.failure.status == 422
        assert other.failure.field == 'Idempotency-Key'
        assert other.execution is Execution.NOT_RUN

    run_checked(scenario)


def test_request_with_an_unresolved_claim_is_not_run_again():
    async def scenario(simulation):
        simulation.leaf.reply_faults.append('cut')
        request = new_request()
        first = await simulation.book('a', request)
        again = await simulation.book('b', new_request(request.key))
        assert first.execution is Execution.UNKNOWN
        assert again.failure.status == 409
        assert again.failure.message == 'outcome unknown, not repeated'
        assert again.execution is Execution.UNKNOWN

    run_checked(scenario)


def test_another_leaf_is_tried_after_a_refusal():
    async def scenario(simulation):
        simulation.leaf.reply_faults.extend(['refuse', ''])
        assert (await simulation.book('a', new_request())).outcome

    run_checked(scenario)


def test_claim_is_released_when_every_leaf_refuses():
    async def scenario(simulation):
        simulation.leaf.reply_faults.extend(['refuse', 'unreachable'])
        request = new_request()
        refused = await simulation.book('a', request)
        assert refused.execution is Execution.NOT_RUN
        again = await simulation.book('b', new_request(request.key))
        assert again.outcome
        assert not again.is_repeated

    run_checked(scenario)


def test_request_is_not_run_in_an_outage_before_its_claim():
    async def scenario(simulation):
        simulation.key_value.down_until = now() + 5
        answer = await simulation.book('a', new_request())
        assert answer.execution is Execution.NOT_RUN
        assert simulation.key_value.writes == 0

    run_checked(scenario)


def test_outcome_is_answered_even_if_it_cannot_be_recorded():
    async def scenario(simulation):
        async def outage(instance, run, step):
            if step.value == 'record':
                simulation.key_value.down_until = now() + 300

        simulation.on_step = outage
        request = new_request()
        answer = await simulation.book('a', request)
        assert answer.outcome
        assert not answer.is_recorded
        await curio.sleep(400)
        listed = await list_claims(simulation.key_value, unresolved_only=True)
        keys = [record.key for record in listed.unwrap().records]
        assert keys == [request.key]

    run_checked(scenario)


def test_late_claim_is_released_by_its_own_attempt():
    async def scenario(simulation):
        simulation.key_value.write_faults.extend(['late'] * 3)
        request = new_request()
        answer = await simulation.book('a', request)
        assert answer.failure.code == 'claim_unconfirmed'
        assert answer.execution is Execution.UNKNOWN
        await curio.sleep(10)
        again = await simulation.book('b', new_request(request.key))
        assert again.outcome

    run_checked(scenario)


def test_budget_bounds_the_writes():
    async def scenario(simulation):
        answers = [await simulation.book('a', new_request()) for _ in range(20)]
        refused = [answer for answer in answers if answer.failure]
        assert refused
        for answer in refused:
            assert answer.failure.status == 429
            assert answer.execution is Execution.NOT_RUN
        assert simulation.key_value.writes == 2 * (len(answers) - len(refused))

    run_checked(scenario, writes_per_second=10)


def _settlement(key, resolution):
    return Settlement(SERVICE, key, resolution, 'ana', 'asked the counter')


@pytest.mark.parametrize('resolution', [Execution.RAN, Execution.NOT_RUN])
def test_settled_key_is_not_run_again_and_keeps_its_history(resolution):
    async def scenario(simulation):
        simulation.leaf.reply_faults.append('cut')
        request = new_request()
        await simulation.book('a', request)
        settlement = _settlement(request.key, resolution)
        young = await settle(simulation.key_value, settlement, wall_time())
        assert young.unwrap_err().code == 'claim_too_young'
        await curio.sleep(200)
        settled = await settle(simulation.key_value, settlement, wall_time())
        entry = settled.unwrap().history[-1]
        assert (entry.who, entry.why) == ('ana', 'asked the counter')
        again = await settle(simulation.key_value, settlement, wall_time())
        assert again.unwrap_err().code == 'claim_resolved'
        answer = await simulation.instances['a'].engine.book(
            new_request(request.key)
        )
        assert answer.failure.code == 'settled'
        assert answer.execution is resolution

    run_checked(scenario)


def test_concurrent_settlement_is_a_conflict():
    async def scenario(simulation):
        simulation.leaf.reply_faults.append('cut')
        request = new_request()
        await simulation.book('a', request)
        await curio.sleep(200)
        tasks = [
            await curio.spawn(
                settle,
                simulation.key_value,
                _settlement(request.key, resolution),
                wall_time(),
            )
            for resolution in (Execution.RAN, Execution.NOT_RUN)
        ]
        outcomes = [await task.join() for task in tasks]
        refused = [each for each in outcomes if isinstance(each, Err)]
        assert len(refused) == 1
        assert refused[0].err_value.status == 409

    run_checked(scenario)


def test_late_outcome_replaces_a_settlement():
    settled = []

    async def scenario(simulation):
        async def settle_first(instance, run, step):
            if step.value == 'record' and not settled:
                key = run.booking.request.key
                settlement = _settlement(key, Execution.NOT_RUN)
                later_s = wall_time() + 300
                settled.append(
                    await settle(simulation.key_value, settlement, later_s)
                )

        simulation.on_step = settle_first
        request = new_request()
        assert (await simulation.book('a', request)).is_recorded
        assert settled[0].is_ok()
        found = await find_claim(simulation.key_value, SERVICE, request.key)
        record = found.unwrap()[0]
        assert record.state is ClaimState.RECORDED
        assert [entry.who for entry in record.history] == ['ana', 'a']

    run_checked(scenario)


def test_expired_claims_are_removed_unless_unresolved():
    async def scenario(simulation):
        simulation.leaf.reply_faults.append('cut')
        unresolved = new_request()
        await simulation.book('a', unresolved)
        for _ in range(30):
            await simulation.book('a', new_request())
        service = fake_document(retention_hours=48).services_by_name[SERVICE]
        engines = BookingEngines(simulation.key_value, 'a', 'north')
        engines.budget = BookingBudget(20)
        await curio.sleep(DAY_S)
        assert await engines.remove_expired(service) == 0
        await curio.sleep(1.5 * DAY_S)
        recent = new_request()
        await simulation.book('a', recent)
        removed = []
        for _ in range(60):
            removed.append(await engines.remove_expired(service))
            await curio.sleep(10)
        assert sum(removed) == 30
        assert max(removed) <= 10
        kept = set(simulation.key_value.entries)
        assert kept == {
            storage_key(SERVICE, request.key)
            for request in (unresolved, recent)
        }

    run_checked(scenario, document=fake_document(retention_hours=48))


def test_unreadable_record_is_listed_and_never_run():
    async def scenario(simulation):
        request = new_request()
        stored = storage_key(SERVICE, request.key)
        await simulation.key_value.compare_and_swap(stored, b'7', 0)
        answer = await simulation.book('a', request)
        assert answer.execution is Execution.UNKNOWN
        listed = await list_claims(simulation.key_value, unresolved_only=True)
        assert listed.unwrap().unreadable == (stored,)
        assert decode_record(b'7').is_err()
        await simulation.key_value.delete(stored, 1)
        simulation.given_answers.clear()

    run_checked(scenario)


def test_engines_are_updated_to_a_new_document():
    async def scenario(simulation):
        engines = BookingEngines(simulation.key_value, 'a', 'north')
        document = fake_document(writes=80)
        await engines.update(document)
        assert set(engines.engines_by_service) == {SERVICE}
        assert engines.budget.writes_per_second == 10
        engine = engines.engines_by_service[SERVICE]
        await engines.update(fake_document(leafs=3))
        assert len(engine.pools_by_leaf) == 3
        await engines.update(attrs.evolve(document, services_by_name={}))
        assert engines.engines_by_service == {}

    run_checked(scenario)


def test_new_keys_sort_by_their_time():
    keys = [new_key(1_800_000_000 + number) for number in range(5)]
    assert keys == sorted(keys)
