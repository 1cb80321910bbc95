"""Coordinator of quotas: what accounts have left on all instances together."""

from collections.abc import Callable

import attrs

from clementinebank.ratelimit._quota import Quota, QuotaBounds
from clementinebank.ratelimit._quota_messages import QuotaReport, QuotaVerdict

# Least tokens that an idle account saves, and the time for which it saves them
# at least, in seconds. Callers don't send at even intervals.
MIN_CAPACITY = 2
MIN_SAVED_S = 0.1
# Below this part of its capacity an account gets tokens only on request.
TIGHT_PART = 0.25
# From this part of its capacity on it may be free again everywhere.
RELAXED_PART = 0.5
# Part of the tokens that one instance may use before it reports again.
FREE_PART = 0.125
# Part of the tolerated excess that is forgiven in a window. The rest is for
# requests that run before their instance hears that the quota is used up.
FORGIVEN_PART = 0.3
# Excess, as a part of the tolerated one, at which all instances are told.
ALARM_PART = 0.1
# Time without a refusal after which the account is free again, in seconds.
RELAXED_TIME_S = 3.0
# Longest time for which an instance refuses without asking again, in seconds.
MAX_RETRY_S = 0.5
# Interval at which instances are told again of a quota that is used up.
RESTATE_INTERVAL_S = 10.0
# A bucket that is full and that nobody asked for in this time is removed.
UNUSED_TIME_S = 60.0
CLEANING_INTERVAL_S = 10.0

FindQuota = Callable[[str], Quota | None]


@attrs.define
class QuotaBucket:
    """Tokens of one account.

    Parameters
    ----------
    tokens : float
        Requests that the account may make now; below 0 if it has made more
        than are forgiven.
    updated_at : float
        Runtime time in seconds up to which tokens have accrued.
    excess : float
        Forgiven requests beyond the quota, which decay within a window.
    is_tight : bool
        Whether all instances must wait for tokens.
    refused_at, stated_at : float
        Runtime times in seconds of the last refusal and of the last statement
        to all instances.
    """

    tokens: float
    updated_at: float
    excess: float = 0
    is_tight: bool = False
    refused_at: float = float('-inf')
    stated_at: float = float('-inf')
    _refused_count: float = 0

    def accrue(self, quota: Quota, bounds: QuotaBounds, now: float) -> None:
        """Add the tokens since the last call."""
        elapsed_s = max(0, now - self.updated_at)
        self.updated_at = now
        self.tokens = min(
            capacity_of(quota), self.tokens + quota.rate_per_s * elapsed_s
        )
        decayed = bounds.spare(quota) * FORGIVEN_PART / bounds.window_s
        self.excess = max(0, self.excess - decayed * elapsed_s)
        self._refused_count *= max(0, 1 - elapsed_s)

    def charge(self, used: int, quota: Quota, bounds: QuotaBounds) -> None:
        """Take the tokens of requests that have run without asking."""
        self.tokens -= used
        room = bounds.spare(quota) * FORGIVEN_PART - self.excess
        forgiven = min(max(0, -self.tokens), max(0, room))
        self.tokens += forgiven
        self.excess += forgiven

    def grant(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens and return how many were taken."""
        granted = max(0, min(wanted, int(self.tokens)))
        self.tokens -= granted
        return granted

    def refuse(self, count: int, rate_per_s: float, now: float) -> float:
        """Record refusals and return when to ask again, in seconds.

        The more requests are refused, the later, so that about as many ask as
        tokens accrue.
        """
        self.refused_at = now
        self._refused_count += count
        missing = max(1, 1 - self.tokens)
        return min(MAX_RETRY_S, max(missing, self._refused_count) / rate_per_s)

    def must_state(self, now: float) -> bool:
        """Return whether all instances must be told of this account now."""
        return not self.is_tight or now >= self.stated_at + RESTATE_INTERVAL_S


def capacity_of(quota: Quota) -> float:
    """Return the tokens that an idle account saves."""
    return max(quota.burst, MIN_CAPACITY, MIN_SAVED_S * quota.rate_per_s)


def _no_quota(account: str) -> None:
    """Find no quota, for an instance that knows no accounts."""


@attrs.define(eq=False)
class QuotaLedger:
    """Tokens of the accounts that this instance coordinates.

    Nothing is stored. What instances used before this one began to coordinate
    isn't known, so an account starts with half of the tolerated excess and
    what has accrued since then.

    Parameters
    ----------
    find_quota : callable
        Returns the quota of an account, ``None`` if it has none.
    bounds : QuotaBounds
        How far quotas may be exceeded.
    buckets_by_account : dict of str to QuotaBucket
        Tokens of the accounts that were asked for lately.
    remote_at : float
        Runtime time in seconds of the last report of another instance.
    """

    find_quota: FindQuota = _no_quota
    bounds: QuotaBounds = QuotaBounds()
    buckets_by_account: dict[str, QuotaBucket] = attrs.Factory(dict)
    remote_at: float = float('-inf')
    _tight_accounts: set[str] = attrs.Factory(set)
    _began_at: float | None = None
    _next_cleaning_at: float = 0

    def settle(self, report: QuotaReport, now: float) -> QuotaVerdict | None:
        """Charge what an instance has used and grant what it waits for.

        Returns
        -------
        QuotaVerdict or None
            ``None`` if this instance knows no quota of the account.
        """
        quota = self.find_quota(report.account)
        if quota is None:
            return None
        bucket = self._bucket_of(report.account, quota, now)
        bucket.accrue(quota, self.bounds, now)
        bucket.charge(report.used, quota, self.bounds)
        granted = bucket.grant(report.wanted)
        retry_after_s: float = 0
        if granted < report.wanted:
            retry_after_s = bucket.refuse(
                report.wanted - granted, quota.rate_per_s, now
            )
        self._update_tightness(report.account, bucket, quota, now)
        is_tight = bucket.is_tight or bucket.tokens < TIGHT_PART * capacity_of(
            quota
        )
        return QuotaVerdict(
            report.account,
            granted,
            0 if is_tight else max(1, int(FREE_PART * bucket.tokens)),
            retry_after_s,
            is_tight,
        )

    def statements_due(self, now: float) -> dict[str, bool]:
        """Return the accounts of which all instances must be told now.

        The value is whether each request must wait for a token.
        """
        due: dict[str, bool] = {}
        for account in tuple(self._tight_accounts):
            bucket = self.buckets_by_account[account]
            quota = self.find_quota(account)
            bucket.is_tight = quota is not None
            if quota is not None:
                bucket.accrue(quota, self.bounds, now)
                self._update_tightness(account, bucket, quota, now)
            if not bucket.is_tight:
                self._tight_accounts.discard(account)
            if bucket.must_state(now):
                bucket.stated_at = now
                due[account] = bucket.is_tight
        return due

    @property
    def tight_count(self) -> int:
        """Return the number of quotas that are used up."""
        return len(self._tight_accounts)

    def _update_tightness(
        self, account: str, bucket: QuotaBucket, quota: Quota, now: float
    ) -> None:
        """Decide whether all instances must wait for tokens."""
        alarm = ALARM_PART * self.bounds.spare(quota)
        if bucket.tokens < 0 or bucket.excess > alarm:
            if account not in self._tight_accounts:
                bucket.stated_at = float('-inf')
            bucket.is_tight = True
            self._tight_accounts.add(account)
        elif (
            bucket.tokens >= RELAXED_PART * capacity_of(quota)
            and now >= bucket.refused_at + RELAXED_TIME_S
        ):
            bucket.is_tight = False

    def _bucket_of(self, account: str, quota: Quota, now: float) -> QuotaBucket:
        if self._began_at is None:
            self._began_at = now
        bucket = self.buckets_by_account.get(account)
        if bucket is None:
            self._remove_unused(now)
            accrued = quota.rate_per_s * (now - self._began_at)
            tokens = self.bounds.spare(quota) / 2 + accrued
            bucket = QuotaBucket(min(capacity_of(quota), tokens), now)
            self.buckets_by_account[account] = bucket
        return bucket

    def _remove_unused(self, now: float) -> None:
        if now < self._next_cleaning_at:
            return
        self._next_cleaning_at = now + CLEANING_INTERVAL_S
        for account, bucket in list(self.buckets_by_account.items()):
            is_unused = bucket.updated_at < now - UNUSED_TIME_S
            if is_unused and account not in self._tight_accounts:
                self.buckets_by_account.pop(account)
