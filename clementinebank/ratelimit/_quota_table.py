"""Quotas at one instance: which requests it admits, and what it reports."""

import enum
import random
from collections.abc import Iterable

import attrs
from eliot import log_message

from clementinebank.ratelimit._quota import Quota, QuotaBounds
from clementinebank.ratelimit._quota_messages import (
    QuotaReport,
    QuotaVerdict,
    TightStatement,
)

# Time for which a verdict counts, in seconds. Without one, an instance admits
# one request of an account before it hears from the coordinator.
VERDICT_TIME_S = 5.0
# Time for which a granted token may be used, in seconds.
GRANT_TIME_S = 1.0
# Time after which admitted requests are reported at the latest, in seconds.
REPORT_DELAY_S = 0.2
# An account without requests for this time is forgotten.
UNUSED_TIME_S = 60.0
CLEANING_INTERVAL_S = 10.0
# Time for which a statement counts, and for which it is passed on, in seconds.
STATEMENT_TIME_S = 30.0
# Time for which the end of a shortage is passed on, in seconds.
END_NOTICE_TIME_S = 5.0
# Parts of the tolerated excess that the instances may use when their
# coordinators are lost: at once, and in each window. What ran before has used
# some of it.
ALONE_PART = 0.5
ALONE_INCOME_PART = 0.2
# Least tokens that an instance without a coordinator saves.
MIN_CAPACITY_ALONE = 2
# Retry-After of requests that are refused without a coordinator, in seconds.
MAX_RETRY_ALONE_S = 1.0


class Decision(enum.Enum):
    """What to do with a request of an account."""

    ADMIT = 'admit'
    ASK = 'ask'
    REFUSE = 'refuse'


@attrs.define
class LocalQuota:
    """What one instance knows of the quota of one account.

    Parameters
    ----------
    free : int
        Requests that it may admit before the next verdict.
    granted : int
        Tokens that the coordinator has granted and that aren't used yet.
    unreported : int
        Requests that it has admitted and not reported.
    is_tight : bool
        Whether the last verdict was to ask for each request.
    heard_at, granted_at, refused_until : float
        Runtime times in seconds of the last verdict and of the last grant, and
        until which requests are refused without asking.
    requested_at : float
        Runtime time in seconds of the last request.
    alone_tokens : float or None
        Tokens of an instance whose coordinator can't be asked, ``None`` if it
        can.
    alone_at : float
        Runtime time in seconds up to which these tokens have accrued.
    """

    free: int = 0
    granted: int = 0
    unreported: int = 0
    is_tight: bool = False
    heard_at: float = float('-inf')
    granted_at: float = float('-inf')
    refused_until: float = float('-inf')
    requested_at: float = 0
    alone_tokens: float | None = None
    alone_at: float = 0

    def decide(self, now: float, *, is_tight_everywhere: bool) -> Decision:
        """Return what to do with a request, and record it if admitted."""
        if self.granted and now < self.granted_at + GRANT_TIME_S:
            self.granted -= 1
            return Decision.ADMIT
        self.granted = 0
        if now < self.refused_until:
            return Decision.REFUSE
        is_known = now < self.heard_at + VERDICT_TIME_S
        if is_tight_everywhere or (is_known and self.is_tight):
            return Decision.ASK
        if not is_known:
            self.heard_at = now
            self.is_tight = False
            self.free = 1
        if not self.free:
            return Decision.ASK
        self.free -= 1
        self.unreported += 1
        return Decision.ADMIT

    def decide_alone(
        self, income_per_s: float, capacity: float, now: float
    ) -> Decision:
        """Return what to do with a request without a coordinator."""
        elapsed_s = max(0, now - self.alone_at)
        self.alone_at = now
        tokens = (self.alone_tokens or 0) + income_per_s * elapsed_s
        self.alone_tokens = min(capacity, tokens)
        if self.alone_tokens < 1:
            missing = 1 - self.alone_tokens
            wait_s = min(MAX_RETRY_ALONE_S, missing / income_per_s)
            self.refused_until = now + wait_s
            return Decision.REFUSE
        self.alone_tokens -= 1
        self.unreported += 1
        return Decision.ADMIT

    def on_verdict(self, verdict: QuotaVerdict, wanted: int, at: float) -> None:
        """Apply the reply of the coordinator."""
        self.alone_tokens = None
        self.heard_at = at
        self.is_tight = verdict.is_tight
        self.free = verdict.free
        if verdict.granted:
            self.granted += verdict.granted
            self.granted_at = at
        if verdict.granted < wanted:
            self.refused_until = at + verdict.retry_after_s


@attrs.define(eq=False)
class QuotaTable:
    """Accounts with a quota that this instance has served lately.

    It grows with them only, whatever the number of all accounts.

    Parameters
    ----------
    bounds : QuotaBounds
        How far quotas may be exceeded.
    rng : random.Random
        Spreads the first tokens of many instances without a coordinator.
    quotas_by_account : dict of str to LocalQuota
        What this instance knows of each account.
    statements_by_account : dict of str to TightStatement
        Newest statement of a coordinator on each account.
    has_news : bool
        Whether statements have come that were not passed on yet.
    """

    bounds: QuotaBounds = QuotaBounds()
    rng: random.Random = attrs.Factory(random.Random)
    quotas_by_account: dict[str, LocalQuota] = attrs.Factory(dict)
    statements_by_account: dict[str, TightStatement] = attrs.Factory(dict)
    has_news: bool = False
    # Time of the first request of each account that isn't reported.
    _used_since: dict[str, float] = attrs.Factory(dict)
    _next_cleaning_at: float = 0

    def decide(self, account: str, now: float) -> Decision:
        """Return what to do with a request, and record it if admitted."""
        local = self._local(account, now)
        decision = local.decide(
            now, is_tight_everywhere=self.is_tight(account, now)
        )
        if local.unreported:
            self._used_since.setdefault(account, now)
        return decision

    def decide_alone(
        self, account: str, quota: Quota, share: float, now: float
    ) -> Decision:
        """Return what to do with a request without a coordinator.

        Parameters
        ----------
        account : str
            Name of the account.
        quota : Quota
            Its quota.
        share : float
            Share of this instance in it, 0 to 1.
        now : float
            Runtime time in seconds.
        """
        local = self._local(account, now)
        spare = self.bounds.spare(quota) * share
        income_per_s = (
            quota.rate_per_s * share
            + ALONE_INCOME_PART * spare / self.bounds.window_s
        )
        if local.alone_tokens is None:
            local.alone_at = now
            local.granted = 0
            is_used_up = local.is_tight or self.is_tight(account, now)
            # The sum over all instances is the spare, also if the share of
            # each is below one request.
            local.alone_tokens = self.rng.random() + (
                0 if is_used_up else spare
            )
        decision = local.decide_alone(
            income_per_s, max(MIN_CAPACITY_ALONE, quota.burst * share), now
        )
        if local.unreported:
            self._used_since.setdefault(account, now)
        return decision

    def is_tight(self, account: str, now: float) -> bool:
        """Return whether the coordinator lets all instances wait."""
        statement = self.statements_by_account.get(account)
        return (
            statement is not None
            and statement.is_tight
            and now < statement.stated_at + STATEMENT_TIME_S
        )

    def retry_after_s(self, account: str, now: float) -> float:
        """Return when a refused request may come again, in seconds."""
        return max(0, self._local(account, now).refused_until - now)

    def due_accounts(self, now: float) -> list[str]:
        """Return the accounts whose use must be reported now.

        At once if the next request has to ask.
        """
        return [
            account
            for account, since in self._used_since.items()
            if now >= since + REPORT_DELAY_S
            or not self.quotas_by_account[account].free
        ]

    def take_report(self, account: str, wanted: int, now: float) -> QuotaReport:
        """Return the report on an account, whose use then counts as told."""
        self._used_since.pop(account, None)
        local = self._local(account, now)
        used = local.unreported
        local.unreported = 0
        return QuotaReport(account, used, wanted)

    def take_back(self, report: QuotaReport, now: float) -> None:
        """Record that a report didn't arrive."""
        self._local(report.account, now).unreported += report.used
        if report.used:
            self._used_since[report.account] = now

    def on_verdict(
        self, verdict: QuotaVerdict, wanted: int, now: float
    ) -> None:
        """Apply the reply of the coordinator to a report."""
        self._local(verdict.account, now).on_verdict(verdict, wanted, now)

    def merge(self, statements: Iterable[TightStatement]) -> None:
        """Apply statements of coordinators, where they are newer."""
        for statement in statements:
            known = self.statements_by_account.get(statement.account)
            if known is None and not statement.is_tight:
                continue
            if known is None or statement.stated_at > known.stated_at:
                self.statements_by_account[statement.account] = statement
                self._log_change(known, statement)

    def recent_statements(self, now: float) -> list[TightStatement]:
        """Return the statements that other instances should know."""
        for account, statement in list(self.statements_by_account.items()):
            kept_s = (
                STATEMENT_TIME_S if statement.is_tight else END_NOTICE_TIME_S
            )
            if now >= statement.stated_at + kept_s:
                self.statements_by_account.pop(account)
        return list(self.statements_by_account.values())

    def clean(self, now: float) -> None:
        """Forget the accounts that were not used lately."""
        if now < self._next_cleaning_at:
            return
        self._next_cleaning_at = now + CLEANING_INTERVAL_S
        for account, local in list(self.quotas_by_account.items()):
            if not local.unreported and (
                local.requested_at < now - UNUSED_TIME_S
            ):
                self.quotas_by_account.pop(account)

    def _local(self, account: str, now: float) -> LocalQuota:
        local = self.quotas_by_account.get(account)
        if local is None:
            local = LocalQuota()
            self.quotas_by_account[account] = local
        local.requested_at = now
        return local

    def _log_change(
        self, known: TightStatement | None, statement: TightStatement
    ) -> None:
        if (known is not None and known.is_tight) == statement.is_tight:
            return
        self.has_news = True
        log_message(
            message_type='account:quota_tight',
            account=statement.account,
            is_tight=statement.is_tight,
        )
