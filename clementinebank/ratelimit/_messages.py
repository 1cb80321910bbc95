"""Messages about rate limits between instances, and their encoding.

``ratelimit_pb2.py`` is generated from ``ratelimit.proto`` in this directory
with ``python -m grpc_tools.protoc -I. --python_out=. --pyi_out=.
ratelimit.proto``.
"""

from collections.abc import Iterable, Mapping
from math import isfinite

import attrs
from google.protobuf.message import DecodeError, Message

from clementinebank.ratelimit import ratelimit_pb2
from clementinebank.ratelimit._quota_messages import (
    QuotaReport,
    QuotaVerdict,
    TightStatement,
    raw_reports,
    raw_tight,
    raw_verdicts,
    read_reports,
    read_tight,
    read_verdicts,
)
from clementinebank.ratelimit._table import LimitStatement
from clementinebank.rpc import RpcProtocolError

PROTOCOL_VERSION = 1
MS_PER_S = 1000
# Longest age that is sent, because ages have 32 bits.
MAX_AGE_MS = 2_147_483_647
# Added to the age of a statement that is passed on, for the time that a message
# is on its way. Otherwise a statement that comes back would seem newer than the
# one it repeats.
PASSING_ALLOWANCE_S = 0.05
# Bound of the statements and of the counts in a message. A message of 100
# statements has about 4 KB.
MAX_STATEMENTS = 100


@attrs.frozen
class Acquisition:
    """Request for tokens, or the reply that grants some of them.

    Parameters
    ----------
    known : tuple of LimitStatement
        Newest statements that the sender knows.
    tokens_by_leaf : mapping of str to int
        Tokens that the sender wants or grants.
    reports : tuple of QuotaReport
        What the sender has used of the quotas of accounts; in requests only.
    verdicts : tuple of QuotaVerdict
        What the sender may use of them; in replies only.
    tight : tuple of TightStatement
        Quotas that the sender knows to be used up.
    """

    known: tuple[LimitStatement, ...] = ()
    tokens_by_leaf: Mapping[str, int] = attrs.Factory(dict)
    reports: tuple[QuotaReport, ...] = ()
    verdicts: tuple[QuotaVerdict, ...] = ()
    tight: tuple[TightStatement, ...] = ()


def encode_request(request: Acquisition, now: float) -> bytes:
    """Return the protobuf encoding of a request at a runtime time."""
    return ratelimit_pb2.AcquireRequest(
        protocol_version=PROTOCOL_VERSION,
        known=_raw_statements(request.known, now, request.tight),
        wanted=_raw_counts(request.tokens_by_leaf),
        quotas=raw_reports(request.reports),
    ).SerializeToString()


def decode_request(payload: bytes, now: float) -> Acquisition:
    """Return the request that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed; the message names the field.
    """
    raw = ratelimit_pb2.AcquireRequest()
    _parse(raw, payload)
    _require_version(raw.protocol_version)
    return Acquisition(
        _read_statements(raw.known, now),
        {each.leaf_id: each.count for each in raw.wanted},
        reports=read_reports(raw.quotas),
        tight=read_tight(raw.known.tight, now),
    )


def encode_reply(reply: Acquisition, now: float) -> bytes:
    """Return the protobuf encoding of a reply at a runtime time."""
    return ratelimit_pb2.AcquireReply(
        protocol_version=PROTOCOL_VERSION,
        known=_raw_statements(reply.known, now, reply.tight),
        granted=_raw_counts(reply.tokens_by_leaf),
        quotas=raw_verdicts(reply.verdicts),
    ).SerializeToString()


def decode_reply(payload: bytes, now: float) -> Acquisition:
    """Return the reply that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed; the message names the field.
    """
    raw = ratelimit_pb2.AcquireReply()
    _parse(raw, payload)
    _require_version(raw.protocol_version)
    return Acquisition(
        _read_statements(raw.known, now),
        {each.leaf_id: each.count for each in raw.granted},
        verdicts=read_verdicts(raw.quotas),
        tight=read_tight(raw.known.tight, now),
    )


def encode_statements(
    statements: Iterable[LimitStatement],
    now: float,
    tight: Iterable[TightStatement] = (),
) -> bytes:
    """Return the encoding of statements that another message carries."""
    return _raw_statements(statements, now, tight).SerializeToString()


def decode_statements(payload: bytes, now: float) -> tuple[LimitStatement, ...]:
    """Return the statements on limits of leafs that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed; the message names the field.
    """
    raw = ratelimit_pb2.LimitStatements()
    _parse(raw, payload)
    return _read_statements(raw, now)


def decode_tight(payload: bytes, now: float) -> tuple[TightStatement, ...]:
    """Return the statements on quotas that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed; the message names the field.
    """
    raw = ratelimit_pb2.LimitStatements()
    _parse(raw, payload)
    return read_tight(raw.tight, now)


def _raw_statements(
    statements: Iterable[LimitStatement],
    now: float,
    tight: Iterable[TightStatement] = (),
) -> ratelimit_pb2.LimitStatements:
    """Return the newest statements, as many as a message may have."""
    newest = sorted(statements, key=lambda each: -each.stated_at)
    return ratelimit_pb2.LimitStatements(
        statements=[
            ratelimit_pb2.LimitStatement(
                leaf_id=each.leaf_id,
                per_s=each.per_s,
                age_ms=_age_ms(now - each.stated_at + PASSING_ALLOWANCE_S),
            )
            for each in newest[:MAX_STATEMENTS]
        ],
        tight=raw_tight(tight, now),
    )


def _read_statements(
    raw: ratelimit_pb2.LimitStatements, now: float
) -> tuple[LimitStatement, ...]:
    return tuple(
        _read_statement(each, now) for each in raw.statements[:MAX_STATEMENTS]
    )


def _read_statement(
    raw: ratelimit_pb2.LimitStatement, now: float
) -> LimitStatement:
    if not raw.leaf_id:
        raise RpcProtocolError('statements.leaf_id is missing')
    stated_at = now - raw.age_ms / MS_PER_S
    if not raw.HasField('per_s'):
        return LimitStatement(raw.leaf_id, None, stated_at)
    if not isfinite(raw.per_s) or raw.per_s < 0:
        raise RpcProtocolError(
            f'statements.per_s must be 0 or more, got {raw.per_s}'
        )
    return LimitStatement(raw.leaf_id, raw.per_s, stated_at)


def _raw_counts(
    tokens_by_leaf: Mapping[str, int],
) -> list[ratelimit_pb2.TokenCount]:
    return [
        ratelimit_pb2.TokenCount(leaf_id=leaf_id, count=count)
        for leaf_id, count in tokens_by_leaf.items()
    ]


def _age_ms(age_s: float) -> int:
    return max(0, round(min(age_s * MS_PER_S, MAX_AGE_MS)))


def _require_version(protocol_version: int) -> None:
    if protocol_version < 1:
        raise RpcProtocolError('protocol_version is missing')


def _parse(raw: Message, payload: bytes) -> None:
    try:
        raw.ParseFromString(payload)
    except DecodeError as error:
        raise RpcProtocolError(f'malformed message: {error}') from error
