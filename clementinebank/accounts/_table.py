"""Lookup of client accounts by key, and what a key allows."""

from collections.abc import Collection

import attrs

from clementinebank.accounts._model import ClientAccount
from clementinebank.errors import Failure, Step
from clementinebank.ratelimit import Quota

UNAUTHORIZED = 401
UNAVAILABLE = 503


@attrs.define(eq=False)
class AccountTable:
    """Client accounts of the active configuration.

    Parameters
    ----------
    max_age_s : float
        Greatest age of the knowledge on which a key is called unknown, in
        seconds.
    accounts_by_key : dict of str to ClientAccount
        Account of each key; empty if the deployment has no accounts.
    quotas_by_account : dict of str to Quota
        Quota of each account that has one.
    account_count : int
        Number of accounts.
    """

    max_age_s: float
    accounts_by_key: dict[str, ClientAccount] = attrs.field(
        factory=dict, repr=False
    )

    quotas_by_account: dict[str, Quota] = attrs.Factory(dict)
    account_count: int = 0

    def activate(self, accounts: Collection[ClientAccount]) -> None:
        """Replace all accounts."""
        self.account_count = len(accounts)
        self.quotas_by_account = {
            account.name: account.quota
            for account in accounts
            if account.quota is not None
        }
        self.accounts_by_key = {
            api_key: account
            for account in accounts
            for api_key in account.api_keys
        }

    def find_quota(self, account: str) -> Quota | None:
        """Return the quota of an account, ``None`` if it has none."""
        return self.quotas_by_account.get(account)

    def authenticate(
        self, api_key: str, *, is_public: bool, age_s: float
    ) -> ClientAccount | None:
        """Return the account of a key.

        Parameters
        ----------
        api_key : str
            Key of the caller, empty if it gave none.
        is_public : bool
            Whether the route needs no key. A known key counts there too.
        age_s : float
            Age of the knowledge of the accounts in seconds.

        Returns
        -------
        ClientAccount or None
            ``None`` if the route is public and the key isn't known.

        Raises
        ------
        Failure
            If the route needs a key and this one isn't known; with status 503
            if a newer version of the accounts may hold it.
        """
        account = self.accounts_by_key.get(api_key)
        if account is not None or is_public:
            return account
        if age_s > self.max_age_s:
            raise Failure(
                'accounts_outdated',
                f'the accounts were last confirmed {age_s:.1f} s ago',
                Step.ADMIT,
                status=UNAVAILABLE,
            )
        code = 'unknown_key' if api_key else 'missing_key'
        message = (
            'no account holds the key' if api_key else 'the key is missing'
        )
        raise Failure(code, message, Step.ADMIT, status=UNAUTHORIZED)


def common_regions(
    first: frozenset[str] | None, second: frozenset[str] | None
) -> frozenset[str] | None:
    """Return the regions that two sets allow, of which ``None`` allows all."""
    if first is None or second is None:
        return second if first is None else first
    return first & second
