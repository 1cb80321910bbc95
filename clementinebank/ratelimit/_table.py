"""Rate limits of the leafs that one instance knows."""

import attrs
from eliot import log_message

from clementinebank.ratelimit._leaf_limit import COUNTED_TIME_S, LeafLimit
from clementinebank.ratelimit._named import NamedLimit


@attrs.define(eq=False)
class LimitTable:
    """Newest rate limit of each leaf that has named one.

    Parameters
    ----------
    limits_by_leaf : dict of str to LeafLimit
        Limits that are in force or have ended, by leaf id.
    """

    limits_by_leaf: dict[str, LeafLimit] = attrs.Factory(dict)

    @property
    def limited_count(self) -> int:
        """Return the number of leafs that name a limit now."""
        return sum(each.is_limited for each in self.limits_by_leaf.values())

    def on_named(
        self, leaf_id: str, named: NamedLimit, requested_at: float, now: float
    ) -> bool:
        """Record what a response of a leaf states.

        A response without a limit ends the known one only if it was requested
        after the last response with a limit. Otherwise the leaf may have sent
        it before.

        Parameters
        ----------
        leaf_id : str
            The leaf.
        named : NamedLimit
            Statement of the response.
        requested_at, now : float
            Runtime times of the request and the response, in seconds.

        Returns
        -------
        bool
            Whether a limit has ended.
        """
        known = self.limits_by_leaf.get(leaf_id)
        if named.per_s is None:
            if known is None or not known.is_limited:
                return False
            if requested_at < known.stated_at:
                return False
        if known is None:
            known = LeafLimit(None, now, reported_at=now)
            self.limits_by_leaf[leaf_id] = known
        self._log_change(leaf_id, known, named.per_s, now)
        known.per_s = named.per_s
        known.stated_at = now
        return named.per_s is None

    def on_sent(self, leaf_id: str, now: float, *, is_extra: bool) -> None:
        """Count a request to a leaf, and log the counts regularly."""
        limit = self.limits_by_leaf.get(leaf_id)
        if limit is None or not limit.is_limited:
            return
        limit.on_sent(now, is_extra=is_extra)
        if now >= limit.reported_at + COUNTED_TIME_S:
            log_message(
                message_type='leaf:limit_use',
                leaf=leaf_id,
                per_s=limit.per_s,
                stated_s=round(now - limit.stated_at, 3),
                sent=limit.sent_count(now),
                extra=limit.extra_sent,
                seconds=COUNTED_TIME_S,
            )
            limit.extra_sent = 0
            limit.reported_at = now

    def retain(self, leaf_ids: set[str]) -> None:
        """Forget the limits of all other leafs."""
        for leaf_id in self.limits_by_leaf.keys() - leaf_ids:
            self.limits_by_leaf.pop(leaf_id)

    def _log_change(
        self, leaf_id: str, known: LeafLimit, per_s: float | None, now: float
    ) -> None:
        """Log a limit that begins, ends or changes."""
        if known.per_s == per_s:
            return
        log_message(
            message_type='leaf:limit_named',
            leaf=leaf_id,
            per_s=per_s,
            previous_per_s=known.per_s,
            previous_s=round(now - known.stated_at, 3),
        )
