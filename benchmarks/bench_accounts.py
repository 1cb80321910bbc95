"""Cost of client accounts: time of a request, and messages about quotas.

- ``admission``: processor time of authentication and quota of one request with
  many accounts, of which an instance serves some, with and without the reports
  to the coordinator and its work. The messages are encoded, but no sockets are
  used.
- ``without_accounts``: the same in a deployment that has none, and what the
  same request took before there were accounts (a copy of it with its regions).
- ``traffic``: bytes of the messages about quotas that an instance of a fleet
  sends and gets, for accounts of which a few are large and one sends many times
  its quota. Each account is simulated for itself, so that messages which serve
  several accounts at once are counted several times.

Run it with ``python -m benchmarks.bench_accounts``.
"""

import argparse
import json
import random
import time

import attrs
import curio

from clementinebank.accounts import ClientAccount
from clementinebank.clock import FakeClockKernel, now, run_service
from clementinebank.forwarding import ForwardRequest
from clementinebank.gateway import GatewayBounds
from clementinebank.gateway._admission import Admission
from clementinebank.http import HttpRequest
from clementinebank.ratelimit import LimitClient, LimitTable, Quota, QuotaBounds
from clementinebank.ratelimit.tests.quota_simulation import QuotaFleet
from clementinebank.relay import EntryLog
from clementinebank.routes import (
    Route,
    RouteKind,
    RouteTable,
    RoutingConfiguration,
    WeightedService,
)
from clementinebank.validation import Address

US_PER_S = 1_000_000
BOUNDS = GatewayBounds(5, 6, 0.2, 164, quota=QuotaBounds(5, 0.1, 20))
ROUTE = Route(
    'r',
    'h',
    '/',
    RouteKind.SAFE,
    1.0,
    0.2,
    (WeightedService('s', 1),),
)
# Headers of HTTP/2, TCP and IP of a message and its acknowledgement.
OVERHEAD_BYTES = 180
FLEET_SIZE = 62
ACCOUNT_COUNT = 73
SKEW = 1.2
LOAD_PER_S = 90.0
QUOTA_FACTOR = 1.6
HOT_FACTOR = 7.5
TRAFFIC_S = 10.0


@attrs.define(eq=False)
class DirectChannel:
    """Channel to an instance in the same process, without a delay."""

    services: dict
    address: Address

    async def call_before(self, deadline, path, payload, decode):
        return decode(await self.services[self.address].handle_acquire(payload))

    async def close(self):
        return None


def create_pair(account_count):
    """Return the admissions of an instance and of its coordinator."""
    accounts = tuple(
        ClientAccount(
            f'account-{number}',
            frozenset((f'key-{number}',)),
            1,
            Quota(1000, 1000),
        )
        for number in range(account_count)
    )
    table = RouteTable()
    table.activate(RoutingConfiguration(1, (ROUTE,), {}, accounts=accounts))
    addresses = [Address('127.0.0.1', 1), Address('127.0.0.1', 2)]
    services = {}
    admissions = []
    for address in addresses:
        log = EntryLog(confirmed_at=now())
        admission = Admission(table, log, BOUNDS)
        service = admission.create_limit_service(LimitTable(), _ignore_all)
        services[address] = service

        async def ignore():
            return None

        limits = LimitClient(
            address,
            service,
            lambda key: addresses[1],
            lambda: (),
            ignore,
            lambda target: DirectChannel(services, target),
        )
        admission.use_limits(limits, lambda: 2)
        admission.update()
        admissions.append(admission)
    return admissions


def _ignore_all(statements, at):
    """Apply no statements: no leaf names a limit."""


async def measure(account_count, served_count, request_count):
    """Return the microseconds of an admission, without and with reports."""
    admission, _ = create_pair(account_count)
    requests = [
        ForwardRequest(
            'q',
            now() + 10,
            HttpRequest('GET', '/a', {'host': 'h'}),
            api_key=f'key-{number % max(1, account_count)}',
        )
        for number in range(served_count)
    ]
    rng = random.Random(1)
    decided_s = reported_s = 0.0
    refused = 0
    for _ in range(request_count // served_count):
        rng.shuffle(requests)
        begin = time.process_time()
        for request in requests:
            try:
                await admission.admit(request, ROUTE)
            except Exception:
                refused += 1
        middle = time.process_time()
        if account_count:
            await admission.quota_client.update()
            await curio.sleep(0)
        decided_s += middle - begin
        reported_s += time.process_time() - middle
    count = request_count // served_count * served_count
    return {
        'admit_us': round(US_PER_S * decided_s / count, 2),
        'report_us': round(US_PER_S * reported_s / count, 2),
        'refused': refused,
    }


def measure_copy(count):
    """Return the microseconds of the copy that every request takes."""
    request = ForwardRequest('q', 1, HttpRequest('GET', '/a', {'host': 'h'}))
    begin = time.process_time()
    for _ in range(count):
        attrs.evolve(request, regions=ROUTE.regions)
    return round(US_PER_S * (time.process_time() - begin) / count, 2)


def measure_traffic(hot_factor):
    """Return the bytes a second of each instance, for all accounts."""
    weights = [1 / rank**SKEW for rank in range(1, ACCOUNT_COUNT + 1)]
    total_bytes = 0
    sent = 0
    for rank, weight in enumerate(weights):
        per_s = LOAD_PER_S * weight / sum(weights)
        quota = Quota(QUOTA_FACTOR * per_s, max(1, QUOTA_FACTOR * per_s))
        demand_per_s = per_s * (hot_factor if rank == 0 else 1)

        async def play(quota=quota, demand_per_s=demand_per_s, rank=rank):
            fleet = QuotaFleet(FLEET_SIZE, quota, rank)
            await fleet.start()
            await fleet.send(demand_per_s, TRAFFIC_S)
            return fleet

        with FakeClockKernel() as kernel:
            fleet = kernel.run(play)
        total_bytes += fleet.message_bytes
        total_bytes += fleet.message_count * OVERHEAD_BYTES
        sent += len(fleet.sent)
    # Each message is sent by one instance and received by another one.
    per_instance = 2 * total_bytes / TRAFFIC_S / FLEET_SIZE
    return {'requests_per_s': sent / TRAFFIC_S, 'bytes_per_s': per_instance}


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument('--accounts', type=int, default=10_000)
    parser.add_argument('--served', type=int, default=1000)
    parser.add_argument('--requests', type=int, default=200_000)
    options = parser.parse_args()
    print(
        json.dumps(
            {
                'admission': run_service(
                    measure, options.accounts, options.served, options.requests
                ),
                'without_accounts': {
                    **run_service(measure, 0, options.served, options.requests),
                    'copy_us': measure_copy(options.requests),
                },
                'traffic': measure_traffic(1),
                'traffic_with_a_hot_account': measure_traffic(HOT_FACTOR),
            },
            indent=1,
        )
    )


if __name__ == '__main__':
    main()
