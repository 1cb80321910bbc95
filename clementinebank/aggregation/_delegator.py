"""Forwards requests of callers, by aggregators or by this instance."""

import attrs
from eliot import log_message
from result import Err, Result

from clementinebank.aggregation._client import AggregationClient
from clementinebank.aggregation._messages import GatherOutcome, GatherRequest
from clementinebank.aggregation._selector import AggregatorSelector
from clementinebank.clock import now
from clementinebank.dispatch import TraceEvent
from clementinebank.errors import Execution, Failure
from clementinebank.forwarding import (
    CALLER_RESERVE_S,
    Answer,
    ForwardingEngine,
    ForwardRequest,
    OnRequestEnd,
)
from clementinebank.relay import RelayDirectory
from clementinebank.routes import Route
from clementinebank.rpc import CallDeadlines
from clementinebank.validation import Address

MS_PER_S = 1000
# Share of the latency objective within which an aggregator accepts a request.
# A busy aggregator accepts late, so that its requests go elsewhere.
ACCEPT_SHARE = 0.15
# Least time for the acceptance beyond the round trips.
MIN_ACCEPT_S = 0.02
# Round trips until the acceptance: connect and call.
ROUND_TRIPS = 2
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

    The aggregators are asked one after the other. An aggregator that refuses
    or doesn't accept a request in time never begins it, so that the next one,
    or at last this instance, gathers the answers without repeating a call. A
    request whose aggregator fails later may have run; it fails at once, since
    each leaf of a service may run it only ``max_attempts`` times.

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
            engine.directory.evacuated_data_centres,
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
            route.scatter_gather.services, now(), request.regions
        )
        if not candidates:
            return await self.engine.forward(request, route)
        run = _DelegatedRun(self, request, route)
        try:
            outcome = await run.ask_all(candidates)
        except BaseException:
            run.trace_event('abandoned')
            run.report_end()
            raise
        if outcome is None:
            log_message(
                message_type='aggregation:gathers_locally',
                request_id=request.request_id,
                passed_over=run.passed_over(),
            )
            # The engine reports the end of the request itself.
            return await self.engine.forward(
                request, run.remaining_route(delay_s=0)
            )
        run.report_end()
        return outcome


@attrs.define(eq=False)
class _DelegatedRun:
    """One request that aggregators are asked to gather."""

    delegator: Delegator
    request: ForwardRequest
    route: Route
    _started_at: float = attrs.Factory(now)
    _trace: list[TraceEvent] = attrs.Factory(list)

    async def ask_all(
        self, candidates: list[tuple[Address, float]]
    ) -> GatherOutcome | None:
        """Ask one aggregator after the other.

        Returns
        -------
        Result or None
            The answer, or the failure of a gathering that may have called
            leafs or whose leafs are at their rate limits; ``None`` if no
            aggregator has begun the request.
        """
        for address, delay_s in candidates:
            outcome = await self._ask(address, delay_s)
            if not isinstance(outcome, Err):
                self.trace_event('gathered', missing=outcome.ok_value.missing)
                return outcome
            failure = outcome.err_value
            # If it is known when to try again, the leafs are at their rate
            # limits, for which no other instance has more tokens.
            is_at_limits = failure.retry_after_s is not None
            if is_at_limits or failure.execution is not Execution.NOT_RUN:
                self.trace_event(
                    'refused', reason=failure.message, status=failure.status
                )
                return outcome
            self.trace_event(
                'passed_over', aggregator=str(address), reason=failure.code
            )
        return None

    def remaining_route(self, delay_s: float) -> Route:
        """Return the route with the rest of its times as objective and timeout.

        Parameters
        ----------
        delay_s : float
            One-way delay to the instance that gathers the answers, in
            seconds. The objective leaves time for both ways.
        """
        elapsed_s = now() - self._started_at
        return attrs.evolve(
            self.route,
            objective_s=self.route.objective_s - elapsed_s - 2 * delay_s,
            timeout_s=self.route.timeout_s - elapsed_s - delay_s,
        )

    def trace_event(self, event: str, **facts: object) -> None:
        """Add an event to the trace of the request."""
        offset_ms = (now() - self._started_at) * MS_PER_S
        self._trace.append(TraceEvent(offset_ms, event, facts))

    def passed_over(self) -> list[dict[str, object]]:
        """Return the aggregators that didn't begin the request, and why."""
        return [
            event.facts for event in self._trace if event.event == 'passed_over'
        ]

    def report_end(self) -> None:
        """Report the end of the request with its trace."""
        on_end = self.delegator.on_request_end
        if on_end is not None:
            on_end(
                self.request, self.route, self._trace, now() - self._started_at
            )

    async def _ask(self, address: Address, delay_s: float) -> GatherOutcome:
        """Ask one aggregator; pause it if it has failed itself."""
        self.trace_event('delegated', aggregator=str(address))
        accept_s = max(MIN_ACCEPT_S, ACCEPT_SHARE * self.route.objective_s)
        finish_at = min(
            self.request.deadline - CALLER_RESERVE_S,
            self._started_at + self.route.timeout_s,
        )
        message = GatherRequest(
            self.request.request_id,
            finish_at - now() - delay_s,
            self.request.http_request,
            self.remaining_route(delay_s),
            self.request.account,
            self.request.priority,
            self.request.regions,
        )
        outcome = await self.delegator.client.gather(
            address,
            message,
            CallDeadlines(
                now() + ROUND_TRIPS * 2 * delay_s + accept_s, finish_at
            ),
        )
        selector = self.delegator.selector
        if not isinstance(outcome, Err):
            selector.on_success(address)
        elif outcome.err_value.code in PAUSING_CODES:
            log_message(
                message_type='aggregation:paused',
                request_id=self.request.request_id,
                aggregator=str(address),
                reason=str(outcome.err_value),
                seconds=selector.on_failure(address, now()),
            )
        return outcome
