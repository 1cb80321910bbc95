"""Decision whether work leaves the data centre of an instance, and how much."""

from clementinebank.placement._policies import (
    PLACEMENT_POLICIES,
    Placement,
    create_placement,
)
from clementinebank.placement._settings import (
    FASTEST,
    PRICED,
    GroupValue,
    PlacementSettings,
)
from clementinebank.placement._spill import (
    PlacementOption,
    SpillPlacement,
    SpillState,
    expected_loss,
)

__all__ = (
    'FASTEST',
    'GroupValue',
    'PLACEMENT_POLICIES',
    'PRICED',
    'Placement',
    'PlacementOption',
    'PlacementSettings',
    'SpillPlacement',
    'SpillState',
    'create_placement',
    'expected_loss',
)
