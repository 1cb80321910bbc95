"""Guards the facts by which a late version is told from one not used.

A line that names only the version in force at the end of a request hides that
the request's route was found by an older one.
"""

import curio

from clementinebank.accounts import ClientAccount
from clementinebank.clock import FakeClockKernel, now
from clementinebank.forwarding import ForwardRequest
from clementinebank.forwarding.tests.simulation import make_route
from clementinebank.gateway import GatewayBounds
from clementinebank.gateway._admission import Admission
from clementinebank.gateway._state_facts import read_state_facts
from clementinebank.http import HttpRequest
from clementinebank.ratelimit import Quota
from clementinebank.relay import EntryLog, StorePosition
from clementinebank.routes import RouteTable, RoutingConfiguration

ACCOUNT = ClientAccount('a', frozenset(('key',)), quota=Quota(1))
QUOTA_WAIT_S = 0.4


def test_nothing_is_in_force_before_the_first_version():
    facts = read_state_facts(
        RouteTable(), EntryLog(position=StorePosition(4, 2))
    )
    assert facts['version'] == 0
    assert facts['in_force_s'] is None
    assert (facts['revision'], facts['era']) == (4, 2)


class _SlowQuotas:
    """Quotas that grant each request late, under the next version."""

    def __init__(self, table):
        self.table = table

    async def admit(self, account, quota):
        await curio.sleep(QUOTA_WAIT_S)
        following = self.table.version + 1
        self.table.activate(RoutingConfiguration(following, (), {}))


def _admit(accounts):
    """Admit a request; return it and the version in force afterwards."""
    route = make_route()

    async def run():
        table = RouteTable()
        table.activate(RoutingConfiguration(7, (route,), {}, accounts=accounts))
        entry_log = EntryLog(confirmed_at=now())
        admission = Admission(table, entry_log, GatewayBounds(3, 1, 0.2, 50))
        admission.quota_client = _SlowQuotas(table)
        request = ForwardRequest(
            'q', now() + 2, HttpRequest('GET', '/'), api_key='key'
        )
        return await admission.admit(request, route), table.version

    with FakeClockKernel() as kernel:
        return kernel.run(run)


def test_admitted_request_names_the_version_that_found_its_route():
    request, version = _admit(())
    assert request.route_version == version == 7


def test_wait_for_a_quota_does_not_change_the_version_of_the_route():
    request, version = _admit((ACCOUNT,))
    assert request.account == 'a'
    assert (request.route_version, version) == (7, 8)
