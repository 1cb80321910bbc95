"""Client of the aggregators, with a few connections to each."""

from collections.abc import Callable

import attrs
from result import Err

from clementinebank.aggregation._messages import (
    GatherOutcome,
    GatherRequest,
    decode_outcome,
    encode_request,
)
from clementinebank.errors import Execution, Step
from clementinebank.rpc import (
    CALL_ERRORS,
    CallDeadlines,
    RpcChannel,
    failure_from_error,
)
from clementinebank.validation import Address

GATHER_PATH = '/clementinebank.Aggregation/Gather'
# Idle connections that are kept to one aggregator.
MAX_IDLE_CHANNELS = 2
BAD_GATEWAY = 502


@attrs.define(eq=False)
class AggregationClient:
    """Client that asks aggregators to gather requests.

    Parameters
    ----------
    create_channel : callable
        Returns a new channel to an address.
    """

    create_channel: Callable[[Address], RpcChannel] = RpcChannel
    _idle_by_address: dict[Address, list[RpcChannel]] = attrs.Factory(dict)

    async def gather(
        self, address: Address, request: GatherRequest, deadlines: CallDeadlines
    ) -> GatherOutcome:
        """Ask an aggregator and return the answer or why there is none.

        A call that is cancelled closes its connection, at which the aggregator
        ends its work.

        Parameters
        ----------
        address : Address
            Where the aggregator answers.
        request : GatherRequest
            Request to gather.
        deadlines : CallDeadlines
            When the aggregator must have accepted and answered.

        Returns
        -------
        Result
            The answer; or a failure, which states that nothing ran if the
            aggregator refused the request or didn't accept it in time.
        """
        payload = encode_request(request)
        idle = self._idle_by_address.setdefault(address, [])
        channel = idle.pop() if idle else self.create_channel(address)
        try:
            outcome: GatherOutcome = await channel.call_when_accepted(
                deadlines, GATHER_PATH, payload, decode_outcome
            )
        except CALL_ERRORS as error:
            failure = failure_from_error(error, Step.DISPATCH, str(address))
            if channel.is_handled:
                failure = attrs.evolve(
                    failure, execution=Execution.UNKNOWN, status=BAD_GATEWAY
                )
            return Err(failure)
        if len(idle) < MAX_IDLE_CHANNELS:
            idle.append(channel)
        else:
            await channel.close()
        return outcome

    async def retain(self, addresses: set[Address]) -> None:
        """Close the idle connections to all other addresses."""
        for address in self._idle_by_address.keys() - addresses:
            for channel in self._idle_by_address.pop(address):
                await channel.close()
