"""Simulation of instances and callers that checks guarantees of bookings."""

import contextlib
import logging

import attrs
import curio
from result import Ok

from clementinebank.booking import (
    Booking,
    BookingRun,
    ClaimState,
    DispatchMonitor,
    decode_record,
    list_claims,
)
from clementinebank.booking.tests.fakes import (
    DEADLINE_S,
    FakeInstance,
    FakeKeyValue,
    FakeLeaf,
    fake_document,
)
from clementinebank.clock import FakeClockKernel, now
from clementinebank.errors import Execution
from clementinebank.invariants import VIOLATIONS_BY_NAME

# Codes of refusals that come before the key is read or concern another body.
# Their ``not_run`` states only that the refused request was not run; another
# request with the same key may have been run.
REQUEST_ONLY_CODES = frozenset(
    (
        'key_value_unavailable',
        'deadline_passed',
        'write_budget_exhausted',
        'key_reused',
    )
)
# Time in seconds after the deadline from which an answer counts as late.
ANSWER_SLACK_S = 0.05
# Longest time in seconds to wait for the answer of an attempt that runs without
# the task that answers at the deadline.
ALONE_LIMIT_S = 20


async def no_fault(instance, run, step):
    """Do nothing: the default ``on_step``, which injects no fault."""


@attrs.frozen
class GivenAnswer:
    """Answer that a caller got to one request."""

    request: object
    answer: object
    at: float
    is_late: bool


@attrs.define(eq=False)
class Simulation:
    """Simulated instances over one key-value service and one leaf process.

    ``on_step`` is awaited before each step of an attempt, to inject faults.
    """

    clock: object
    create_booking: object = Booking
    create_dispatch_monitor: object = DispatchMonitor
    writes_per_second: float = 1000
    on_step: object = no_fault
    document: object = attrs.Factory(fake_document)
    key_value: FakeKeyValue = attrs.Factory(FakeKeyValue)
    leaf: FakeLeaf = attrs.Factory(FakeLeaf)
    instances: dict = attrs.Factory(dict)
    attempt_ids_by_request: dict = attrs.Factory(dict)
    given_answers: list = attrs.Factory(list)
    pause_ended_at: float = 0
    crashes: list = attrs.Factory(list)
    violations: dict = attrs.Factory(lambda: dict(VIOLATIONS_BY_NAME))

    async def instance(self, name):
        """Return the instance of this name, replaced if it was killed."""
        found = self.instances.get(name)
        if found is None or found.is_killed:
            found = self.instances[name] = FakeInstance(name, self)
            await found.start()
        return found

    def pause(self, seconds):
        """Advance the clock as if every process were paused."""
        self.clock.advance(seconds)
        self.pause_ended_at = now()

    async def book(self, name, request, *, alone=False):
        """Return the answer to a request, ``None`` if the instance was killed.

        With ``alone`` the attempt runs without the task that answers at the
        deadline, as if the whole process were paused at the deadline.
        """
        instance = await self.instance(name)
        if alone:
            answer = await self._book_alone(instance, request)
        else:
            answer = await instance.engine.book(request)
        if instance.is_killed:
            return None
        # An answer is allowed to be late if the process was paused after it got
        # the request.
        is_late = (
            now() > request.deadline + ANSWER_SLACK_S
            and not alone
            and self.pause_ended_at < request.deadline - DEADLINE_S
        )
        self.given_answers.append(GivenAnswer(request, answer, now(), is_late))
        return answer

    async def problems(self):
        """Return a description of each violation of a guarantee so far."""
        found = list(self.crashes)
        for key in {given.request.key for given in self.given_answers} | {
            run.key for run in self.leaf.runs
        }:
            runs = [run for run in self.leaf.runs if run.key == key]
            if len(runs) > 1:
                found.append(f'{len(runs)} executions of one key')
        for given in self.given_answers:
            found += self._problems_of_answer(given)
        for entry in self.key_value.entries.values():
            found += self._problems_of_record(entry)
        if dict(VIOLATIONS_BY_NAME) != self.violations:
            found.append(f'invariants violated: {dict(VIOLATIONS_BY_NAME)}')
        return found + await self._problems_of_listing()

    async def _book_alone(self, instance, request):
        run = BookingRun(instance.engine._new_booking(request), instance.engine)
        await curio.spawn(run.run, daemon=True)
        await curio.ignore_after(ALONE_LIMIT_S, run.answer_known.wait)
        return run.answer_now()

    def _problems_of_answer(self, given):
        runs = [run for run in self.leaf.runs if run.key == given.request.key]
        attempt_id = self.attempt_ids_by_request.get(
            given.request.request_id, '-'
        )
        answer = given.answer
        found = ['answered late'] if given.is_late else []
        if answer.execution is Execution.RAN:
            outcomes = [run.outcome for run in runs]
            if answer.outcome is None:
                # An operator stated that the request ran.
                found += [] if runs else ['stated as ran but not run']
            elif answer.outcome.content not in outcomes:
                found.append('the outcome is not what the leaf answered')
        elif answer.execution is Execution.NOT_RUN:
            if any(run.call_id.startswith(attempt_id) for run in runs):
                found.append(f'not_run but it ran: {answer.failure.code}')
            ran_before = any(run.at <= given.at for run in runs)
            if ran_before and answer.failure.code not in REQUEST_ONLY_CODES:
                found.append(f'not_run after a run: {answer.failure.code}')
        return found

    def _problems_of_record(self, entry):
        record = decode_record(entry.value).unwrap()
        runs = [
            run
            for run in self.leaf.runs
            if run.call_id.startswith(record.attempt_id)
        ]
        if record.state is ClaimState.RECORDED:
            if [run.outcome for run in runs] != [record.outcome.content]:
                return ['the record is not what the leaf answered']
        if record.state is ClaimState.RELEASED and runs:
            return ['released although the request ran']
        return []

    async def _problems_of_listing(self):
        listed = await list_claims(self.key_value, unresolved_only=True)
        if not isinstance(listed, Ok):
            return []
        listed_keys = {record.key for record in listed.ok_value.records}
        # A key in any other state needs no operator: a repeated request gets an
        # outcome or a refusal, or is run.
        unresolved_keys = {
            decode_record(entry.value).unwrap().key
            for entry in self.key_value.entries.values()
            if decode_record(entry.value).unwrap().is_unresolved
        }
        return [
            f'unresolved but not listed: {key}'
            for key in unresolved_keys - listed_keys
        ]


class CrashLog(logging.Handler):
    """Log handler that collects the crashes of tasks that nobody joins."""

    def __init__(self, crashes):
        super().__init__(logging.ERROR)
        self.crashes = crashes

    def emit(self, record):
        self.crashes.append(f'task crashed: {record.exc_info}')


@contextlib.contextmanager
def new_simulation(**variant):
    """Return a context of a kernel and a new simulation on its fake clock."""
    with FakeClockKernel() as kernel:
        simulation = Simulation(kernel.clock, **variant)
        crash_log = CrashLog(simulation.crashes)
        logger = logging.getLogger('curio')
        logger.addHandler(crash_log)
        try:
            yield kernel, simulation
        finally:
            logger.removeHandler(crash_log)


def run_simulation(scenario, **variant):
    """Run a scenario in a new simulation."""
    with new_simulation(**variant) as (kernel, simulation):
        kernel.run(scenario, simulation)
