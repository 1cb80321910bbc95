"""Conversion between the messages of relays and protobuf.

``relay_pb2.py`` is generated from ``relay.proto`` in this directory with
``python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. relay.proto``.
"""

import math

import attrs
from google.protobuf.message import DecodeError

from clementinebank.relay import relay_pb2
from clementinebank.relay._model import Entry, StorePosition
from clementinebank.rpc import RpcProtocolError
from clementinebank.validation import Address, FieldReader

PROTOCOL_VERSION = 1
MS_PER_S = 1000
MILLICORES_PER_CORE = 1000
# Longest age that is sent, about 24 days, because ages have 32 bits. The
# infinite age of a state that was never confirmed is sent as this one; both are
# stale.
MAX_AGE_MS = 2_147_483_647


@attrs.frozen
class WatchRequest:
    """Request of a follower for all entries or for changes.

    Parameters
    ----------
    instance_id : str
        Name of the follower.
    address : Address
        Where the follower answers other instances itself.
    position : StorePosition
        Position that the follower knows; revision 0 asks for every entry.
    wait_s : float
        Longest time that the relay waits for a change or a confirmation, in
        seconds.
    after_key : str
        Last key of the previous page, if every entry is read; empty for the
        first page.
    age_s : float
        Time since the store last confirmed the follower's state, directly or
        through relays, in seconds.
    data_centre : str
        Data centre of the follower; empty if it is of an earlier version.
    cores : float
        Processor of the follower in cores; 0 if it gathers no answers for
        other instances.
    """

    instance_id: str
    address: Address
    position: StorePosition
    wait_s: float = 0
    after_key: str = ''
    age_s: float = 0
    data_centre: str = ''
    cores: float = 0


@attrs.frozen
class WatchReply:
    """Reply of a relay to a ``WatchRequest``.

    Parameters
    ----------
    entries : tuple of Entry
        A page of all entries, or the changes.
    position : StorePosition
        Position after which the follower continues.
    age_s : float
        Time since the store last confirmed the relay's state, directly or
        through relays, in seconds.
    is_loaded : bool
        Whether the relay has loaded the entries.
    is_history_lost : bool
        Whether the relay lacks changes since the position of the request.
    has_more : bool
        Whether another page follows.
    notice : bytes
        Addition of another service; empty if there is none.
    held_s : float or None
        Time for which the relay held the request, in seconds; ``None`` if it
        is of an earlier version.
    """

    entries: tuple[Entry, ...] = ()
    position: StorePosition = attrs.Factory(StorePosition)
    age_s: float = 0
    is_loaded: bool = True
    is_history_lost: bool = False
    has_more: bool = False
    notice: bytes = b''
    held_s: float | None = None


def encode_request(request: WatchRequest) -> bytes:
    """Return the protobuf encoding of a request."""
    return relay_pb2.WatchRequest(
        protocol_version=PROTOCOL_VERSION,
        instance_id=request.instance_id,
        revision=request.position.revision,
        era=request.position.era,
        wait_ms=max(0, int(request.wait_s * MS_PER_S)),
        after_key=request.after_key,
        address=str(request.address),
        age_ms=_age_ms(request.age_s),
        data_centre=request.data_centre,
        capacity_millicores=round(request.cores * MILLICORES_PER_CORE),
    ).SerializeToString()


def decode_request(payload: bytes) -> WatchRequest:
    """Return the request that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is not a valid request of a supported version.
    """
    raw = relay_pb2.WatchRequest()
    _parse(raw, payload)
    if not raw.instance_id:
        raise RpcProtocolError('the request lacks instance_id')
    reader = FieldReader({'address': raw.address})
    address = reader.address('address')
    if reader.problems:
        raise RpcProtocolError(str(reader.problems[0]))
    return WatchRequest(
        raw.instance_id,
        address,
        _decode_position(raw),
        raw.wait_ms / MS_PER_S,
        raw.after_key,
        raw.age_ms / MS_PER_S,
        raw.data_centre,
        raw.capacity_millicores / MILLICORES_PER_CORE,
    )


def encode_reply(reply: WatchReply) -> bytes:
    """Return the protobuf encoding of a reply."""
    return relay_pb2.WatchReply(
        protocol_version=PROTOCOL_VERSION,
        entries=map(_encode_entry, reply.entries),
        revision=reply.position.revision,
        era=reply.position.era,
        age_ms=_age_ms(reply.age_s),
        is_loaded=reply.is_loaded,
        is_history_lost=reply.is_history_lost,
        has_more=reply.has_more,
        notice=reply.notice,
        held_ms=None if reply.held_s is None else int(reply.held_s * MS_PER_S),
    ).SerializeToString()


def decode_reply(payload: bytes) -> WatchReply:
    """Return the reply that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is not a valid reply of a supported version.
    """
    raw = relay_pb2.WatchReply()
    _parse(raw, payload)
    return WatchReply(
        tuple(map(_decode_entry, raw.entries)),
        _decode_position(raw),
        raw.age_ms / MS_PER_S,
        raw.is_loaded,
        raw.is_history_lost,
        raw.has_more,
        raw.notice,
        raw.held_ms / MS_PER_S if raw.HasField('held_ms') else None,
    )


def _decode_position(
    raw: relay_pb2.WatchRequest | relay_pb2.WatchReply,
) -> StorePosition:
    return StorePosition(raw.revision, raw.era if raw.HasField('era') else None)


def _encode_entry(entry: Entry) -> relay_pb2.Entry:
    return relay_pb2.Entry(
        key=entry.key,
        value=entry.value,
        revision=entry.revision,
        removed_age_ms=(
            None
            if entry.removed_age_s is None
            else _age_ms(entry.removed_age_s)
        ),
    )


def _decode_entry(raw: relay_pb2.Entry) -> Entry:
    return Entry(
        raw.key,
        raw.value if raw.HasField('value') else None,
        raw.revision,
        (
            raw.removed_age_ms / MS_PER_S
            if raw.HasField('removed_age_ms')
            else None
        ),
    )


def _age_ms(age_s: float) -> int:
    # Rounded up, so that an age never decreases from relay to relay.
    age_ms = math.ceil(min(age_s * MS_PER_S, MAX_AGE_MS))
    return max(0, age_ms)


def _parse(
    raw: relay_pb2.WatchRequest | relay_pb2.WatchReply, payload: bytes
) -> None:
    """Parse a payload into ``raw``.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed or has no protocol version.
    """
    try:
        raw.ParseFromString(payload)
    except DecodeError as error:
        raise RpcProtocolError(f'malformed message: {error}') from error
    if raw.protocol_version < 1:
        raise RpcProtocolError('protocol_version is missing')
