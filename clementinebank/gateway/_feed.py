"""Port of the service that holds the routes and the registered leafs."""

from typing import Protocol

import attrs
from result import Result

from clementinebank.errors import Failure
from clementinebank.leafs import LeafRecord
from clementinebank.routes import RoutingConfiguration

HISTORY_LOST = 'history_lost'


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


@attrs.frozen
class StoredState:
    """Everything that is stored.

    Parameters
    ----------
    changes : tuple of Change
        The configuration and every registered leaf.
    revision : int
        Revision from which changes follow without a gap.
    """

    changes: tuple[Change, ...]
    revision: int


@attrs.frozen
class ChangeBatch:
    """Changes after a revision, in their order.

    Parameters
    ----------
    changes : tuple of Change
        The changes; empty if nothing happened in time.
    revision : int
        Revision after which to continue.
    """

    changes: tuple[Change, ...]
    revision: int


class ControlFeed(Protocol):
    """What an instance needs of the service that holds its control state."""

    calls: int

    async def read_all(self) -> Result[StoredState, Failure]:
        """Return everything that is stored."""
        ...

    async def wait_for_changes(
        self, revision: int, wait_s: float
    ) -> Result[ChangeBatch, Failure]:
        """Return the changes after a revision, as soon as there are any.

        A failure of code ``history_lost`` means that the changes since the
        revision are not known any more.
        """
        ...
