"""Rate limit that a leaf names in a response."""

import re

import attrs

from clementinebank.errors import Execution
from clementinebank.http import HttpResponse

# Response header of the leafs that the document lists.
RATE_LIMIT_HEADER = 'rate-limit'
# Longest text of a rate that is read.
MAX_RATE_CHARACTERS = 32
RATE_PATTERN = re.compile(r'[0-9]+(\.[0-9]*)?|\.[0-9]+')


@attrs.frozen
class NamedLimit:
    """Statement of a leaf about the requests that it takes.

    Parameters
    ----------
    per_s : float or None
        Requests a second that the leaf takes from all instances together;
        ``None`` if it names no limit, which ends an earlier one.
    """

    per_s: float | None


def read_named_limit(
    text: str | None, *, is_complete: bool
) -> NamedLimit | None:
    """Return what the header of a response states about the rate limit.

    Parameters
    ----------
    text : str or None
        Value of the header, ``None`` if the response lacks it.
    is_complete : bool
        Whether the leaf ran the request and the response is whole. Only then
        a missing header means that the leaf names no limit.

    Returns
    -------
    NamedLimit or None
        ``None`` if nothing is stated: the header is missing from an incomplete
        response, or is not a decimal number.

    Examples
    --------
    >>> read_named_limit('7.5', is_complete=True)
    NamedLimit(per_s=7.5)
    >>> read_named_limit('-1', is_complete=True) is None
    True
    """
    if text is None:
        return NamedLimit(None) if is_complete else None
    number = text.strip()
    if len(number) > MAX_RATE_CHARACTERS or not RATE_PATTERN.fullmatch(number):
        return None
    return NamedLimit(float(number))


def named_limit_of(
    response: HttpResponse, execution: Execution
) -> NamedLimit | None:
    """Return what a response of a leaf of the document states.

    Parameters
    ----------
    response : HttpResponse
        Response of the leaf.
    execution : Execution
        Whether it says that the leaf ran the request. If it says neither, the
        response is not a valid one and states nothing.
    """
    if execution is Execution.UNKNOWN:
        return None
    return read_named_limit(
        response.headers.get(RATE_LIMIT_HEADER),
        is_complete=execution is Execution.RAN,
    )
