"""Conversion of the messages between instances to and from protobuf.

``peer_pb2.py`` is generated from ``peer.proto`` in this directory with
``python -m grpc_tools.protoc -I. --python_out=. --pyi_out=. peer.proto``.
"""

import math

import attrs
from google.protobuf.message import DecodeError

from clementinebank.distribution import DocumentDelta, SyncMessage
from clementinebank.document import AcceptedChange, Section
from clementinebank.membership import Member, MemberReport, MemberState
from clementinebank.peer import peer_pb2
from clementinebank.rpc import RpcProtocolError
from clementinebank.validation import Address

PROTOCOL_VERSION = 1
MS_PER_S = 1000
# Ages have 32 bits in the message. This is the largest signed value, 24 days;
# an instance that was not heard for that long is as good as never heard.
MAX_AGE_MS = 2_147_483_647
# Largest number of members accepted in a message. Instances send far fewer;
# more would be an attempt to flood the receiver.
MAX_MEMBERS_PER_MESSAGE = 1000


def encode_message(message: SyncMessage) -> bytes:
    """Return a message encoded as protobuf."""
    raw = peer_pb2.SyncMessage(
        protocol_version=PROTOCOL_VERSION,
        sender=_encode_member(message.sender, 0),
        revision=message.revision,
        digest=message.digest,
        view_digest=message.view_digest,
        members=[
            _encode_member(each.member, each.age_s) for each in message.members
        ],
        section_digests=[
            peer_pb2.SectionDigest(name=name, digest=digest)
            for name, digest in message.section_digests.items()
        ],
    )
    if message.head_age_s is not None:
        raw.head_age_ms = _age_ms(message.head_age_s)
    if message.delta is not None:
        raw.delta.CopyFrom(_encode_delta(message.delta))
    return raw.SerializeToString()


def decode_message(payload: bytes) -> SyncMessage:
    """Decode and validate a message.

    Raises
    ------
    RpcProtocolError
        If the payload is not a valid message with a protocol version.
    """
    try:
        raw = peer_pb2.SyncMessage.FromString(payload)
    except DecodeError as error:
        raise RpcProtocolError(f'malformed message: {error}') from error
    if raw.protocol_version < 1:
        raise RpcProtocolError('protocol_version is missing')
    if len(raw.members) > MAX_MEMBERS_PER_MESSAGE:
        raise RpcProtocolError(
            f'{len(raw.members)} members in a message are too many'
        )
    return SyncMessage(
        sender=_decode_member(raw.sender),
        revision=raw.revision,
        digest=raw.digest,
        head_age_s=(
            raw.head_age_ms / MS_PER_S if raw.HasField('head_age_ms') else None
        ),
        view_digest=raw.view_digest,
        members=tuple(
            MemberReport(_decode_member(each), each.age_ms / MS_PER_S)
            for each in raw.members
        ),
        delta=_decode_delta(raw.delta) if raw.HasField('delta') else None,
        section_digests={
            each.name: each.digest for each in raw.section_digests
        },
    )


def _age_ms(age_s: float) -> int:
    # Rounded up, so that an age never decreases when peers pass it on.
    return min(math.ceil(age_s * MS_PER_S), MAX_AGE_MS)


def _encode_member(member: Member, age_s: float) -> peer_pb2.Member:
    return peer_pb2.Member(
        instance_id=member.instance_id,
        incarnation=member.incarnation,
        host=member.address.host,
        port=member.address.port,
        data_centre=member.data_centre,
        state=int(member.state),
        revision=member.revision,
        heartbeat=member.heartbeat,
        age_ms=_age_ms(age_s),
    )


def _decode_member(raw: peer_pb2.Member) -> Member:
    if not raw.instance_id or not raw.data_centre:
        raise RpcProtocolError('a member lacks instance_id or data_centre')
    try:
        state = MemberState(raw.state)
    except ValueError as error:
        raise RpcProtocolError(f'unknown member state {raw.state}') from error
    return Member(
        raw.instance_id,
        raw.incarnation,
        Address(raw.host, raw.port),
        raw.data_centre,
        state,
        raw.revision,
        raw.heartbeat,
    )


def _encode_delta(delta: DocumentDelta) -> peer_pb2.Delta:
    return peer_pb2.Delta(
        base_revision=delta.base_revision,
        revision=delta.revision,
        sections=[
            peer_pb2.Section(name=name, **attrs.asdict(section))
            for name, section in delta.sections_by_name.items()
        ],
        section_names=delta.section_names,
        digest=delta.digest,
        changes=[
            peer_pb2.AcceptedChange(**attrs.asdict(entry))
            for entry in delta.changes
        ],
    )


def _decode_delta(raw: peer_pb2.Delta) -> DocumentDelta:
    return DocumentDelta(
        raw.base_revision,
        raw.revision,
        {
            each.name: Section(
                each.text,
                each.revision,
                each.change_id,
                each.editor,
                each.accepted_at,
            )
            for each in raw.sections
        },
        tuple(raw.section_names),
        raw.digest,
        tuple(_decode_change(each) for each in raw.changes),
    )


def _decode_change(raw: peer_pb2.AcceptedChange) -> AcceptedChange:
    return AcceptedChange(
        raw.change_id,
        raw.revision,
        raw.editor,
        tuple(raw.sections),
        raw.accepted_at,
        raw.digest,
    )
