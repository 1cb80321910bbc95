"""Registry of the policies by which work is placed on data centres."""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from clementinebank.placement._settings import (
    FASTEST,
    PRICED,
    GroupValue,
    PlacementSettings,
)
from clementinebank.placement._spill import PlacementOption, SpillPlacement


class Placement(Protocol):
    """Decision to which data centres the next call to a group may go."""

    home_count: int
    away_count: int

    def set_values(self, values_by_group: Mapping[str, GroupValue]) -> None:
        """Replace the worth of the answers of all groups."""

    def permitted(
        self, group_id: str, options: Sequence[PlacementOption], now: float
    ) -> Sequence[PlacementOption]:
        """Return the options to which the next call may be placed."""

    def on_placed(self, group_id: str, price: float) -> None:
        """Count a call that was placed on a leaf of a price."""

    def on_response(
        self, group_id: str, price: float, elapsed_s: float, now: float
    ) -> None:
        """Record the time of one response from a leaf of a price."""


CreatePlacement = Callable[[PlacementSettings], Placement | None]
PLACEMENT_POLICIES: dict[str, CreatePlacement] = {}


def _register(name: str) -> Callable[[CreatePlacement], CreatePlacement]:
    """Return a decorator that registers a policy under its name."""

    def register(create: CreatePlacement) -> CreatePlacement:
        PLACEMENT_POLICIES[name] = create
        return create

    return register


@_register(FASTEST)
def _create_fastest(settings: PlacementSettings) -> Placement | None:
    """Leave every choice to the expected time of the leafs."""


@_register(PRICED)
def _create_priced(settings: PlacementSettings) -> Placement | None:
    """Keep work at home unless leaving is worth its price."""
    return SpillPlacement(settings)


def create_placement(settings: PlacementSettings) -> Placement | None:
    """Return the placement of the settings, ``None`` if it holds nothing back.

    Raises
    ------
    KeyError
        If no policy has the name of the settings.
    """
    return PLACEMENT_POLICIES[settings.policy](settings)
