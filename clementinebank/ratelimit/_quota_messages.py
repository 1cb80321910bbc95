"""Reports and verdicts on quotas between instances, and their encoding."""

from collections.abc import Iterable

import attrs

from clementinebank.ratelimit import ratelimit_pb2
from clementinebank.rpc import RpcProtocolError

MS_PER_S = 1000
# Longest time that is sent, because times have 32 bits.
MAX_TIME_MS = 2_147_483_647
# Bound of the accounts in a message.
MAX_ACCOUNTS = 200
# Added to the age of a statement for the time that a message is on its way.
PASSING_ALLOWANCE_S = 0.05


@attrs.frozen
class QuotaReport:
    """What one instance tells the coordinator of a quota.

    Parameters
    ----------
    account : str
        Name of the account.
    used : int
        Requests that it has admitted without a token since the last report.
    wanted : int
        Requests that wait for a token.
    """

    account: str
    used: int = 0
    wanted: int = 0


@attrs.frozen
class QuotaVerdict:
    """Reply of the coordinator to a report.

    Parameters
    ----------
    account : str
        Name of the account.
    granted : int
        Tokens for the waiting requests.
    free : int
        Requests that may be admitted before the next report.
    retry_after_s : float
        Time until a token may be there, in seconds.
    is_tight : bool
        Whether each request must wait for a token.
    """

    account: str
    granted: int = 0
    free: int = 0
    retry_after_s: float = 0
    is_tight: bool = False


@attrs.frozen
class TightStatement:
    """Statement of a coordinator that a quota is, or isn't, used up.

    Parameters
    ----------
    account : str
        Name of the account.
    is_tight : bool
        Whether each request must wait for a token, on all instances.
    stated_at : float
        Runtime time in seconds of the statement.
    """

    account: str
    is_tight: bool
    stated_at: float


def raw_reports(
    reports: Iterable[QuotaReport],
) -> list[ratelimit_pb2.QuotaReport]:
    """Return the protobuf form of reports."""
    return [
        ratelimit_pb2.QuotaReport(
            account=each.account, used=each.used, wanted=each.wanted
        )
        for each in reports
    ]


def read_reports(
    raw: Iterable[ratelimit_pb2.QuotaReport],
) -> tuple[QuotaReport, ...]:
    """Return the reports of a message.

    Raises
    ------
    RpcProtocolError
        If one names no account.
    """
    return tuple(
        QuotaReport(_read_account(each.account), each.used, each.wanted)
        for each in raw
    )


def raw_verdicts(
    verdicts: Iterable[QuotaVerdict],
) -> list[ratelimit_pb2.QuotaVerdict]:
    """Return the protobuf form of verdicts."""
    return [
        ratelimit_pb2.QuotaVerdict(
            account=each.account,
            granted=each.granted,
            free=each.free,
            retry_after_ms=_in_ms(each.retry_after_s),
            is_tight=each.is_tight,
        )
        for each in verdicts
    ]


def read_verdicts(
    raw: Iterable[ratelimit_pb2.QuotaVerdict],
) -> tuple[QuotaVerdict, ...]:
    """Return the verdicts of a message.

    Raises
    ------
    RpcProtocolError
        If one names no account.
    """
    return tuple(
        QuotaVerdict(
            _read_account(each.account),
            each.granted,
            each.free,
            each.retry_after_ms / MS_PER_S,
            each.is_tight,
        )
        for each in raw
    )


def raw_tight(
    statements: Iterable[TightStatement], now: float
) -> list[ratelimit_pb2.TightStatement]:
    """Return the protobuf form of the newest statements."""
    newest = sorted(statements, key=lambda each: -each.stated_at)
    return [
        ratelimit_pb2.TightStatement(
            account=each.account,
            is_tight=each.is_tight,
            age_ms=_in_ms(now - each.stated_at + PASSING_ALLOWANCE_S),
        )
        for each in newest[:MAX_ACCOUNTS]
    ]


def read_tight(
    raw: Iterable[ratelimit_pb2.TightStatement], now: float
) -> tuple[TightStatement, ...]:
    """Return the statements of a message.

    Raises
    ------
    RpcProtocolError
        If one names no account.
    """
    return tuple(
        TightStatement(
            _read_account(each.account),
            each.is_tight,
            now - each.age_ms / MS_PER_S,
        )
        for each in raw
    )


def _read_account(account: str) -> str:
    if not account:
        raise RpcProtocolError('quotas.account is missing')
    return account


def _in_ms(time_s: float) -> int:
    return max(0, min(MAX_TIME_MS, round(time_s * MS_PER_S)))
