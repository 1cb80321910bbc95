"""Quotas: the requests of a client account on all instances together."""

import attrs

# Prefix of the keys under which coordinators know client accounts; the other
# keys are ids of leafs.
ACCOUNT_PREFIX = 'account/'


@attrs.frozen
class Quota:
    """Requests that one client account may make on all instances together.

    Parameters
    ----------
    rate_per_s : float
        Requests a second.
    burst : float
        Requests beyond the rate that an account which was idle may make.
    """

    rate_per_s: float
    burst: float = 0


@attrs.frozen
class QuotaBounds:
    """How far the requests that run may exceed a quota.

    In any window, at most (rate x window + burst) x (1 + excess) + slack
    requests of an account may run.

    Parameters
    ----------
    window_s : float
        Length of the window in seconds.
    excess : float
        Excess as a share of what the quota allows.
    slack : float
        Requests beyond it.
    """

    window_s: float = 5.0
    excess: float = 0
    slack: float = 0

    def spare(self, quota: Quota) -> float:
        """Return the requests beyond the quota that a window tolerates."""
        allowed = quota.rate_per_s * self.window_s + quota.burst
        return allowed * self.excess + self.slack


def account_key(account: str) -> str:
    """Return the key under which coordinators know an account."""
    return f'{ACCOUNT_PREFIX}{account}'
