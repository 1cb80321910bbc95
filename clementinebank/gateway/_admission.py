"""Admission of requests by client account."""

import attrs

from clementinebank.accounts import AccountTable, ClientAccount, common_regions
from clementinebank.clock import now
from clementinebank.errors import Failure, Step
from clementinebank.forwarding import ForwardRequest
from clementinebank.gateway._settings import GatewayBounds
from clementinebank.relay import EntryLog
from clementinebank.routes import Route, RouteTable


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
    accounts : AccountTable
        Client accounts of the configuration in force.
    """

    route_table: RouteTable
    entry_log: EntryLog
    bounds: GatewayBounds
    accounts: AccountTable = attrs.field(init=False)
    _version: int = 0

    def __attrs_post_init__(self) -> None:
        """Create the table of the accounts, which is empty at first."""
        self.accounts = AccountTable(self.bounds.change_s)

    async def admit(
        self, request: ForwardRequest, route: Route
    ) -> ForwardRequest:
        """Return a request with the account, priority and regions it has.

        Raises
        ------
        Failure
            If it must not run.
        """
        self._update()
        account = self._authenticate(request, route)
        if account is None:
            return attrs.evolve(
                request,
                priority=route.priority,
                regions=route.regions,
                api_key='',
            )
        regions = common_regions(route.regions, account.regions)
        if regions is not None and not regions:
            raise Failure(
                'no_common_region',
                f'no region may run requests of {account.name} on {route.name}',
                Step.ADMIT,
            )
        return attrs.evolve(
            request,
            account=account.name,
            priority=(
                route.priority if account.priority is None else account.priority
            ),
            regions=regions,
            api_key='',
        )

    def _authenticate(
        self, request: ForwardRequest, route: Route
    ) -> ClientAccount | None:
        """Return the account of a request, ``None`` if it needs none."""
        if not self.accounts.accounts_by_key:
            return None
        return self.accounts.authenticate(
            request.api_key,
            is_public=route.is_public,
            age_s=self.entry_log.age_s(now()),
        )

    def apply_bounds(self, bounds: GatewayBounds) -> None:
        """Put changed bounds in force."""
        self.bounds = bounds
        self.accounts.max_age_s = bounds.change_s

    def _update(self) -> None:
        """Follow the configuration in force."""
        configuration = self.route_table.configuration
        if configuration is not None and configuration.version != self._version:
            self._version = configuration.version
            self.accounts.activate(configuration.accounts)
