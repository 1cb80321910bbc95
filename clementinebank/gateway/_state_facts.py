"""Facts on the control state for the log lines of requests."""

from typing import Any

from clementinebank.clock import now
from clementinebank.relay import EntryLog
from clementinebank.routes import RouteTable


def read_state_facts(
    route_table: RouteTable, entry_log: EntryLog
) -> dict[str, Any]:
    """Return which state an instance knows at this moment.

    Returns
    -------
    dict
        ``version`` in force, ``in_force_s``, the time since it came into
        force, ``revision`` and ``era`` of the known state, and ``confirmed_s``,
        the time since the store confirmed it. Times are in seconds; before the
        first version ``in_force_s`` is ``None``, and before the first
        confirmation ``confirmed_s`` is infinite.
    """
    at = now()
    in_force_s = round(at - route_table.activated_at, 3)
    return {
        'version': route_table.version,
        'in_force_s': in_force_s if route_table.version else None,
        'revision': entry_log.revision,
        'era': entry_log.position.era,
        'confirmed_s': round(entry_log.age_s(at), 3),
    }
