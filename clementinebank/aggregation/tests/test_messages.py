"""Guards the messages between entry instances and aggregators.

A message that is malformed or lacks a field must be refused with the name of
the field and must not take the process down, and encoding must not change a
message: a service that is lost on the way would be missing from an answer that
claims to be complete.
"""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from clementinebank.aggregation import (
    GatherRequest,
    aggregation_pb2,
    decode_outcome,
    decode_request,
    encode_outcome,
    encode_request,
)
from clementinebank.errors import Execution, Failure, Step
from clementinebank.forwarding import MergedAnswer
from clementinebank.http import HttpRequest
from clementinebank.routes import Route, RouteKind, ScatterGather
from clementinebank.rpc import RpcProtocolError

ROUTE = Route(
    'r',
    '',
    '/',
    RouteKind.SAFE,
    1.5,
    0.25,
    scatter_gather=ScatterGather(('s0', 's1'), 20, 0.75),
    max_attempts=2,
)
REQUEST = GatherRequest(
    'q',
    1.5,
    HttpRequest('GET', '/a?b=c', {'host': 'h', 'x': 'y'}, b'\x00body'),
    ROUTE,
)
FAILURE = Failure(
    'code', 'why', Step.DISPATCH, execution=Execution.UNKNOWN, status=502
)


def encode_with(**changes):
    raw = aggregation_pb2.GatherRequest.FromString(encode_request(REQUEST))
    for name, value in changes.items():
        raw.ClearField(name)
        if isinstance(value, list):
            getattr(raw, name).extend(value)
        elif value is not None:
            setattr(raw, name, value)
    return raw.SerializeToString()


@pytest.mark.parametrize(
    'regions', [None, frozenset(), frozenset(('east', 'west'))]
)
def test_request_keeps_its_account_and_regions(regions):
    request = attrs.evolve(REQUEST, account='acme', priority=3, regions=regions)
    assert decode_request(encode_request(request)) == request


def test_request_keeps_every_byte_of_its_headers():
    # Header texts hold one character for each byte.
    texts = bytes(range(0x80, 0x100)).decode('latin-1')
    message = HttpRequest('GET', '/', {'x': texts})
    request = attrs.evolve(REQUEST, http_request=message)
    assert decode_request(encode_request(request)) == request


def test_messages_survive_encoding():
    assert decode_request(encode_request(REQUEST)) == REQUEST
    answer = Ok(MergedAnswer(('sig-a', 'sig-b'), 1, b'records'))
    assert decode_outcome(encode_outcome(answer)) == answer
    decoded = decode_outcome(encode_outcome(Err(FAILURE))).err_value
    assert (decoded.code, decoded.message) == ('code', 'why')
    assert decoded.execution is Execution.UNKNOWN
    assert decoded.status == 502
    assert decoded.retry_after_s is None


def test_caller_of_another_instance_learns_when_to_try_again():
    failure = attrs.evolve(FAILURE, status=503, retry_after_s=0.7)
    decoded = decode_outcome(encode_outcome(Err(failure))).err_value
    assert decoded.retry_after_s == 0.7


@pytest.mark.parametrize(
    ('field', 'bad'),
    [
        ('protocol_version', 0),
        ('request_id', ''),
        ('deadline_ms', 0),
        ('method', None),
        ('target', None),
        ('services', []),
        ('services', ['a', 'a']),
        ('max_records', 0),
        ('objective_ms', 0),
        ('max_attempts', 0),
        ('min_share', 1.5),
        ('min_share', float('nan')),
    ],
)
def test_problem_names_its_field(field, bad):
    with pytest.raises(RpcProtocolError, match=field):
        decode_request(encode_with(**{field: bad}))


@pytest.mark.parametrize(
    ('field', 'bad'), [('execution', 'maybe'), ('status', 200)]
)
def test_unknown_failure_of_an_aggregator_is_refused(field, bad):
    raw = aggregation_pb2.GatherReply.FromString(encode_outcome(Err(FAILURE)))
    setattr(raw.failure, field, bad)
    with pytest.raises(RpcProtocolError, match=field):
        decode_outcome(raw.SerializeToString())


def test_answer_without_parts_is_refused():
    empty = aggregation_pb2.GatherReply(protocol_version=1)
    with pytest.raises(RpcProtocolError, match='signatures'):
        decode_outcome(empty.SerializeToString())


def test_route_that_scatters_nothing_is_not_encoded():
    route = attrs.evolve(ROUTE, scatter_gather=None)
    with pytest.raises(ValueError, match='scatter_gather'):
        encode_request(attrs.evolve(REQUEST, route=route))


@settings(derandomize=True, database=None, max_examples=300)
@given(st.binary(max_size=200))
def test_random_bytes_are_decoded_or_refused(payload):
    for decode in (decode_request, decode_outcome):
        try:
            decode(payload)
        except RpcProtocolError as error:
            assert str(error)
