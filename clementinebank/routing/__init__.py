"""Choice of the replicas that get the requests, and the extra-load budget."""

from clementinebank.routing._availability import SLOW_START_S
from clementinebank.routing._budget import ExtraLoadBudget
from clementinebank.routing._leaf_state import LeafState
from clementinebank.routing._outcomes import OUTCOMES_BY_CODE, CallOutcome
from clementinebank.routing._policy import (
    FORWARDING_ROUTING_POLICY,
    EjectionPolicy,
    RoutingPolicy,
)
from clementinebank.routing._quantiles import LatencyWindow
from clementinebank.routing._replicas import COLD_KEY_PREFIX
from clementinebank.routing._router import Router
from clementinebank.routing._subset import rendezvous_subset
from clementinebank.routing._topology import Topology

__all__ = (
    'COLD_KEY_PREFIX',
    'FORWARDING_ROUTING_POLICY',
    'OUTCOMES_BY_CODE',
    'CallOutcome',
    'ExtraLoadBudget',
    'LatencyWindow',
    'LeafState',
    'SLOW_START_S',
    'EjectionPolicy',
    'Router',
    'RoutingPolicy',
    'Topology',
    'rendezvous_subset',
)
