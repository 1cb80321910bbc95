"""Budget of the load that is added to the shard requests."""

import attrs

from clementinebank.invariants import check, invariant

BURST_TOKENS = 100


@invariant('extra-load-within-budget', 'R2')
def _is_within_budget(spent: float, allowed: float) -> bool:
    return spent <= allowed


@attrs.define
class ExtraLoadBudget:
    """Token bucket shared by hedges, retries, probes and snapshot moves.

    The bucket starts empty and is filled only by shard requests, so that the
    extra requests never exceed the ratio of all requests sent so far.

    Parameters
    ----------
    ratio : float
        Extra requests allowed for each shard request.
    capacity : float
        Most tokens that are saved for a burst.
    """

    ratio: float
    capacity: float = BURST_TOKENS
    tokens: float = 0
    earned: float = 0
    requests: int = 0
    extra_requests: int = 0

    @property
    def fill(self) -> float:
        """Return the saved share of the capacity, 0 to 1."""
        return self.tokens / self.capacity

    def on_request(self) -> None:
        """Earn the share of one shard request."""
        self.requests += 1
        self.earned += self.ratio
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self, count: int, request_id: str, reserve: float = 0) -> bool:
        """Spend tokens for extra requests if the reserve is left over."""
        if not self._has(count + reserve):
            return False
        self.tokens -= count
        self.extra_requests += count
        # A sum of the ratios differs from the product by rounding only.
        return check(
            'extra-load-within-budget',
            request_id,
            spent=self.extra_requests,
            allowed=self.earned + 1e-6,
        )

    def _has(self, count: float) -> bool:
        return count <= self.tokens
