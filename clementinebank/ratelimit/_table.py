"""Rate limits of the leafs that one instance knows."""

import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Sequence
from itertools import cycle, islice

import attrs
from eliot import log_message

from clementinebank.ratelimit._leaf_limit import COUNTED_TIME_S, LeafLimit
from clementinebank.ratelimit._named import NamedLimit

# Time for which other instances are told of the end of a limit, in seconds.
# Those that follow a lost relay hear of it from the next one.
END_NOTICE_TIME_S = 20.0
# Least rate that is assumed for the tokens of an instance which got none in the
# measured time.
MIN_INCOME_PER_S = 0.2
# Bound of the leafs whose limits are kept, in force or ended.
MAX_LEAFS = 4096

ShareOf = Callable[[str], float]


@attrs.frozen
class LimitStatement:
    """Statement of a leaf that instances pass on to each other.

    Parameters
    ----------
    leaf_id : str
        The leaf.
    per_s : float or None
        Requests a second that it takes from all instances together, ``None``
        if it names no limit any more.
    stated_at : float
        Runtime time in seconds of the statement.
    """

    leaf_id: str
    per_s: float | None
    stated_at: float


@attrs.frozen
class WaitingRequests:
    """Requests of this instance that wait for a leaf.

    Parameters
    ----------
    leaf_ids : sequence of str
        Leafs of which any may get each request, the preferred ones first.
    count : int
        Number of the requests.
    """

    leaf_ids: Sequence[str]
    count: int


def _no_share(leaf_id: str) -> float:
    """Return 0, the share until the owner of the table sets another one."""
    return 0


def _none_waiting() -> Iterable[WaitingRequests]:
    """Return nothing, for a table whose owner doesn't let requests wait."""
    return ()


def equal_share(instance_count: int) -> ShareOf:
    """Return a function that gives each instance the same share."""
    return lambda leaf_id: 1 / instance_count


@attrs.define(eq=False)
class LimitTable:
    """Newest rate limit of each leaf that has named one, and its tokens.

    Parameters
    ----------
    share_of : callable
        Returns the share of this instance in the limit of a leaf, 0 to 1,
        which it uses without a coordinator.
    waiting : callable
        Returns the requests that wait for a leaf.
    rng : random.Random
        Spreads the first tokens of many instances over time.
    limits_by_leaf : dict of str to LeafLimit
        Limits that are in force or have ended, by leaf id.
    """

    share_of: ShareOf = _no_share
    waiting: Callable[[], Iterable[WaitingRequests]] = _none_waiting
    rng: random.Random = attrs.Factory(random.Random)
    limits_by_leaf: dict[str, LeafLimit] = attrs.Factory(dict)
    _changed_leafs: set[str] = attrs.Factory(set)
    _limited_leafs: set[str] = attrs.Factory(set)
    # Limited leafs that this instance calls or whose share it earns. Only they
    # are looked at regularly.
    _active_leafs: set[str] = attrs.Factory(set)
    _is_full: bool = False

    @property
    def limited_count(self) -> int:
        """Return the number of leafs that name a limit now."""
        return len(self._limited_leafs)

    def limit_of(self, leaf_id: str) -> LeafLimit | None:
        """Return the limit in force of a leaf, ``None`` if it has none."""
        limit = self.limits_by_leaf.get(leaf_id)
        return limit if limit is not None and limit.is_limited else None

    def may_send(self, leaf_id: str, now: float) -> bool:
        """Return whether a request may be sent to a leaf now."""
        limit = self.limit_of(leaf_id)
        return limit is None or limit.token_count(now) > 0

    def wait_s(
        self, leaf_ids: Collection[str], waiting: int, now: float
    ) -> float:
        """Return how long a new request waits for a token of some leafs.

        Parameters
        ----------
        leaf_ids : collection of str
            Leafs of which any may get the request.
        waiting : int
            Requests of this instance that wait for these leafs already.
        now : float
            Runtime time in seconds.

        Returns
        -------
        float
            Seconds until all waiting requests and one more can have got a
            token; 0 if a leaf names no limit or the rate of the tokens isn't
            known.
        """
        income_per_s: float = 0
        for leaf_id in leaf_ids:
            limit = self.limit_of(leaf_id)
            leaf_income_per_s = limit.income_per_s(now) if limit else None
            if leaf_income_per_s is None:
                return 0
            income_per_s += leaf_income_per_s
        if not leaf_ids:
            return 0
        return (waiting + 1) / max(income_per_s, MIN_INCOME_PER_S)

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
        if named.per_s is None and (
            known is None or requested_at < known.stated_at
        ):
            return False
        return self._set(LimitStatement(leaf_id, named.per_s, now), now)

    def merge(
        self, statements: Iterable[LimitStatement], now: float
    ) -> list[str]:
        """Apply statements that other instances have heard, where newer.

        Returns
        -------
        list of str
            Leafs whose limit has ended.
        """
        return [
            statement.leaf_id
            for statement in statements
            if self._is_news(statement) and self._set(statement, now)
        ]

    def statements_of(self, leaf_ids: Iterable[str]) -> list[LimitStatement]:
        """Return the newest statements of some leafs, where there are any."""
        return [
            LimitStatement(leaf_id, limit.per_s, limit.stated_at)
            for leaf_id in leaf_ids
            if (limit := self.limits_by_leaf.get(leaf_id)) is not None
        ]

    def recent_statements(self, now: float) -> list[LimitStatement]:
        """Return the limits in force and those that ended a short time ago."""
        return self.statements_of(
            leaf_id
            for leaf_id, limit in self.limits_by_leaf.items()
            if limit.is_limited or now < limit.ended_at + END_NOTICE_TIME_S
        )

    def wanted_by_leaf(self, now: float) -> dict[str, int]:
        """Return the tokens that this instance lacks for each active leaf.

        A limited leaf is active while requests need its tokens, or while the
        instance earns its share of the limit.
        """
        lacking_by_leaf: Counter[str] = Counter()
        for waiting in self.waiting():
            lacking_by_leaf.update(self._divide(waiting, now))
        self._active_leafs.update(lacking_by_leaf)
        wanted_by_leaf: dict[str, int] = {}
        for leaf_id in list(self._active_leafs):
            limit = self.limits_by_leaf[leaf_id]
            wanted_by_leaf[leaf_id] = limit.wanted(
                now, lacking_by_leaf[leaf_id]
            )
            if limit.is_coordinated and not limit.has_demand(now):
                self._active_leafs.discard(leaf_id)
        return wanted_by_leaf

    @property
    def has_changes(self) -> bool:
        """Return whether a limit has begun or ended.

        It is false again after ``pop_changed_leafs``.
        """
        return bool(self._changed_leafs)

    def pop_changed_leafs(self) -> set[str]:
        """Return the leafs whose limit began or ended since the last call."""
        changed_leafs = self._changed_leafs
        self._changed_leafs = set()
        return changed_leafs

    def use_coordinator(self, leaf_id: str) -> None:
        """Spend only granted tokens for a leaf from now on."""
        limit = self.limit_of(leaf_id)
        if limit is not None:
            limit.is_coordinated = True

    def use_share(self, leaf_id: str, now: float) -> None:
        """Earn the share of this instance for a leaf from now on."""
        limit = self.limit_of(leaf_id)
        if limit is not None and limit.is_coordinated:
            limit.use_share(self.share_of(leaf_id), self.rng.random(), now)
            self._active_leafs.add(leaf_id)

    def on_missed(self, leaf_id: str, now: float, *, is_waiting: bool) -> None:
        """Record a request that a leaf would have got with a token."""
        limit = self.limit_of(leaf_id)
        if limit is not None:
            limit.on_missed(now, is_waiting=is_waiting)
            self._active_leafs.add(leaf_id)

    def on_sent(self, leaf_id: str, now: float, *, is_extra: bool) -> None:
        """Spend a token for a request to a leaf, and log the use regularly."""
        limit = self.limit_of(leaf_id)
        if limit is None:
            return
        limit.on_sent(now, is_extra=is_extra)
        self._active_leafs.add(leaf_id)
        if now >= limit.reported_at + COUNTED_TIME_S:
            log_message(
                message_type='leaf:limit_use',
                leaf=leaf_id,
                per_s=limit.per_s,
                stated_s=round(now - limit.stated_at, 3),
                is_coordinated=limit.is_coordinated,
                sent=limit.sent_count(now),
                extra=limit.extra_sent,
                seconds=COUNTED_TIME_S,
            )
            limit.extra_sent = 0
            limit.reported_at = now

    def retain(self, leaf_ids: Collection[str]) -> None:
        """Forget the limits of all other leafs."""
        for leaf_id in self.limits_by_leaf.keys() - set(leaf_ids):
            self.limits_by_leaf.pop(leaf_id)
        for known_leafs in (self._limited_leafs, self._active_leafs):
            known_leafs.intersection_update(leaf_ids)

    def _divide(self, waiting: WaitingRequests, now: float) -> Iterable[str]:
        """Return a leaf for each waiting request that has no token yet.

        Each request asks one leaf only: the tokens of the others would lapse,
        though other instances need them. Leafs that had no token come last.
        """
        limits_by_leaf = {
            leaf_id: limit
            for leaf_id in waiting.leaf_ids
            if (limit := self.limit_of(leaf_id)) is not None
        }
        held = sum(each.token_count(now) for each in limits_by_leaf.values())
        order = sorted(
            limits_by_leaf,
            key=lambda leaf_id: limits_by_leaf[leaf_id].denied_at,
        )
        return islice(cycle(order), max(0, waiting.count - held))

    def _is_news(self, statement: LimitStatement) -> bool:
        """Return whether a statement of another instance changes anything."""
        known = self.limits_by_leaf.get(statement.leaf_id)
        if known is None:
            return statement.per_s is not None
        return statement.stated_at > known.stated_at

    def _make_room(self, leaf_id: str) -> bool:
        """Forget a limit that has ended if there is no room for a new one.

        Returns
        -------
        bool
            Whether there is room; otherwise all limits are in force.
        """
        if len(self.limits_by_leaf) < MAX_LEAFS:
            return True
        ended = self.limits_by_leaf.keys() - self._limited_leafs
        if not ended:
            if not self._is_full:
                log_message(message_type='leaf:limit_ignored', leaf=leaf_id)
            self._is_full = True
            return False
        self._is_full = False
        self.limits_by_leaf.pop(
            min(ended, key=lambda each: self.limits_by_leaf[each].ended_at)
        )
        return True

    def _set(self, statement: LimitStatement, now: float) -> bool:
        """Record a statement and log a limit that begins, ends or changes.

        Returns
        -------
        bool
            Whether a limit has ended.
        """
        leaf_id, per_s = statement.leaf_id, statement.per_s
        limit = self.limits_by_leaf.get(leaf_id)
        if limit is None:
            if not self._make_room(leaf_id):
                return False
            limit = LeafLimit(None, statement.stated_at)
            self.limits_by_leaf[leaf_id] = limit
        previous_per_s = limit.per_s
        if previous_per_s != per_s:
            log_message(
                message_type='leaf:limit_named',
                leaf=leaf_id,
                per_s=per_s,
                previous_per_s=previous_per_s,
                age_s=round(now - statement.stated_at, 3),
            )
        limit.per_s = per_s
        limit.stated_at = statement.stated_at
        if (previous_per_s is None) == (per_s is None):
            return False
        self._changed_leafs.add(leaf_id)
        if per_s is None:
            self._limited_leafs.discard(leaf_id)
            self._active_leafs.discard(leaf_id)
            limit.ended_at = now
            return True
        self._limited_leafs.add(leaf_id)
        self._active_leafs.add(leaf_id)
        limit.begin(now)
        limit.use_share(self.share_of(leaf_id), self.rng.random(), now)
        return False
