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
    """

    hedge_quantile: float = HEDGE_QUANTILE
    full_hedge_factor: float = FULL_HEDGE_FACTOR
    scarce_hedge_factor: float = SCARCE_HEDGE_FACTOR
    detects_stalls: bool = False


FORWARDING_POLICY = RoutingPolicy(
    hedge_quantile=0.5,
    full_hedge_factor=MEDIAN_FULL_FACTOR,
    scarce_hedge_factor=MEDIAN_SCARCE_FACTOR,
    detects_stalls=True,
)
