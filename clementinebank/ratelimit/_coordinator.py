"""Distribution of the requests that limited leafs take."""

import attrs

# Time for which unused tokens are saved, in seconds.
SAVED_TIME_S = 0.1
# Least tokens that are saved. Instances ask at irregular times, and with fewer
# a part of a low limit would be lost between two questions.
MIN_CAPACITY = 2
# A bucket that nobody has asked for in this time is removed.
UNUSED_TIME_S = 60.0
MAX_BUCKETS = 4096


@attrs.define
class TokenBucket:
    """Tokens that accrue at a rate, up to a small capacity.

    Parameters
    ----------
    updated_at : float
        Runtime time in seconds up to which tokens have accrued.
    tokens : float
        Tokens that are left.
    """

    updated_at: float
    tokens: float = 1

    def take(self, count: int, rate_per_s: float, now: float) -> int:
        """Take up to `count` whole tokens and return how many were taken."""
        accrued = rate_per_s * max(0, now - self.updated_at)
        capacity = max(MIN_CAPACITY, SAVED_TIME_S * rate_per_s)
        self.tokens = min(capacity, self.tokens + accrued)
        self.updated_at = now
        taken = min(count, int(self.tokens))
        self.tokens -= taken
        return taken


@attrs.define(eq=False)
class LimitCoordinator:
    """Grants of the requests that limited leafs take from all instances.

    All instances ask the same coordinator for a leaf, so that the sum of their
    requests keeps the limit wherever the requests of callers arrive. Nothing
    is stored: a new coordinator starts with one token for each leaf.

    Parameters
    ----------
    buckets_by_leaf : dict of str to TokenBucket
        Tokens of each leaf.
    """

    buckets_by_leaf: dict[str, TokenBucket] = attrs.Factory(dict)

    def grant(
        self, leaf_id: str, wanted: int, rate_per_s: float, now: float
    ) -> int:
        """Return how many requests to a leaf the asking instance may send.

        Parameters
        ----------
        leaf_id : str
            The leaf.
        wanted : int
            Requests that the instance wants to send.
        rate_per_s : float
            Requests a second that the leaf takes from all instances.
        now : float
            Runtime time in seconds.
        """
        bucket = self.buckets_by_leaf.get(leaf_id)
        if bucket is None:
            self._remove_unused(now)
            if len(self.buckets_by_leaf) >= MAX_BUCKETS:
                return 0
            bucket = TokenBucket(now)
            self.buckets_by_leaf[leaf_id] = bucket
        return bucket.take(wanted, rate_per_s, now)

    def _remove_unused(self, now: float) -> None:
        for leaf_id, bucket in list(self.buckets_by_leaf.items()):
            if bucket.updated_at < now - UNUSED_TIME_S:
                self.buckets_by_leaf.pop(leaf_id)
