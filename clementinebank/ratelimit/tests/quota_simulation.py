"""Simulated fleet of instances that admit the requests of one account.

It runs on a fake clock with the client, the coordinator and the encoded
messages of the product. Instances can be killed, cut off or started again.
"""

import random
from collections import deque

import attrs
import curio

from clementinebank.clock import now
from clementinebank.ratelimit import (
    LimitClient,
    LimitService,
    LimitTable,
    Quota,
    QuotaBounds,
    QuotaClient,
    QuotaLedger,
    QuotaTable,
)
from clementinebank.ratelimit.tests.simulation import DELAY_S, FakeChannel
from clementinebank.validation import Address

ACCOUNT = 'alpha'
WINDOW_S = 5.0
BOUNDS = QuotaBounds(WINDOW_S, 0.1, 20)


@attrs.define(eq=False)
class CountingChannel(FakeChannel):
    """Channel that counts its messages and their bytes."""

    async def call_before(self, deadline, path, payload, decode):
        def decode_and_count(reply):
            self.fleet.message_bytes += len(payload) + len(reply)
            self.fleet.message_count += 2
            return decode(reply)

        call = super().call_before
        return await call(deadline, path, payload, decode_and_count)


@attrs.define(eq=False)
class QuotaInstance:
    """Instance that gets requests of the account at random times."""

    fleet: object
    number: int
    is_dead: bool = False
    is_cut: bool = False
    cut_at: float = 0
    service: LimitService = attrs.field(init=False)
    client: QuotaClient = attrs.field(init=False)

    def __attrs_post_init__(self):
        """Create the parts of a process that has just started."""
        self.restart()

    @property
    def address(self):
        return Address('127.0.0.1', 1 + self.number)

    def restart(self):
        """Forget everything, as a new process does."""
        rng = random.Random(f'{self.fleet.seed}-{self.number}-{now()}')
        self.service = LimitService(
            LimitTable(),
            lambda statements, at: None,
            quotas=QuotaTable(BOUNDS, rng),
            ledger=QuotaLedger(self.find_quota, BOUNDS),
        )
        limits = LimitClient(
            self.address,
            self.service,
            self.fleet.find_coordinator,
            self.fleet.find_listeners,
            self._pass_on,
            lambda address: CountingChannel(self.fleet, self, address),
        )
        self.client = QuotaClient(
            limits, lambda: self.fleet.size, self._silence_s
        )
        self.is_dead = False

    def _silence_s(self):
        """Return the age of its state: the store confirms it each second."""
        return now() - self.cut_at if self.is_cut else 1

    def cut(self):
        """Cut it off from all instances and from the store."""
        self.is_cut, self.cut_at = True, now()

    def find_quota(self, account):
        return self.fleet.quota

    async def run(self):
        """Run the loop of the client as long as the process lives."""
        while True:
            await curio.sleep(0.05)
            if not self.is_dead:
                await self.client.update()

    async def request(self):
        asked_at = now()
        if self.is_dead:
            return
        retry_after_s = await self.client.admit(ACCOUNT, self.fleet.quota)
        self.fleet.waits.append(now() - asked_at)
        if retry_after_s is None:
            self.fleet.admitted.append(now())
        else:
            assert retry_after_s > 0
            self.fleet.refused.append(now())

    async def _pass_on(self):
        """Send notices to all followers, as the relays of the fleet do."""
        notice = self.service.encode_notice()
        if self is not self.fleet.coordinator:
            return
        await curio.sleep(DELAY_S)
        for follower in self.fleet.instances:
            if not (follower.is_dead or follower.is_cut or self.is_cut):
                follower.service.apply_notice(notice)


@attrs.define(eq=False)
class QuotaFleet:
    """Instances, what they have admitted, and what an ideal quota would.

    Parameters
    ----------
    size : int
        Number of instances; the first one is the coordinator.
    quota : Quota
        Quota of the account on all instances.
    """

    size: int
    quota: Quota
    seed: int = 1
    coordinator_number: int | None = 0
    message_bytes: int = 0
    message_count: int = 0
    admitted: list = attrs.Factory(list)
    refused: list = attrs.Factory(list)
    waits: list = attrs.Factory(list)
    instances: list = attrs.Factory(list)
    sent: list = attrs.Factory(list)

    def __attrs_post_init__(self):
        """Create the instances."""
        self.instances = [
            QuotaInstance(self, number) for number in range(self.size)
        ]

    @property
    def coordinator(self):
        number = self.coordinator_number
        return None if number is None else self.instances[number]

    @property
    def instances_by_address(self):
        return {each.address: each for each in self.instances}

    def find_coordinator(self, key):
        return self.coordinator and self.coordinator.address

    def find_listeners(self):
        return (self.coordinator.address,) if self.coordinator else ()

    async def start(self):
        for instance in self.instances:
            await curio.spawn(instance.run, daemon=True)

    async def send(self, per_s, duration_s, targets=None):
        """Send requests at random times to random instances."""
        rng = random.Random(f'{self.seed}-{now()}')
        targets = targets or self.instances
        end = now() + duration_s
        tasks = []
        while now() < end:
            await curio.sleep(rng.expovariate(per_s))
            self.sent.append(now())
            tasks.append(await curio.spawn(rng.choice(targets).request))
        for task in tasks:
            await task.join()

    def greatest_excess(self, quota=None):
        """Return by how many requests the fullest window exceeds its bound."""
        quota = quota or self.quota
        window = deque()
        greatest = 0
        for at in self.admitted:
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            greatest = max(greatest, len(window))
        base = quota.rate_per_s * WINDOW_S + quota.burst
        return greatest - (base * (1 + BOUNDS.excess) + BOUNDS.slack)

    def owed(self):
        """Return the requests that one exact token bucket would admit."""
        tokens, at, owed = self.quota.burst, 0, 0
        for sent_at in self.sent:
            tokens += self.quota.rate_per_s * (sent_at - at)
            tokens = min(max(1, self.quota.burst), tokens)
            at = sent_at
            if tokens >= 1:
                tokens -= 1
                owed += 1
        return owed
