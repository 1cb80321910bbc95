"""Resources that all listeners of a process share."""

import attrs

from clementinebank.http._memory import MemoryBudget
from clementinebank.http._turns import HeavyLane


@attrs.define(eq=False)
class ServerResources:
    """Memory and processor time that the listeners of a process share.

    Parameters
    ----------
    memory : MemoryBudget
        Budget of what clients make the process hold.
    lane : HeavyLane
        Lane of the readers whose input takes much work.
    """

    memory: MemoryBudget = attrs.Factory(MemoryBudget)
    lane: HeavyLane = attrs.Factory(HeavyLane)
