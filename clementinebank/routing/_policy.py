"""Policies for hedging and for the ejection of slow leafs."""

import attrs

HEDGE_QUANTILE = 0.9
# The hedge delay is the quantile of the latencies times a factor: the first
# while the budget has saved tokens, the second when its bucket is empty and
# only a straggler justifies a token.
FULL_HEDGE_FACTOR = 1.25
SCARCE_HEDGE_FACTOR = 2.5
# The same factors for the median, which does not rise when some leafs are slow.
# With log-normal service times of sigma 0.35 and leafs that differ by a factor
# of 1.6, about one call in twenty lasts longer than the first multiple.
MEDIAN_FULL_HEDGE_FACTOR = 2.2
MEDIAN_SCARCE_HEDGE_FACTOR = 4.0


# Slow replies in a row that eject a leaf; single ones, stragglers, are common.
EJECT_AFTER_SLOW = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
READMIT_AFTER_PROBES = 3
# A slow leaf takes at least four times as long as usual; with log-normal
# service times of sigma 0.35 an ordinary reply practically never does.
SLOW_FACTOR = 4.0
# Ejection times of forwarded requests, where an ordinary request tests the leaf
# and is hedged. The first test follows at once, because a pause of the leaf is
# over when its overtaken call ends. A leaf that is still slow then is ejected
# for this time, twice as long after each further test.
SHORT_EJECTION_S = 0.4
MAX_SHORT_EJECTION_S = 4.0


@attrs.frozen
class EjectionPolicy:
    """Policy for when a leaf is ejected and readmitted.

    Parameters
    ----------
    eject_after_slow : int
        Slow replies in a row after which a leaf is ejected.
    first_ejection_s : float
        Time of the first ejection in seconds.
    ejection_s, max_ejection_s : float
        Time of the second ejection and bound of the later ones in seconds;
        each lasts twice as long as the one before.
    readmit_after_probes : int
        Good probes in a row after which the leaf is readmitted.
    readmits_cold : bool
        Whether a readmitted leaf starts slowly, like a cold one.
    slow_factor : float
        A reply to a request of a known kind is slow above this multiple of
        the median service time.
    """

    eject_after_slow: int = EJECT_AFTER_SLOW
    first_ejection_s: float = EJECTION_S
    ejection_s: float = 2 * EJECTION_S
    max_ejection_s: float = MAX_EJECTION_S
    readmit_after_probes: int = READMIT_AFTER_PROBES
    readmits_cold: bool = True
    slow_factor: float = SLOW_FACTOR


@attrs.frozen
class RoutingPolicy:
    """Parameters for choosing replicas and for hedging.

    Parameters
    ----------
    hedge_quantile : float
        Quantile of the latencies on which the hedge delay is based.
    full_hedge_factor, scarce_hedge_factor : float
        Multiples of the quantile that are the hedge delay with a full and
        with an empty budget.
    avoids_overtaken_leafs : bool
        Whether a leaf with an overtaken call gets no further ones until that
        call ends, and ordinary requests test ejected leafs. Otherwise
        overtaken calls count as slow replies, and probes test ejected leafs.
    ejection_policy : EjectionPolicy
        When a leaf is ejected and readmitted.
    random_candidates : int
        Number of randomly chosen leafs that are compared with a nearest one.
    """

    hedge_quantile: float = HEDGE_QUANTILE
    full_hedge_factor: float = FULL_HEDGE_FACTOR
    scarce_hedge_factor: float = SCARCE_HEDGE_FACTOR
    avoids_overtaken_leafs: bool = False
    ejection_policy: EjectionPolicy = EjectionPolicy()
    random_candidates: int = 1


FORWARDING_ROUTING_POLICY = RoutingPolicy(
    hedge_quantile=0.5,
    full_hedge_factor=MEDIAN_FULL_HEDGE_FACTOR,
    scarce_hedge_factor=MEDIAN_SCARCE_HEDGE_FACTOR,
    avoids_overtaken_leafs=True,
    ejection_policy=EjectionPolicy(
        eject_after_slow=1,
        first_ejection_s=0,
        ejection_s=SHORT_EJECTION_S,
        max_ejection_s=MAX_SHORT_EJECTION_S,
        readmit_after_probes=1,
        readmits_cold=False,
    ),
    # With the nearest leaf, this compares all replicas of a shard of three, so
    # that one of them is found even if the other two refuse.
    random_candidates=2,
)
