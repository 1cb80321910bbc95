"""What control entries mean for a gateway."""

from collections.abc import Callable

import attrs

from clementinebank.leafs import LeafRecord
from clementinebank.relay import Entry
from clementinebank.routes import RoutingConfiguration


@attrs.frozen
class ConfigurationWritten:
    """A configuration was accepted."""

    configuration: RoutingConfiguration


@attrs.frozen
class LeafWritten:
    """A leaf registered itself or changed its registration."""

    record: LeafRecord


@attrs.frozen
class LeafRemoved:
    """The registration of a leaf is gone, or can't be read any more."""

    leaf_id: str


Change = ConfigurationWritten | LeafWritten | LeafRemoved
# Returns ``None`` for an entry that means nothing to a gateway.
DecodeEntry = Callable[[Entry], Change | None]
