"""Server that gathers requests for other instances."""

from collections.abc import Awaitable, Callable

import attrs
import curio
from eliot import log_message
from result import Err

from clementinebank.aggregation._messages import (
    GatherOutcome,
    GatherRequest,
    decode_request,
    encode_outcome,
)
from clementinebank.clock import now
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import ForwardRequest
from clementinebank.metrics import Metrics, names
from clementinebank.routes import Route, ScatterGather

# Gatherings at the same time; each has calls to leafs of all its services.
MAX_IN_FLIGHT = 64
# Longest time for which a gathering may run, below the time limit of a call.
MAX_DEADLINE_S = 9.0
DRAIN_CHECK_INTERVAL_S = 0.02

Gather = Callable[[ForwardRequest, Route], Awaitable[GatherOutcome]]
HasService = Callable[[str], bool]


@attrs.define(eq=False)
class AggregationService:
    """Server of the ``Gather`` method.

    Load patterns that it answers: more requests than it can gather are refused
    at once as not run, so that their entry instances try elsewhere; a
    stopping instance refuses new ones and finishes those that it has.

    Parameters
    ----------
    gather : callable
        Coroutine function that gathers a request on a route.
    has_service : callable
        Returns whether leafs of a service are known.
    metrics : Metrics
        Counts the requests by outcome.
    is_accepting : bool
        Whether new requests are gathered.
    in_flight : int
        Requests that are being gathered.
    """

    gather: Gather
    has_service: HasService
    metrics: Metrics
    is_accepting: bool = False
    in_flight: int = 0

    async def handle_gather(self, payload: bytes) -> bytes:
        """Return the encoded outcome of one encoded request.

        Raises
        ------
        RpcProtocolError
            If the payload is not a valid request.
        """
        request = decode_request(payload)
        refusal = self._refusal_of(request)
        if refusal is not None:
            self._count(refusal.code)
            log_message(
                message_type='aggregation:refused',
                request_id=request.request_id,
                code=refusal.code,
                in_flight=self.in_flight,
            )
            return encode_outcome(Err(refusal))
        self.in_flight += 1
        try:
            outcome = await self._run(request)
        finally:
            self.in_flight -= 1
        self._count('failed' if isinstance(outcome, Err) else 'gathered')
        return encode_outcome(outcome)

    async def drain(self, timeout_s: float) -> int:
        """Wait until all requests have ended.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        int
            Number of requests that have not ended after the wait.
        """
        end = now() + timeout_s
        while self.in_flight and now() < end:
            await curio.sleep(DRAIN_CHECK_INTERVAL_S)
        return self.in_flight

    async def _run(self, request: GatherRequest) -> GatherOutcome:
        deadline = now() + min(MAX_DEADLINE_S, request.deadline_s)
        forwarded = ForwardRequest(
            request.request_id,
            deadline,
            request.http_request,
            request.account,
            request.priority,
            request.regions,
        )
        return await self.gather(forwarded, request.route)

    def _refusal_of(self, request: GatherRequest) -> Failure | None:
        """Return why a request isn't gathered, ``None`` if it is."""
        if not self.is_accepting:
            return _refusal('not_accepting', 'the instance starts or stops')
        if self.in_flight >= MAX_IN_FLIGHT:
            return _refusal(
                'overloaded', f'{self.in_flight} requests are being gathered'
            )
        scatter_gather = request.route.scatter_gather
        if scatter_gather and not self._covers(scatter_gather):
            return _refusal(
                'unknown_services', 'leafs of too few services are known'
            )
        return None

    def _covers(self, scatter_gather: ScatterGather) -> bool:
        """Return whether leafs of enough services for an answer are known."""
        services = scatter_gather.services
        known_count = sum(map(self.has_service, services))
        return known_count >= scatter_gather.min_share * len(services)

    def _count(self, outcome: str) -> None:
        self.metrics.add(names.GATHERINGS, outcome=outcome)


def _refusal(code: str, message: str) -> Failure:
    return Failure(code, message, Step.ADMIT, execution=Execution.NOT_RUN)
