"""Budget of the extra requests: hedges, retries, probes and snapshot moves."""

import attrs

from clementinebank.invariants import check, invariant

DEFAULT_BUCKET_CAPACITY = 100


@invariant('extra-load-within-budget', 'R2')
def _is_within_budget(spent: float, allowed: float) -> bool:
    return spent <= allowed


@attrs.define
class ExtraLoadBudget:
    """Token bucket shared by hedges, retries, probes and snapshot moves.

    A bucket that starts empty is filled only by shard requests, so that there
    are never more extra requests than `ratio` times the requests so far.

    Parameters
    ----------
    ratio : float
        Extra requests allowed for each shard request.
    capacity : float
        Most tokens that are saved for a burst.
    tokens : float
        Saved tokens; an extra request costs one.
    earned : float
        Sum of the tokens that were added, saved or not.
    requests : int
        Shard requests so far, without the extra ones.
    extra_requests : int
        Extra requests so far.
    """

    ratio: float
    capacity: float = DEFAULT_BUCKET_CAPACITY
    tokens: float = 0
    earned: float = 0
    requests: int = 0
    extra_requests: int = 0

    @property
    def fill_ratio(self) -> float:
        """Return the saved tokens as a share of the capacity, 0 to 1."""
        return self.tokens / self.capacity

    def set_limits(self, ratio: float, capacity: float) -> None:
        """Apply changed limits; tokens beyond the capacity are removed."""
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = min(self.tokens, capacity)

    def set_initial_tokens(self, tokens: float) -> None:
        """Set the tokens of a bucket that has had no request yet."""
        if not self.requests:
            self.tokens = tokens
            self.earned = tokens

    def on_request(self) -> None:
        """Add the tokens for one shard request."""
        self.requests += 1
        self.earned += self.ratio
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def spend(self, count: int, request_id: str, reserve: float = 0) -> bool:
        """Spend tokens for extra requests if there are enough.

        Parameters
        ----------
        count : int
            Number of extra requests.
        request_id : str
            Request that they belong to, for the report of a violated bound.
        reserve : float
            Tokens that must be left afterwards.

        Returns
        -------
        bool
            Whether the extra requests may be sent.
        """
        if not self._has_tokens(count + reserve):
            return False
        self.tokens -= count
        self.extra_requests += count
        # The margin covers the rounding errors of the sum of the ratios.
        return check(
            'extra-load-within-budget',
            request_id,
            spent=self.extra_requests,
            allowed=self.earned + 1e-6,
        )

    def _has_tokens(self, count: float) -> bool:
        return count <= self.tokens
