"""HTTP calls of the tool to instances."""

import json
from collections.abc import Iterable
from typing import Any

import attrs
import curio
from result import Err, Ok, Result

from clementinebank.errors import Execution, Failure, Step
from clementinebank.http import (
    HttpProtocolError,
    HttpRequest,
    fetch,
    json_request,
)

CALL_TIMEOUT_S = 10.0


@attrs.frozen
class Reply:
    """JSON reply of an instance.

    Parameters
    ----------
    status : int
        HTTP status.
    data : object
        Decoded body.
    """

    status: int
    data: Any


def call(
    address: str,
    method: str,
    target: str,
    body: Any = None,
    timeout_s: float = CALL_TIMEOUT_S,
    headers: dict[str, str] | None = None,
) -> Result[Reply, Failure]:
    """Call one instance and wait for its JSON reply.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of a listener.
    method, target : str
        HTTP method and target.
    body : object, optional
        JSON body.
    timeout_s : float
        Longest time of the call in seconds.
    headers : dict of str to str, optional
        Further headers.

    Returns
    -------
    Result[Reply, Failure]
        Reply with any HTTP status; a failure if the address is invalid, no
        reply arrives in time or the reply is not JSON.
    """
    host, _, port = address.rpartition(':')
    if not port.isdigit():
        message = f'must be IP:PORT, got {address!r}'
        return Err(
            Failure('invalid_address', message, Step.ACCEPT, field='address')
        )
    request = json_request(method, target, body, headers)
    return curio.run(fetch_json, host, int(port), request, timeout_s)


async def get_from_each(
    addresses: Iterable[str], target: str, timeout_s: float
) -> dict[str, Result[Reply, Failure]]:
    """Read one target from several instances at the same time.

    Parameters
    ----------
    addresses : iterable of str
        Valid ``IP:PORT`` of listeners.
    target : str
        HTTP target.
    timeout_s : float
        Longest time of each call in seconds.

    Returns
    -------
    dict of str to Result
        Reply or failure by address.
    """
    request = json_request('GET', target)
    tasks = {}
    for address in addresses:
        host, _, port = address.rpartition(':')
        tasks[address] = await curio.spawn(
            fetch_json, host, int(port), request, timeout_s
        )
    return {peer: await task.join() for peer, task in tasks.items()}


async def fetch_json(
    host: str, port: int, request: HttpRequest, timeout_s: float
) -> Result[Reply, Failure]:
    """Send a request and decode the JSON body of its response.

    Only a refused connection is certain not to have run the request; after
    any other failure this is unknown.
    """
    peer = f'{host}:{port}'
    try:
        response = await fetch(host, port, request, timeout_s)
    except ConnectionRefusedError as error:
        return Err(_unreachable_failure(str(error), peer, Execution.NOT_RUN))
    except (OSError, HttpProtocolError, curio.TaskTimeout) as error:
        message = str(error) or 'no answer in time'
        return Err(_unreachable_failure(message, peer, Execution.UNKNOWN))
    try:
        return Ok(Reply(response.status, json.loads(response.body)))
    except ValueError:
        message = f'the reply with status {response.status} has no JSON body'
        return Err(
            Failure(
                'invalid_reply',
                message,
                Step.READ,
                peer=peer,
                execution=Execution.UNKNOWN,
            )
        )


def _unreachable_failure(
    message: str, peer: str, execution: Execution
) -> Failure:
    return Failure(
        'instance_unreachable',
        message,
        Step.DISPATCH,
        peer=peer,
        execution=execution,
    )
