"""When a router hedges and what it concludes from overtaken calls."""

import attrs

HEDGE_QUANTILE = 0.9
# The delay is the quantile times a factor: the first while tokens are saved,
# the second when the bucket is empty and only stragglers are worth a token.
FULL_HEDGE_FACTOR = 1.25
SCARCE_HEDGE_FACTOR = 2.5
# With log-normal times of spread 0.35 and leafs that differ by a factor of
# 1.6, about one call in twenty lasts longer than the first multiple of the
# median. The median stays the same when some leafs are slow.
MEDIAN_FULL_FACTOR = 2.2
MEDIAN_SCARCE_FACTOR = 4.0


# Single slow replies are common (stragglers), several in a row are not.
EJECT_AFTER_SLOW = 3
EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
READMIT_AFTER_PROBES = 3
# Leafs slow down by a factor of four or more; with log-normal times of spread
# 0.35 an ordinary reply practically never takes this long.
SLOW_FACTOR = 4.0
# Where one request tests a leaf and is hedged, a leaf is tested again at once:
# a pause is over when the overtaken call ends. A leaf that is still slow then
# waits, twice as long each time.
SHORT_EJECTION_S = 0.4
MAX_SHORT_EJECTION_S = 4.0


@attrs.frozen
class OutlierRule:
    """When a leaf is ejected and trusted again.

    Parameters
    ----------
    eject_after_slow : int
        Slow replies in a row after which a leaf is ejected.
    first_ejection_s : float
        Time of the first ejection in seconds.
    ejection_s, max_ejection_s : float
        Second and longest time of an ejection in seconds; it doubles.
    readmit_after_probes : int
        Good probes after which the leaf is trusted again.
    readmits_cold : bool
        Whether the leaf then starts slowly.
    slow_factor : float
        Multiple of the usual time of a kind of request above which a reply
        is slow.
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
    """Parameters of the choice of replicas.

    Parameters
    ----------
    hedge_quantile : float
        Quantile of the latencies from which the hedge delay follows.
    full_hedge_factor, scarce_hedge_factor : float
        Multiple of the quantile with a full and with an empty budget.
    detects_stalls : bool
        Whether a leaf with an overtaken call gets no further ones until that
        call ends. Otherwise overtaken calls count as slow replies.
    outlier_rule : OutlierRule
        When a leaf is ejected and trusted again.
    random_candidates : int
        Leafs that are compared with the nearest one.
    """

    hedge_quantile: float = HEDGE_QUANTILE
    full_hedge_factor: float = FULL_HEDGE_FACTOR
    scarce_hedge_factor: float = SCARCE_HEDGE_FACTOR
    detects_stalls: bool = False
    outlier_rule: OutlierRule = OutlierRule()
    random_candidates: int = 1


FORWARDING_POLICY = RoutingPolicy(
    hedge_quantile=0.5,
    full_hedge_factor=MEDIAN_FULL_FACTOR,
    scarce_hedge_factor=MEDIAN_SCARCE_FACTOR,
    detects_stalls=True,
    outlier_rule=OutlierRule(
        eject_after_slow=1,
        first_ejection_s=0,
        ejection_s=SHORT_EJECTION_S,
        max_ejection_s=MAX_SHORT_EJECTION_S,
        readmit_after_probes=1,
        readmits_cold=False,
    ),
    # Covers a shard of three replicas, of which two may be refusing.
    random_candidates=2,
)
