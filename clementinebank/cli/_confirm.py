"""Confirmation of an accepted change by every instance."""

from collections.abc import Iterable

import curio

from clementinebank.cli._advice import advice_for
from clementinebank.cli._client import call_each
from clementinebank.cli._commands import ExitStatus, Report
from clementinebank.cli._status_command import (
    STATUS_TARGET,
    STATUS_TIMEOUT_S,
    revision_of,
)
from clementinebank.clock import now

POLL_INTERVAL_S = 0.2


def confirm(report: Report, addresses: list[str], wait_s: float) -> Report:
    """Wait until every instance has the accepted revision in force.

    Parameters
    ----------
    report : Report
        Report of an accepted change.
    addresses : list of str
        Operators' listeners of all instances.
    wait_s : float
        Longest time in seconds.

    Returns
    -------
    Report
        The report with the instances that confirmed and those that did not.
    """
    missing = curio.run(
        _wait_for_revision, addresses, report.data['revision'], wait_s
    )
    confirmed = [each for each in addresses if each not in missing]
    body = {**report.data, 'confirmed': confirmed, 'not_confirmed': missing}
    if not missing:
        text = f'{report.text}\nconfirmed by {len(confirmed)} instances'
        return Report(text, body)
    states = ', '.join(f'{each} ({why})' for each, why in missing.items())
    text = (
        f'{report.text}\nnot confirmed within {wait_s} s: {states}\n'
        f'next: {advice_for("not_confirmed")}'
    )
    return Report(text, body, ExitStatus.UNKNOWN)


async def _wait_for_revision(
    addresses: list[str], revision: int, wait_s: float
) -> dict[str, str]:
    limit = now() + wait_s
    missing = await _ask(addresses, revision, wait_s)
    while missing and now() < limit:
        await curio.sleep(POLL_INTERVAL_S)
        missing = await _ask(missing, revision, limit - now())
    return missing


async def _ask(
    addresses: Iterable[str], revision: int, left_s: float
) -> dict[str, str]:
    """Return why each instance does not confirm the revision, by address."""
    timeout_s = min(STATUS_TIMEOUT_S, max(left_s, POLL_INTERVAL_S))
    replies = await call_each(addresses, STATUS_TARGET, timeout_s)
    missing = {}
    for address, reply in replies.items():
        found = revision_of(reply)
        if found is None:
            missing[address] = 'no answer'
        elif found < revision:
            missing[address] = f'revision {found}'
    return missing
