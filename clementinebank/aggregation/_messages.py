"""Messages between an entry instance and an aggregator, and their encoding.

``aggregation_pb2.py`` is generated from ``aggregation.proto`` in this directory
with ``python -m grpc_tools.protoc -I. --python_out=. --pyi_out=.
aggregation.proto``.
"""

import attrs
from google.protobuf.message import DecodeError
from result import Err, Ok, Result

from clementinebank.aggregation import aggregation_pb2
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import MergedAnswer
from clementinebank.http import HttpRequest
from clementinebank.routes import Route, RouteKind, ScatterGather
from clementinebank.rpc import RpcProtocolError

PROTOCOL_VERSION = 1
MS_PER_S = 1000
# Statuses that a failed gathering may give to the caller.
FAILURE_STATUSES = frozenset((502, 503, 504))

RawMessage = aggregation_pb2.GatherRequest | aggregation_pb2.GatherReply


@attrs.frozen
class GatherRequest:
    """Request of a caller whose answers an aggregator gathers.

    Parameters
    ----------
    request_id : str
        Id that the caller gave the request.
    deadline_s : float
        Time left until the caller stops waiting, in seconds.
    http_request : HttpRequest
        HTTP request of the caller.
    route : Route
        Scatter-gather route of the request; its objective is the time that is
        left of it, in seconds.
    account : str
        Client account of the caller; empty if the deployment has none.
    priority : int
        Priority of the request; 0 is the highest.
    regions : frozenset of str or None
        Regions that may run the request; ``None`` allows all.
    """

    request_id: str
    deadline_s: float
    http_request: HttpRequest
    route: Route
    account: str = ''
    priority: int = 0
    regions: frozenset[str] | None = None


GatherOutcome = Result[MergedAnswer, Failure]


def encode_request(request: GatherRequest) -> bytes:
    """Return the protobuf encoding of a request.

    Raises
    ------
    ValueError
        If the route is no scatter-gather route.
    """
    route = request.route
    message = request.http_request
    if route.scatter_gather is None:
        raise ValueError(f'route {route.name!r} has no scatter_gather')
    return aggregation_pb2.GatherRequest(
        protocol_version=PROTOCOL_VERSION,
        request_id=request.request_id,
        deadline_ms=_to_ms(request.deadline_s),
        method=message.method,
        target=message.target,
        headers=[
            aggregation_pb2.Header(name=name, value=value)
            for name, value in message.headers.items()
        ],
        body=message.body,
        route=route.name,
        services=route.scatter_gather.services,
        max_records=route.scatter_gather.max_records,
        min_share=route.scatter_gather.min_share,
        objective_ms=_to_ms(route.objective_s),
        max_attempts=route.max_attempts,
        account=request.account,
        priority=request.priority,
        has_regions=request.regions is not None,
        regions=sorted(request.regions or ()),
    ).SerializeToString()


def decode_request(payload: bytes) -> GatherRequest:
    """Return the request that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed or a field is missing or out of range; the
        message names the field.
    """
    raw = aggregation_pb2.GatherRequest()
    _parse(raw, payload)
    _require_fields(raw)
    scatter_gather = ScatterGather(
        tuple(raw.services), raw.max_records, raw.min_share
    )
    deadline_s = raw.deadline_ms / MS_PER_S
    headers = {header.name: header.value for header in raw.headers}
    return GatherRequest(
        raw.request_id,
        deadline_s,
        HttpRequest(raw.method, raw.target, headers, raw.body),
        Route(
            raw.route,
            '',
            '/',
            RouteKind.SAFE,
            deadline_s,
            raw.objective_ms / MS_PER_S,
            scatter_gather=scatter_gather,
            max_attempts=raw.max_attempts,
        ),
        raw.account,
        raw.priority,
        frozenset(raw.regions) if raw.has_regions else None,
    )


def encode_outcome(outcome: GatherOutcome) -> bytes:
    """Return the protobuf encoding of an answer or a failure."""
    reply = aggregation_pb2.GatherReply(protocol_version=PROTOCOL_VERSION)
    if isinstance(outcome, Err):
        failure = outcome.err_value
        reply.failure.CopyFrom(
            aggregation_pb2.GatherFailure(
                code=failure.code,
                message=failure.message,
                execution=failure.execution.value,
                status=failure.status,
                retry_after_ms=round((failure.retry_after_s or 0) * MS_PER_S),
            )
        )
    else:
        answer = outcome.ok_value
        reply.signatures.extend(answer.signatures)
        reply.missing = answer.missing
        reply.records = answer.body
    return reply.SerializeToString()


def decode_outcome(payload: bytes) -> GatherOutcome:
    """Return the answer or the failure that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed; the message names the field.
    """
    raw = aggregation_pb2.GatherReply()
    _parse(raw, payload)
    if raw.HasField('failure'):
        return Err(_decode_failure(raw.failure))
    if not raw.signatures:
        raise RpcProtocolError('signatures is empty')
    return Ok(MergedAnswer(tuple(raw.signatures), raw.missing, raw.records))


def _require_fields(raw: aggregation_pb2.GatherRequest) -> None:
    """Check the fields of a request that must be set or are bounded."""
    for name in (
        'request_id',
        'deadline_ms',
        'method',
        'target',
        'services',
        'max_records',
        'objective_ms',
        'max_attempts',
    ):
        if not getattr(raw, name):
            raise RpcProtocolError(f'{name} is missing')
    if len(set(raw.services)) != len(raw.services):
        raise RpcProtocolError('services names a service twice')
    if not 0 <= raw.min_share <= 1:
        raise RpcProtocolError(f'min_share must be 0 to 1, got {raw.min_share}')


def _decode_failure(raw: aggregation_pb2.GatherFailure) -> Failure:
    executions = {each.value: each for each in Execution}
    if raw.execution not in executions:
        raise RpcProtocolError(
            f'failure.execution is unknown: {raw.execution!r}'
        )
    if raw.status not in FAILURE_STATUSES:
        raise RpcProtocolError(f'failure.status is unknown: {raw.status}')
    return Failure(
        raw.code,
        raw.message,
        Step.DISPATCH,
        execution=executions[raw.execution],
        status=raw.status,
        retry_after_s=raw.retry_after_ms / MS_PER_S or None,
    )


def _parse(raw: RawMessage, payload: bytes) -> None:
    try:
        raw.ParseFromString(payload)
    except DecodeError as error:
        raise RpcProtocolError(f'malformed message: {error}') from error
    if raw.protocol_version < 1:
        raise RpcProtocolError('protocol_version is missing')


def _to_ms(seconds: float) -> int:
    return max(1, int(seconds * MS_PER_S))
