"""Limits of the attempts of one request."""

from math import inf

import attrs

# Time until a shard that found no room or no token is tried again.
RESEND_INTERVAL_S = 0.002
# A shard waits this long for a leaf of which this instance holds its share of
# the slots; a longer wait is usually behind a straggler.
MAX_LOCAL_WAIT_S = 0.008
MAX_ATTEMPTS = 6
MAX_HEDGES = 2
EXPECTED_S = 0.03
# Calls of one shard, with those that no leaf has run.
MAX_CALLS = 6


@attrs.frozen
class DispatchPolicy:
    """How often and to how many leafs a request may be sent.

    Parameters
    ----------
    is_repeatable : bool
        Whether a request that may have run may be sent again.
    max_attempts : int
        Leafs that may run the request of one shard.
    max_calls : int
        Calls of one shard, with those that were refused.
    max_hedges : int
        Hedges of one shard.
    resend_interval_s : float
        Time until a shard without room or token is tried again.
    max_local_wait_s : float
        Time in which a shard leaves slots to other instances.
    offer_limit_s : float
        Time after which a shard that no leaf has taken is given up.
    waits_for_budget : bool
        Whether a retry waits until the budget permits it.
    profile : str
        Kind of request whose latencies decide when to hedge; empty for the
        latencies of the group.
    expected_s : float
        Usual time of the kind until it is known, in seconds.
    """

    is_repeatable: bool = True
    max_attempts: int = MAX_ATTEMPTS
    max_calls: int = MAX_CALLS
    max_hedges: int = MAX_HEDGES
    resend_interval_s: float = RESEND_INTERVAL_S
    max_local_wait_s: float = MAX_LOCAL_WAIT_S
    offer_limit_s: float = inf
    waits_for_budget: bool = True
    profile: str = ''
    expected_s: float = EXPECTED_S
