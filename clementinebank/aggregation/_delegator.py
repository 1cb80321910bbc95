"""Forwards requests of callers, by aggregators or by this instance."""

from typing import Any

import attrs
import curio
from eliot import log_message
from result import Err, Ok, Result

from clementinebank.aggregation._client import AggregationClient
from clementinebank.aggregation._delegation import (
    AskAggregator,
    Delegation,
    DelegationAction,
    DropAttempt,
    GatherLocally,
    PauseAggregator,
)
from clementinebank.aggregation._messages import GatherOutcome, GatherRequest
from clementinebank.aggregation._selector import AggregatorSelector
from clementinebank.clock import get_before, now
from clementinebank.dispatch import Finish, Refuse
from clementinebank.errors import Failure
from clementinebank.forwarding import (
    CALLER_RESERVE_S,
    Answer,
    ForwardingEngine,
    ForwardRequest,
    OnRequestEnd,
)
from clementinebank.relay import RelayDirectory
from clementinebank.routes import Route
from clementinebank.validation import Address

# Share of the latency objective within which an aggregator accepts a request.
# An aggregator that runs accepts after one round trip.
ACCEPT_SHARE = 0.2
# Least time for the acceptance beyond the round trip: connecting takes another
# one, and a process whose processor quota is used up waits for the next tenth
# of a second.
MIN_ACCEPT_S = 0.02
# Codes of failures of the aggregator itself, not of the leafs that it called.
PAUSING_CODES = frozenset(
    (
        'peer_timeout',
        'peer_unreachable',
        'peer_protocol',
        'not_accepting',
        'overloaded',
        'unknown_services',
    )
)


@attrs.define(eq=False)
class Delegator:
    """Forwarder that hands scatter-gather requests to aggregators.

    Parameters
    ----------
    engine : ForwardingEngine
        Forwards all other requests, and those that no aggregator gathers.
    relays : RelayDirectory
        Registered aggregators.
    selector : AggregatorSelector
        Chooses the aggregators of a request.
    client : AggregationClient
        Asks aggregators.
    on_request_end : callable or None
        Called when a delegated request has ended, with the request, its
        route, its trace and its duration in seconds.
    """

    engine: ForwardingEngine
    relays: RelayDirectory
    selector: AggregatorSelector
    client: AggregationClient = attrs.Factory(AggregationClient)
    on_request_end: OnRequestEnd | None = None

    async def update(self) -> None:
        """Apply the registered aggregators, leafs and routes."""
        engine = self.engine
        self.selector.update(
            self.relays.aggregators_by_data_centre,
            engine.directory.records_by_id.values(),
        )
        aggregators = self.selector.addresses_for(engine.aggregated_services())
        engine.set_fleet(
            self.relays.fleet_size(now()),
            len(aggregators),
            is_aggregator=self.selector.address in aggregators,
        )
        await self.client.retain(aggregators)
        await engine.update()

    async def forward(
        self, request: ForwardRequest, route: Route
    ) -> Result[Answer, Failure]:
        """Return the answer to a request or a failure by its deadline."""
        if route.scatter_gather is None:
            return await self.engine.forward(request, route)
        candidates = self.selector.candidates(
            route.scatter_gather.services, now()
        )
        if not candidates:
            return await self.engine.forward(request, route)
        started_at = now()
        delegation = _create_delegation(request, route, candidates)
        run = _DelegatedRun(self, request, route, delegation, dict(candidates))
        try:
            return await run.run()
        finally:
            if self.on_request_end is not None:
                self.on_request_end(
                    request, route, delegation.trace, now() - started_at
                )


def _create_delegation(
    request: ForwardRequest,
    route: Route,
    candidates: list[tuple[Address, float]],
) -> Delegation:
    started_at = now()
    farthest_s = max(delay_s for _, delay_s in candidates)
    return Delegation(
        [address for address, _ in candidates],
        2 * farthest_s + max(MIN_ACCEPT_S, ACCEPT_SHARE * route.objective_s),
        started_at + route.objective_s,
        min(request.deadline - CALLER_RESERVE_S, started_at + route.timeout_s),
        started_at,
    )


@attrs.define(eq=False)
class _DelegatedRun:
    """Runner of one delegated request, which performs its actions."""

    delegator: Delegator
    request: ForwardRequest
    route: Route
    delegation: Delegation
    delays_s_by_address: dict[Address, float]
    result: Result[Answer, Failure] | None = None
    # Triples of attempt id, event and outcome.
    _events: Any = attrs.field(factory=curio.Queue)
    _tasks_by_attempt: dict[int, Any] = attrs.Factory(dict)

    async def run(self) -> Result[Answer, Failure]:
        """Run the request; a cancellation ends all its attempts."""
        delegation = self.delegation
        try:
            await self._perform(delegation.start(now()))
            while self.result is None:
                outcome = await get_before(delegation.next_wakeup, self._events)
                if outcome is None:
                    await self._perform(delegation.on_time(now()))
                else:
                    await self._perform(self._on_outcome(*outcome))
        finally:
            async with curio.disable_cancellation():
                for task in self._tasks_by_attempt.values():
                    await task.cancel(blocking=False)
        return self.result

    def _on_outcome(
        self, attempt_id: int, outcome: Result[Any, Failure]
    ) -> list[DelegationAction]:
        self._tasks_by_attempt.pop(attempt_id, None)
        if isinstance(outcome, Err):
            return self.delegation.on_failure(
                attempt_id, outcome.err_value, now()
            )
        return self.delegation.on_answer(attempt_id, outcome.ok_value, now())

    async def _perform(self, actions: list[DelegationAction]) -> None:
        for action in actions:
            match action:
                case AskAggregator():
                    await self._start(action.attempt_id, self._ask, action)
                case GatherLocally():
                    await self._start(action.attempt_id, self._gather, action)
                case DropAttempt():
                    await self._drop(action.attempt_id)
                case PauseAggregator():
                    self._pause(action.address, action.reason)
                case Finish():
                    self.result = Ok(action.answer)
                case Refuse():
                    self.result = Err(action.failure)

    async def _start(self, attempt_id: int, corofunc: Any, action: Any) -> None:
        self._tasks_by_attempt[attempt_id] = await curio.spawn(
            corofunc, action, daemon=True
        )

    async def _drop(self, attempt_id: int) -> None:
        task = self._tasks_by_attempt.pop(attempt_id, None)
        if task is not None:
            await task.cancel(blocking=False)

    async def _ask(self, action: AskAggregator) -> None:
        """Ask an aggregator and pass its outcome to the request."""
        outcome = await self.delegator.client.gather(
            action.address,
            self._create_message(action),
            lambda: self.delegation.on_accepted(action.attempt_id, now()),
        )
        if isinstance(outcome, Ok):
            self.delegator.selector.on_success(action.address)
        elif outcome.err_value.code in PAUSING_CODES:
            self._pause(action.address, str(outcome.err_value))
        await self._events.put((action.attempt_id, outcome))

    async def _gather(self, action: GatherLocally) -> None:
        outcome: GatherOutcome = await self.delegator.engine.gather(
            self.request, self.route, action.is_repeat
        )
        await self._events.put((action.attempt_id, outcome))

    def _create_message(self, action: AskAggregator) -> GatherRequest:
        """Return the message to an aggregator, with the time that is left.

        The deadline leaves time for the reply to come back, the objective for
        both ways.
        """
        delay_s = self.delays_s_by_address[action.address]
        elapsed_s = now() - self.delegation.started_at
        route = attrs.evolve(
            self.route,
            objective_s=self.route.objective_s - elapsed_s - 2 * delay_s,
        )
        deadline_s = self.delegation.finish_at - now() - delay_s
        return GatherRequest(
            self.request.request_id,
            deadline_s,
            self.request.http_request,
            route,
            action.is_repeat,
        )

    def _pause(self, address: Address, reason: str) -> None:
        pause_s = self.delegator.selector.on_failure(address, now())
        log_message(
            message_type='aggregation:paused',
            request_id=self.request.request_id,
            aggregator=str(address),
            reason=reason,
            seconds=pause_s,
        )
