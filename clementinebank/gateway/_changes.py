"""Changes that a gateway decodes from the entries of the control store."""

from collections.abc import Callable

import attrs

from clementinebank.leafs import LeafRecord
from clementinebank.relay import Entry
from clementinebank.routes import RoutingConfiguration


@attrs.frozen
class ConfigurationWritten:
    """A valid configuration was written to the control store.

    Parameters
    ----------
    configuration : RoutingConfiguration
        The configuration.
    revision : int
        Revision of the store at which its entry last changed.
    """

    configuration: RoutingConfiguration
    revision: int = 0


@attrs.frozen
class LeafWritten:
    """The registration of a leaf was written or rewritten."""

    record: LeafRecord


@attrs.frozen
class LeafRemoved:
    """The registration of a leaf was removed or can't be decoded."""

    leaf_id: str


@attrs.frozen
class EvacuationBegun:
    """The leafs of a data centre must get no requests."""

    data_centre: str


@attrs.frozen
class EvacuationEnded:
    """The leafs of a data centre may get requests again."""

    data_centre: str


Change = (
    ConfigurationWritten
    | LeafWritten
    | LeafRemoved
    | EvacuationBegun
    | EvacuationEnded
)
# Decodes an entry; returns ``None`` if it changes nothing in a gateway.
DecodeEntry = Callable[[Entry], Change | None]
