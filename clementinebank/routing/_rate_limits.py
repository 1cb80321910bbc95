"""Rate limits that leafs have named, as the routing asks for them."""

from collections.abc import Iterable
from math import inf

from clementinebank.ratelimit import LimitStatement, NamedLimit
from clementinebank.routing._choice import ReplicaChoice
from clementinebank.routing._replicas import COLD_KEY_PREFIX

# Time in seconds after which a leaf counts as warm of which other instances
# have said that it is cold, and nobody since.
HEARD_COLD_S = 30.0
# Longest time in seconds by which the knowledge of an instance lags behind.
MAX_LAG_S = 1.0


class RateLimitQueries(ReplicaChoice):
    """Tokens and waits of groups whose leafs name rate limits."""

    __slots__ = ()

    def has_token(self, group_id: str, now: float) -> bool:
        """Return whether the rate limits permit a request to the group."""
        leafs = self._usable_leafs(group_id, inf)
        return not leafs or any(
            self.may_send(leaf.leaf_id, now) for leaf in leafs
        )

    def token_wait_s(self, group_id: str, now: float) -> float:
        """Return how long a new request waits for a rate-limited leaf.

        Returns
        -------
        float
            Seconds until all requests of this instance that wait for the group
            and one more can have got a token; 0 if a leaf names no limit or
            the rate of the tokens isn't known yet.
        """
        return self.limits.wait_s(
            [
                self.limit_key(leaf.leaf_id, now)
                for leaf in self._usable_leafs(group_id, inf)
            ],
            self.waiting_by_group.get(group_id, 0),
            now,
        )

    def next_token_s(self, group_id: str, now: float) -> float:
        """Return the seconds until a new request to the group has a token.

        It is 0 if the rate limits permit a request now, or the rate of the
        tokens isn't known yet.
        """
        if self.has_token(group_id, now):
            return 0
        return self.token_wait_s(group_id, now)

    def next_opening_s(self, group_id: str, now: float) -> float:
        """Return the seconds until a leaf of the group takes a request.

        Both the rate limits and the times for which leafs want nothing count;
        it is 0 if a leaf takes one now.
        """
        return max(
            self.next_token_s(group_id, now), self.turned_away_s(group_id, now)
        )

    @property
    def has_closed_leafs(self) -> bool:
        """Return whether leafs name limits or have turned requests away."""
        return bool(self.limits.limited_count) or self._turned_away_until > -inf

    def record_missed(self, group_id: str, now: float) -> None:
        """Record a request that was refused because the group has no token."""
        leafs = self._usable_leafs(group_id, inf)
        if leafs:
            missed = self.rng.choice(leafs)
            key = self.limit_key(missed.leaf_id, now)
            self.limits.on_missed(key, now, is_waiting=False)

    def add_waiting(self, group_id: str, change: int) -> None:
        """Add `change` to the number of requests that wait for the group."""
        waiting = self.waiting_by_group.get(group_id, 0)
        self.waiting_by_group[group_id] = max(0, waiting + change)

    def on_named_limit(
        self,
        leaf_id: str,
        named: NamedLimit | None,
        now: float,
        elapsed_s: float,
    ) -> None:
        """Record what a response states about the rate limit of its leaf.

        Parameters
        ----------
        leaf_id : str
            Leaf that responded; an unknown one is ignored.
        named : NamedLimit or None
            The statement, ``None`` if the response makes none.
        now : float
            Runtime time in seconds.
        elapsed_s : float
            Time since the request was sent, in seconds.
        """
        if named is None or leaf_id not in self.leafs_by_id:
            return
        if self.limits.on_named(leaf_id, named, now - elapsed_s, now):
            self._start_slowly(leaf_id, now)

    def merge_limits(
        self, statements: Iterable[LimitStatement], now: float
    ) -> None:
        """Apply limits that other instances have heard of, where newer."""
        heard = tuple(statements)
        for key in self.limits.merge(heard, now):
            leaf_id = key.removeprefix(COLD_KEY_PREFIX)
            self._start_slowly(leaf_id, now)
            if key != leaf_id:
                self._on_heard_warm(leaf_id, now)
        for statement in heard:
            if statement.leaf_id.startswith(COLD_KEY_PREFIX):
                self._on_heard_cold(statement.leaf_id, now)

    def _on_heard_warm(self, leaf_id: str, now: float) -> None:
        """Apply the end of coldness, unless the leaf itself has said more.

        The instance that told of the end may not know yet that the leaf has
        become cold again.
        """
        remaining_s = self.cold_until_by_leaf.get(leaf_id, now) - now
        if leaf_id in self._stated_cold_leafs and remaining_s > MAX_LAG_S:
            self.set_cold(leaf_id, remaining_s, now)
        else:
            self.end_cold(leaf_id, now)

    def _on_heard_cold(self, key: str, now: float) -> None:
        """Apply coldness of which this instance knows from others only."""
        leaf_id = key.removeprefix(COLD_KEY_PREFIX)
        if leaf_id in self._stated_cold_leafs:
            return
        limit = self.limits.limit_of(key)
        if limit is not None and leaf_id in self.leafs_by_id:
            self.cold_until_by_leaf[leaf_id] = limit.stated_at + HEARD_COLD_S
