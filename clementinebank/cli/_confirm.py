"""Confirmation of an accepted change by every instance."""

from collections.abc import Iterable

import curio

from clementinebank.cli._advice import advice_for
from clementinebank.cli._client import get_from_each
from clementinebank.cli._commands import CommandOutput, ExitStatus
from clementinebank.cli._status_command import (
    STATUS_TARGET,
    STATUS_TIMEOUT_S,
    revision_of,
)
from clementinebank.clock import now

POLL_INTERVAL_S = 0.2


def wait_for_confirmation(
    output: CommandOutput, addresses: list[str], wait_s: float
) -> CommandOutput:
    """Wait until every instance has the accepted revision in force.

    Parameters
    ----------
    output : CommandOutput
        Output for an accepted change.
    addresses : list of str
        Operators' listeners of all instances.
    wait_s : float
        Longest time to wait in seconds.

    Returns
    -------
    CommandOutput
        The output with the instances that confirmed and those that did not;
        its status is ``UNKNOWN`` if one did not.
    """
    unconfirmed = curio.run(
        _wait_for_revision, addresses, output.data['revision'], wait_s
    )
    confirmed = [each for each in addresses if each not in unconfirmed]
    body = {**output.data, 'confirmed': confirmed, 'not_confirmed': unconfirmed}
    if not unconfirmed:
        text = f'{output.text}\nconfirmed by {len(confirmed)} instances'
        return CommandOutput(text, body)
    reasons = ', '.join(
        f'{each} ({reason})' for each, reason in unconfirmed.items()
    )
    text = (
        f'{output.text}\nnot confirmed within {wait_s} s: {reasons}\n'
        f'next: {advice_for("not_confirmed")}'
    )
    return CommandOutput(text, body, ExitStatus.UNKNOWN)


async def _wait_for_revision(
    addresses: list[str], revision: int, wait_s: float
) -> dict[str, str]:
    """Poll until all instances confirm; return why others do not."""
    deadline = now() + wait_s
    unconfirmed = await _find_unconfirmed(addresses, revision, wait_s)
    while unconfirmed and now() < deadline:
        await curio.sleep(POLL_INTERVAL_S)
        unconfirmed = await _find_unconfirmed(
            unconfirmed, revision, deadline - now()
        )
    return unconfirmed


async def _find_unconfirmed(
    addresses: Iterable[str], revision: int, remaining_s: float
) -> dict[str, str]:
    """Return why each instance does not confirm the revision, by address."""
    timeout_s = min(STATUS_TIMEOUT_S, max(remaining_s, POLL_INTERVAL_S))
    replies = await get_from_each(addresses, STATUS_TARGET, timeout_s)
    unconfirmed = {}
    for address, reply in replies.items():
        in_force = revision_of(reply)
        if in_force is None:
            unconfirmed[address] = 'no answer'
        elif in_force < revision:
            unconfirmed[address] = f'revision {in_force}'
    return unconfirmed
