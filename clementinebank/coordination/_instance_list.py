"""Interface and HTTP client of the platform's instance list."""

import json
from typing import Any, Protocol

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.errors import Failure, Step
from clementinebank.http import HttpProtocolError, HttpRequest, fetch
from clementinebank.membership import ListedInstance
from clementinebank.validation import Address, FieldReader

LIST_TIMEOUT_S = 2.0
LISTED_STATES = ('live', 'leaving')

Listed = Result[list[ListedInstance], Failure]


class InstanceList(Protocol):
    """Interface of the platform's instance list.

    The list lags behind the starts and ends of instances.
    """

    calls: int

    async def instances(self) -> Listed:
        """Read the list and return its instances or the failure."""
        ...


@attrs.define
class HttpInstanceList:
    """Client of the instance list over HTTP/1.1.

    Parameters
    ----------
    address : Address
        Address at which the list is served.
    timeout_s : float
        Time limit of a call in seconds.
    calls : int
        Number of calls that were started.
    """

    address: Address
    timeout_s: float = LIST_TIMEOUT_S
    calls: int = 0

    async def instances(self) -> Listed:
        """Read the list and return its instances or the failure."""
        self.calls += 1
        request = HttpRequest('GET', '/v1/instances')
        host, port = self.address.host, self.address.port
        try:
            response = await fetch(host, port, request, self.timeout_s)
        except curio.TaskTimeout:
            return self._unavailable(f'no answer within {self.timeout_s} s')
        except (OSError, HttpProtocolError) as error:
            return self._unavailable(str(error))
        if response.status != 200:
            return self._unavailable(f'status {response.status}')
        return self._decode(response.body)

    def _decode(self, body: bytes) -> Listed:
        try:
            raw = json.loads(body)['instances']
        except (ValueError, KeyError, TypeError) as error:
            return self._unavailable(f'malformed answer: {error!r}')
        if not isinstance(raw, list):
            return self._unavailable(
                'malformed answer: "instances" is not a list'
            )
        reader = FieldReader({})
        listed = [
            _read_instance(FieldReader(each, problems=reader.problems))
            for each in raw
        ]
        if reader.problems:
            return self._unavailable(f'malformed answer: {reader.problems[0]}')
        return Ok(listed)

    def _unavailable(self, message: str) -> Err[Failure]:
        return Err(
            Failure(
                'instance_list_unavailable',
                message,
                Step.PROBE,
                peer=str(self.address),
            )
        )


def _read_instance(reader: Any) -> ListedInstance:
    return ListedInstance(
        instance_id=reader.text('instance_id'),
        address=reader.address('address'),
        data_centre=reader.text('data_centre'),
        is_leaving=reader.text('state', choices=LISTED_STATES) == 'leaving',
    )
