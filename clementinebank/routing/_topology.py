"""What a router needs to know of the groups it routes to."""

from collections.abc import Mapping
from typing import Any, Protocol


class Group(Protocol):
    """Replicas of one shard."""

    @property
    def group_id(self) -> str:
        """Name of the group."""

    @property
    def leafs_by_id(self) -> Mapping[str, Any]:
        """Replicas by their id."""


class Topology(Protocol):
    """Groups among which the requests of a service are spread."""

    @property
    def groups_by_id(self) -> Mapping[str, Any]:
        """Groups by their id."""

    @property
    def slots(self) -> int:
        """Requests that one leaf serves at the same time."""

    @property
    def extra_load(self) -> float:
        """Extra requests allowed for each request."""
