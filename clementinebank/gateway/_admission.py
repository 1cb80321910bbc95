"""Admission of requests by client account."""

from collections.abc import Callable

import attrs

from clementinebank.accounts import AccountTable, ClientAccount, common_regions
from clementinebank.clock import now
from clementinebank.errors import Failure, Step
from clementinebank.forwarding import ForwardRequest
from clementinebank.gateway._settings import GatewayBounds
from clementinebank.http import HttpRequest
from clementinebank.metrics import Sample, create_sample, names
from clementinebank.ratelimit import (
    LimitClient,
    LimitService,
    LimitTable,
    OnStatements,
    QuotaClient,
    QuotaLedger,
    QuotaTable,
)
from clementinebank.relay import EntryLog
from clementinebank.routes import Route, RouteTable

NOT_FOUND = 404
TOO_MANY_REQUESTS = 429


@attrs.define(eq=False)
class Admission:
    """Decider whether a request may run, and with which rights.

    Parameters
    ----------
    route_table : RouteTable
        Holds the configuration in force.
    entry_log : EntryLog
        Tells the age of what this instance knows.
    bounds : GatewayBounds
        Limits of the platform.
    quota_client : QuotaClient
        Keeps the quotas of the accounts.
    accounts : AccountTable
        Client accounts of the configuration in force.
    """

    route_table: RouteTable
    entry_log: EntryLog
    bounds: GatewayBounds
    quota_client: QuotaClient = attrs.field(init=False)
    accounts: AccountTable = attrs.field(init=False)
    _version: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the table of the accounts, which is empty at first."""
        self.accounts = AccountTable(self.bounds.change_s)

    def find_route(self, message: HttpRequest) -> Route:
        """Return the route of a request.

        Raises
        ------
        Failure
            If no route is known or none matches.
        """
        if self.route_table.configuration is None:
            raise Failure(
                'no_routes', 'the routes are not known yet', Step.ADMIT
            )
        route = self.route_table.find(
            message.headers.get('host', ''), message.path
        )
        if route is None:
            raise Failure(
                'no_route',
                f'no route of version {self.route_table.version} matches',
                Step.ADMIT,
                status=NOT_FOUND,
            )
        return route

    async def admit(
        self, request: ForwardRequest, route: Route
    ) -> ForwardRequest:
        """Return a request with the account, priority and regions it has.

        It also gets the version in force, by which its route was just found:
        another one may come into force while its quota is awaited.

        Raises
        ------
        Failure
            If it must not run.
        """
        self.update()
        route_version = self.route_table.version
        account = self._authenticate(request, route)
        if account is None:
            return attrs.evolve(
                request,
                priority=route.priority,
                regions=route.regions,
                api_key='',
                route_version=route_version,
            )
        regions = common_regions(route.regions, account.regions)
        if regions is not None and not regions:
            raise Failure(
                'no_common_region',
                f'no region may run requests of {account.name} on {route.name}',
                Step.ADMIT,
            )
        await self._require_quota(account)
        return attrs.evolve(
            request,
            account=account.name,
            priority=(
                route.priority if account.priority is None else account.priority
            ),
            regions=regions,
            api_key='',
            route_version=route_version,
        )

    def create_limit_service(
        self, table: LimitTable, on_statements: OnStatements
    ) -> LimitService:
        """Return the server of the limits of leafs and of the quotas."""
        bounds = self.bounds.quota
        return LimitService(
            table,
            on_statements,
            quotas=QuotaTable(bounds),
            ledger=QuotaLedger(self.accounts.find_quota, bounds),
        )

    def use_limits(
        self, limits: LimitClient, fleet_size: Callable[[], int]
    ) -> None:
        """Keep quotas with the coordinators that a client knows."""
        self.quota_client = QuotaClient(
            limits, fleet_size, lambda: self.entry_log.age_s(now())
        )

    def apply_bounds(self, bounds: GatewayBounds) -> None:
        """Put changed bounds in force."""
        self.bounds = bounds
        self.quota_client.apply_bounds(bounds.quota)
        self.accounts.max_age_s = bounds.change_s

    def metric_samples(self) -> list[Sample]:
        """Return the counts of accounts and of quotas."""
        service = self.quota_client.limits.service
        return [
            create_sample(names.CLIENT_ACCOUNTS, self.accounts.account_count),
            create_sample(
                names.SERVED_QUOTAS, len(service.quotas.quotas_by_account)
            ),
            create_sample(names.USED_UP_QUOTAS, service.ledger.tight_count),
            *(
                create_sample(names.QUOTA_DECISIONS, count, decision=decision)
                for decision, count in self.quota_client.decisions.items()
            ),
        ]

    def update(self) -> None:
        """Follow the configuration in force."""
        configuration = self.route_table.configuration
        if configuration is not None and configuration.version != self._version:
            self._version = configuration.version
            self.accounts.activate(configuration.accounts)

    def _authenticate(
        self, request: ForwardRequest, route: Route
    ) -> ClientAccount | None:
        """Return the account of a request, ``None`` if it needs none."""
        if not self.accounts.account_count:
            return None
        return self.accounts.authenticate(
            request.api_key,
            is_public=route.is_public,
            age_s=self.entry_log.age_s(now()),
        )

    async def _require_quota(self, account: ClientAccount) -> None:
        """Raise a failure if an account is beyond its quota."""
        if account.quota is None:
            return
        retry_after_s = await self.quota_client.admit(
            account.name, account.quota
        )
        if retry_after_s is not None:
            raise Failure(
                'over_quota',
                f'the account {account.name} is beyond its quota',
                Step.ADMIT,
                status=TOO_MANY_REQUESTS,
                retry_after_s=retry_after_s,
            )
