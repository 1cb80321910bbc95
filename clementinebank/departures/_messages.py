"""Encoding of the departures that instances tell each other.

``departures_pb2.py`` is generated from ``departures.proto`` in this directory
with ``python -m grpc_tools.protoc -I. --python_out=. --pyi_out=.
departures.proto``.
"""

from collections.abc import Iterable
from itertools import islice

import attrs
from google.protobuf.message import DecodeError

from clementinebank.departures import departures_pb2
from clementinebank.rpc import RpcProtocolError

# Bound of the departures in a message, and of the length of each.
MAX_TOLD = 100
MAX_ID_CHARACTERS = 256


@attrs.frozen
class DepartureNews:
    """Departures that one instance tells another.

    Parameters
    ----------
    incarnation_ids : tuple of str
        Incarnations of leafs that leave.
    is_told_on : bool
        Whether the receiver has to tell the other relays.
    """

    incarnation_ids: tuple[str, ...] = ()
    is_told_on: bool = False


def encode_news(
    incarnation_ids: Iterable[str], *, is_told_on: bool = False
) -> bytes:
    """Return the protobuf encoding of departures, empty if there are none."""
    return departures_pb2.LeafDepartures(
        incarnation_ids=islice(incarnation_ids, MAX_TOLD),
        is_told_on=is_told_on,
    ).SerializeToString()


def decode_news(payload: bytes) -> DepartureNews:
    """Return the departures that a payload encodes.

    Raises
    ------
    RpcProtocolError
        If the payload is malformed; the message names the field.
    """
    raw = departures_pb2.LeafDepartures()
    try:
        raw.ParseFromString(payload)
    except DecodeError as error:
        raise RpcProtocolError(f'malformed message: {error}') from error
    told = tuple(raw.incarnation_ids[:MAX_TOLD])
    for incarnation_id in told:
        if '@' not in incarnation_id or len(incarnation_id) > MAX_ID_CHARACTERS:
            raise RpcProtocolError(
                f'incarnation_ids has an invalid id: {incarnation_id[:40]!r}'
            )
    return DepartureNews(told, raw.is_told_on)
