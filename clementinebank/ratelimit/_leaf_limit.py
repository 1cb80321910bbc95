"""Rate limit of one leaf, and the requests that one instance may send."""

from collections import deque
from itertools import repeat
from math import ceil

import attrs

# Time for which a token may be spent, in seconds. Short, so that tokens saved
# by many instances can't arrive at the leaf at once.
TOKEN_LIFETIME_S = 1.0
# Bound of the tokens that one instance holds for a leaf.
MAX_TOKENS = 1000
# Least rate at which a limited leaf is called. A leaf that takes nothing would
# otherwise never be heard of again.
MIN_RATE_PER_S = 0.2
# Time over which the demand and the income are measured, in seconds.
MEASURED_TIME_S = 1.0
# Time for which tokens are asked for in advance, in seconds.
DEMAND_HORIZON_S = 0.2
# Time in which the requests to a limited leaf are counted for the log.
COUNTED_TIME_S = 4.0


@attrs.define
class LeafLimit:
    """Newest statement of a leaf, and the tokens of this instance for it.

    Each request to a limited leaf spends a token. A coordinator grants the
    tokens; without one, the instance earns its share of the limit.

    Parameters
    ----------
    per_s : float or None
        Requests a second that the leaf takes from all instances together,
        ``None`` if its limit has ended.
    stated_at : float
        Runtime time in seconds of the newest statement.
    limited_since, ended_at : float
        Runtime times in seconds at which the limit began and ended.
    share : float
        Share of the limit that this instance uses without a coordinator.
    is_coordinated : bool
        Whether a coordinator grants the tokens.
    extra_sent : int
        Hedges and retries since the last report.
    reported_at : float
        Runtime time in seconds of the last report.
    denied_at : float
        Runtime time in seconds at which the coordinator last granted less than
        it was asked for.
    """

    per_s: float | None
    stated_at: float
    limited_since: float = 0
    ended_at: float = float('-inf')
    share: float = 0
    is_coordinated: bool = False
    extra_sent: int = 0
    reported_at: float = 0
    denied_at: float = float('-inf')
    _expiries: deque[float] = attrs.Factory(deque)
    _next_share_at: float = 0
    _missed_at: float = float('-inf')
    _requested_at: deque[float] = attrs.Factory(deque)
    _received: deque[tuple[float, int]] = attrs.Factory(deque)
    _sent_at: deque[float] = attrs.Factory(deque)

    @property
    def is_limited(self) -> bool:
        """Return whether the leaf names a limit."""
        return self.per_s is not None

    @property
    def rate_per_s(self) -> float:
        """Return the requests a second that all instances may send."""
        return max(MIN_RATE_PER_S, self.per_s or 0)

    def begin(self, now: float) -> None:
        """Start to count the demand for a leaf that was not limited before."""
        self.limited_since = now
        self.reported_at = now
        self.is_coordinated = False
        for measured in (self._expiries, self._requested_at, self._received):
            measured.clear()

    def use_share(self, share: float, first_token_s: float, now: float) -> None:
        """Earn a share of the limit from now on, without a coordinator.

        Parameters
        ----------
        share : float
            Share of this instance in the limit, 0 to 1.
        first_token_s : float
            Time until the first token, as a multiple of the interval between
            two tokens. It is random, so that the tokens of many instances
            don't arrive together.
        now : float
            Runtime time in seconds.
        """
        self.is_coordinated = False
        self.share = share
        interval_s = self._share_interval_s()
        self._next_share_at = now + first_token_s * interval_s

    def token_count(self, now: float) -> int:
        """Return how many requests may be sent now."""
        if not self.is_coordinated:
            self._earn_share(now)
        while self._expiries and self._expiries[0] <= now:
            self._expiries.popleft()
        return len(self._expiries)

    def on_granted(
        self, wanted: int, granted: int, asked_at: float, now: float
    ) -> None:
        """Add the tokens that a coordinator has granted.

        Parameters
        ----------
        wanted, granted : int
            Tokens that this instance asked for and got.
        asked_at : float
            Runtime time of the question in seconds. The tokens expire a fixed
            time after it.
        now : float
            Runtime time in seconds.
        """
        self.is_coordinated = True
        while self._received and (
            self._received[0][0] <= now - MEASURED_TIME_S
        ):
            self._received.popleft()
        self._received.append((now, granted))
        if granted < wanted:
            self.denied_at = now
        room = MAX_TOKENS - len(self._expiries)
        expires_at = asked_at + TOKEN_LIFETIME_S
        self._expiries.extend(repeat(expires_at, min(granted, room)))

    def on_sent(self, now: float, *, is_extra: bool) -> None:
        """Spend a token for a request to the leaf, if there is one."""
        if self.token_count(now):
            self._expiries.popleft()
        self._requested_at.append(now)
        self._sent_at.append(now)
        self.extra_sent += int(is_extra)

    def on_missed(self, now: float, *, is_waiting: bool) -> None:
        """Record a request that the leaf would have got with a token.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        is_waiting : bool
            Whether the request waits; otherwise another leaf gets it.
        """
        self._requested_at.append(now)
        if not is_waiting:
            self._missed_at = now

    def wanted(self, now: float, lacking: int) -> int:
        """Return how many tokens this instance should ask for.

        Parameters
        ----------
        now : float
            Runtime time in seconds.
        lacking : int
            Requests that wait for a token of this leaf and have none.
        """
        if not (lacking or self.has_demand(now)):
            return 0
        demand_per_s = len(self._requested_at) / MEASURED_TIME_S
        expected = int(demand_per_s * DEMAND_HORIZON_S)
        if self._missed_at > now - DEMAND_HORIZON_S:
            expected = max(1, expected)
        missing = max(lacking, expected - self.token_count(now))
        return min(MAX_TOKENS, max(0, missing))

    def has_demand(self, now: float) -> bool:
        """Return whether a request needed a token in the measured time."""
        _drop_until(self._requested_at, now - MEASURED_TIME_S)
        return bool(self._requested_at)

    def income_per_s(self, now: float) -> float | None:
        """Return the tokens that this instance gets a second.

        ``None`` if that isn't known: the limit is new, or the coordinator has
        granted all that it was asked for lately.
        """
        if now < self.limited_since + MEASURED_TIME_S:
            return None
        if not self.is_coordinated:
            return 1 / self._share_interval_s()
        if self.denied_at <= now - MEASURED_TIME_S:
            return None
        received = sum(
            count for at, count in self._received if at > now - MEASURED_TIME_S
        )
        return min(self.rate_per_s, received / MEASURED_TIME_S)

    def sent_count(self, now: float) -> int:
        """Return the requests of the last ``COUNTED_TIME_S`` seconds."""
        _drop_until(self._sent_at, now - COUNTED_TIME_S)
        return len(self._sent_at)

    def _share_interval_s(self) -> float:
        """Return the time between two tokens of the share, in seconds."""
        rate_per_s = self.rate_per_s * max(self.share, 1 / MAX_TOKENS)
        return 1 / min(rate_per_s, MAX_TOKENS / TOKEN_LIFETIME_S)

    def _earn_share(self, now: float) -> None:
        """Add the tokens that were earned and have not expired yet."""
        interval_s = self._share_interval_s()
        expired_s = now - TOKEN_LIFETIME_S - self._next_share_at
        if expired_s > 0:
            self._next_share_at += ceil(expired_s / interval_s) * interval_s
        while self._next_share_at <= now:
            self._expiries.append(self._next_share_at + TOKEN_LIFETIME_S)
            self._next_share_at += interval_s


def _drop_until(times: deque[float], until: float) -> None:
    """Remove the times up to a runtime time from the front."""
    while times and times[0] <= until:
        times.popleft()
