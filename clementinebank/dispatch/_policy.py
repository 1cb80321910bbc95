"""Limits of the attempts of one request."""

from math import inf

import attrs

# Time until a shard that found no free leaf or no token is tried again.
RESEND_INTERVAL_S = 0.002
# Time during which a shard leaves the last slot of a leaf to other instances
# and waits for a busy leaf that is expected to answer sooner. A longer wait is
# usually caused by a straggler.
MAX_LOCAL_WAIT_S = 0.008
MAX_ATTEMPTS = 6
MAX_HEDGES = 2
DEFAULT_EXPECTED_SERVICE_S = 0.03
# Calls of one shard, including those that no leaf ran.
MAX_CALLS = 6


@attrs.frozen
class DispatchPolicy:
    """Limits of how often, when and to how many leafs a request is sent.

    Parameters
    ----------
    is_repeatable : bool
        Whether the request may be sent again although a leaf may have run it.
    max_attempts : int
        Most attempts of one shard that a leaf may have run.
    max_calls : int
        Most calls of one shard, including those that were refused.
    max_hedges : int
        Most hedges of one shard.
    resend_interval_s : float
        Seconds until a shard without a free leaf or a token is tried again.
    max_local_wait_s : float
        Seconds after its start in which a shard leaves slots to other
        instances.
    max_unaccepted_s : float
        Seconds after the start of the request at which a shard is given up
        that no leaf has run.
    waits_for_budget : bool
        Whether a retry without a token waits for one; otherwise the shard is
        given up.
    profile : str
        Kind of request whose latencies set the hedge delay; if it is empty,
        the latencies of the group set it.
    expected_s : float
        Usual service time in seconds of a kind that has had few calls.
    max_turned_away_s : float
        Longest time in seconds for which a shard waits until the first of its
        leafs wants requests again; for a longer one it is given up at once.
    regions : frozenset of str or None
        Regions whose leafs may run the request; ``None`` allows all.
    """

    is_repeatable: bool = True
    max_attempts: int = MAX_ATTEMPTS
    max_calls: int = MAX_CALLS
    max_hedges: int = MAX_HEDGES
    resend_interval_s: float = RESEND_INTERVAL_S
    max_local_wait_s: float = MAX_LOCAL_WAIT_S
    max_unaccepted_s: float = inf
    waits_for_budget: bool = True
    profile: str = ''
    expected_s: float = DEFAULT_EXPECTED_SERVICE_S
    max_turned_away_s: float = 0
    regions: frozenset[str] | None = None
