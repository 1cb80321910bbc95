"""Client that keeps the quotas of accounts over all instances."""

from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable

import attrs
import curio
from eliot import write_traceback

from clementinebank.clock import now
from clementinebank.ratelimit._client import LimitClient
from clementinebank.ratelimit._messages import Acquisition
from clementinebank.ratelimit._quota import Quota, QuotaBounds, account_key
from clementinebank.ratelimit._quota_messages import (
    MAX_ACCOUNTS,
    QuotaReport,
    TightStatement,
)
from clementinebank.ratelimit._quota_table import Decision, QuotaTable
from clementinebank.validation import Address

# Interval of reports, without and with accounts in use.
IDLE_INTERVAL_S = 0.1
BUSY_INTERVAL_S = 0.05
# Longest wait of a request for a token. A round trip between the farthest data
# centres takes about 50 ms.
MAX_WAIT_S = 0.15
# Questions of one request: another one may take the token that it waits for.
MAX_QUESTIONS = 2
# Least Retry-After of a request beyond its quota, in seconds.
MIN_RETRY_S = 0.05
# A coordinator that has heard neither from another instance nor from the store
# for this time may be cut off, and keeps to its share. Otherwise the others
# would use their shares besides the whole quota.
SILENCE_S = 3.0


@attrs.define(eq=False)
class QuotaClient:
    """Client that admits the requests of accounts with a quota.

    Requests run without a wait while the coordinator of an account has tokens
    to spare; this instance then reports what it has used. When they run low,
    each request waits for a token.

    Parameters
    ----------
    limits : LimitClient
        Knows the coordinators and the connections to them.
    fleet_size : callable
        Returns an upper estimate of the number of instances.
    silence_s : callable
        Returns the time since the store last confirmed what this instance
        knows, in seconds.
    decisions : Counter of str
        Requests since the start by how they were decided: ``free`` or with a
        ``token``, ``alone`` without a coordinator, or refused as ``over`` the
        quota or ``over_alone``.
    """

    limits: LimitClient
    fleet_size: Callable[[], int]
    silence_s: Callable[[], float]
    decisions: Counter[str] = attrs.Factory(Counter)
    _on_changed: Callable[[], Awaitable[None]] = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Pass news on as news on limits of leafs."""
        self._on_changed = self.limits.on_changed_limits

    @property
    def table(self) -> QuotaTable:
        """Return the quotas that this instance serves."""
        return self.limits.service.quotas

    async def run(self) -> None:
        """Report what was used and pass on statements until cancelled."""
        while True:
            is_busy = self.table.quotas_by_account
            await curio.sleep(BUSY_INTERVAL_S if is_busy else IDLE_INTERVAL_S)
            try:
                await self.update()
            except Exception:
                # Without this task all requests would have to ask.
                write_traceback()

    async def update(self) -> None:
        """Send the reports that are due, and news to other instances."""
        table = self.table
        due_by_coordinator: dict[Address, list[str]] = defaultdict(list)
        for account in table.due_accounts(now()):
            address = self._coordinator_of(account)
            if address is not None:
                due_by_coordinator[address].append(account)
        for address, accounts in due_by_coordinator.items():
            await curio.spawn(
                self._settle,
                address,
                dict.fromkeys(accounts[:MAX_ACCOUNTS], 0),
                daemon=True,
            )
        await self._announce()
        table.clean(now())

    async def admit(self, account: str, quota: Quota) -> float | None:
        """Admit a request of an account, or refuse it.

        Returns
        -------
        float or None
            ``None`` if it is admitted; otherwise the time in seconds after
            which it may come again.
        """
        table = self.table
        questions = 0
        while True:
            address = self._coordinator_of(account)
            if address is None:
                return self._admit_alone(account, quota)
            decision = table.decide(account, now())
            if decision is not Decision.ASK or questions == MAX_QUESTIONS:
                break
            questions += 1
            if not await self._ask(address, account):
                return self._admit_alone(account, quota)
        if decision is Decision.ADMIT:
            self.decisions['token' if questions else 'free'] += 1
            return None
        self.decisions['over'] += 1
        return max(MIN_RETRY_S, table.retry_after_s(account, now()))

    def apply_bounds(self, bounds: QuotaBounds) -> None:
        """Put changed bounds in force."""
        self.table.bounds = bounds
        self.limits.service.ledger.bounds = bounds

    async def _ask(self, address: Address, account: str) -> bool:
        """Ask for a token; return whether the coordinator has answered."""
        if address == self.limits.address:
            return await self._settle(address, {account: 1})
        task = await curio.spawn(
            self._settle, address, {account: 1}, daemon=True
        )
        async with curio.ignore_after(MAX_WAIT_S):
            # Unlike a join, a wait that ends doesn't cancel the task: a token
            # that comes late serves the next request.
            await task.wait()
            return task.exception is None and bool(task.result)
        return False

    def _admit_alone(self, account: str, quota: Quota) -> float | None:
        """Admit or refuse a request without a coordinator."""
        table = self.table
        share = 1 / max(1, self.fleet_size())
        decision = table.decide_alone(account, quota, share, now())
        if decision is Decision.ADMIT:
            self.decisions['alone'] += 1
            return None
        self.decisions['over_alone'] += 1
        return max(MIN_RETRY_S, table.retry_after_s(account, now()))

    async def _settle(
        self, address: Address, wanted_by_account: dict[str, int]
    ) -> bool:
        """Send reports and apply the verdicts.

        Returns
        -------
        bool
            Whether there is a verdict on every account.
        """
        table = self.table
        service = self.limits.service
        reports = tuple(
            table.take_report(account, wanted, now())
            for account, wanted in wanted_by_account.items()
        )
        if address == self.limits.address:
            verdicts = service.settle(reports, now())
        else:
            reply = await self.limits.exchange(
                address, Acquisition(reports=reports)
            )
            if reply is None:
                self._take_back(reports)
                return False
            verdicts = reply.verdicts
        for verdict in verdicts:
            wanted = wanted_by_account.get(verdict.account, 0)
            table.on_verdict(verdict, wanted, now())
        return len(verdicts) == len(reports)

    def _take_back(self, reports: tuple[QuotaReport, ...]) -> None:
        for report in reports:
            self.table.take_back(report, now())

    def _coordinator_of(self, account: str) -> Address | None:
        """Return the coordinator of an account, ``None`` if there is none."""
        address = self.limits.find_coordinator(account_key(account))
        if address is None or self.limits.is_paused(address):
            return None
        if address == self.limits.address and self._may_be_cut_off():
            return None
        return address

    def _may_be_cut_off(self) -> bool:
        """Return whether this instance has heard from nobody for a while."""
        remote_s = now() - self.limits.service.ledger.remote_at
        return min(remote_s, self.silence_s()) > SILENCE_S

    async def _announce(self) -> None:
        """Tell all instances of quotas that are used up, or no longer."""
        service = self.limits.service
        due = service.ledger.statements_due(now())
        statements = tuple(
            TightStatement(account, is_tight, now())
            for account, is_tight in due.items()
        )
        self.table.merge(statements)
        if statements:
            for address in self.limits.find_listeners():
                if address != self.limits.address:
                    await curio.spawn(
                        self.limits.exchange,
                        address,
                        Acquisition(tight=statements),
                        daemon=True,
                    )
        if self.table.has_news:
            self.table.has_news = False
            await self._on_changed()
