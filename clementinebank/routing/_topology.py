"""Interfaces of the groups of leafs that a router chooses from."""

from collections.abc import Mapping
from typing import Any, Protocol


class Group(Protocol):
    """Leafs that are replicas of one shard."""

    @property
    def group_id(self) -> str:
        """Return the id of the group."""

    @property
    def leafs_by_id(self) -> Mapping[str, Any]:
        """Return the replicas by leaf id; only the ids are used."""


class Topology(Protocol):
    """Groups of one service and the limits that all of them share."""

    @property
    def groups_by_id(self) -> Mapping[str, Any]:
        """Return the groups by group id."""

    @property
    def slots(self) -> int:
        """Return how many requests one leaf serves at the same time."""

    @property
    def extra_load(self) -> float:
        """Return how many extra requests are allowed for each request."""
