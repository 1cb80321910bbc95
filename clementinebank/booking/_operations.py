"""Operations on stored claims: list, find, settle, and select for removal."""

import attrs
from result import Err, Ok, Result

from clementinebank.booking._key import (
    MAX_CLOCK_DIFFERENCE_S,
    S_PER_HOUR,
    created_at,
)
from clementinebank.booking._record import (
    KEY_PREFIX,
    ClaimRecord,
    ClaimState,
    HistoryEntry,
    decode_record,
    storage_key,
)
from clementinebank.coordination import KeyValueService, ListedEntry
from clementinebank.errors import Execution, Failure, Step

STATUS_INVALID = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
# Age in seconds from which operators can settle a claim. It exceeds the longest
# deadline (60 s), after which the attempt that holds the claim contacts no
# leaf.
MIN_SETTLE_AGE_S = 120
# Largest number of pages of claims that one listing reads.
MAX_PAGES = 20
RESOLUTIONS = (Execution.RAN, Execution.NOT_RUN)


@attrs.frozen
class ClaimList:
    """Claims that a listing found.

    Parameters
    ----------
    records : tuple of ClaimRecord
        Claims, oldest key first.
    unreadable : tuple of str
        Storage keys whose value is not a valid claim record.
    is_complete : bool
        Whether all claims were read, not only the first pages.
    """

    records: tuple[ClaimRecord, ...]
    unreadable: tuple[str, ...]
    is_complete: bool


@attrs.frozen
class Settlement:
    """Resolution that an operator gives to one unresolved claim.

    Parameters
    ----------
    service, key : str
        Service and idempotency key of the claim.
    resolution : Execution
        ``ran`` or ``not_run``, as the operator found out.
    who, why : str
        Operator and reason, kept in the history of the record.
    """

    service: str
    key: str
    resolution: Execution
    who: str
    why: str


async def list_claims(
    key_value: KeyValueService, *, unresolved_only: bool, service: str = ''
) -> Result[ClaimList, Failure]:
    """Return the claims of one service, or of all services.

    Parameters
    ----------
    key_value : KeyValueService
        Key-value service that stores the claims.
    unresolved_only : bool
        Whether to leave out claims that are resolved.
    service : str
        Name of the service, empty for all.
    """
    prefix = f'{KEY_PREFIX}{service}/' if service else KEY_PREFIX
    listed: list[ListedEntry] = []
    is_last = False
    for _ in range(MAX_PAGES):
        after = listed[-1].key if listed else ''
        page = await key_value.list_page(prefix, after)
        if isinstance(page, Err):
            return page
        listed.extend(page.ok_value.entries)
        is_last = page.ok_value.is_last
        if is_last:
            break
    return Ok(_build_claim_list(listed, is_last, unresolved_only))


async def find_claim(
    key_value: KeyValueService, service: str, key: str
) -> Result[tuple[ClaimRecord, int], Failure]:
    """Return the claim of a key and the version of its stored entry."""
    stored = await key_value.read(storage_key(service, key))
    if isinstance(stored, Err):
        return stored
    entry = stored.ok_value
    if not entry.version:
        return _refuse(
            'unknown_key', f'no claim of the key {key!r}', STATUS_NOT_FOUND
        )
    decoded = decode_record(entry.value)
    if isinstance(decoded, Err):
        problems = '; '.join(str(problem) for problem in decoded.err_value)
        return _refuse('claim_unreadable', problems, STATUS_CONFLICT)
    return Ok((decoded.ok_value, entry.version))


async def settle(
    key_value: KeyValueService, settlement: Settlement, wall_s: float
) -> Result[ClaimRecord, Failure]:
    """Mark an unresolved claim as settled with the resolution of an operator.

    The stored claim moves to ``ClaimState.SETTLED`` with the resolution
    ``ran`` or ``not_run``, and its history gains the operator and the reason.
    Return the settled record, or a failure if the claim is missing, resolved,
    younger than ``MIN_SETTLE_AGE_S`` or changed by another writer meanwhile.

    Parameters
    ----------
    key_value : KeyValueService
        Key-value service that stores the claims.
    settlement : Settlement
        Key of the claim, its resolution, the operator and the reason.
    wall_s : float
        Current Unix time in seconds.
    """
    found = await find_claim(key_value, settlement.service, settlement.key)
    if isinstance(found, Err):
        return found
    record, version = found.ok_value
    if not record.is_unresolved:
        return _refuse(
            'claim_resolved',
            f'the claim is {record.state.value} already',
            STATUS_CONFLICT,
        )
    age_s = wall_s - record.claimed_at
    if age_s < MIN_SETTLE_AGE_S:
        return _refuse(
            'claim_too_young',
            f'the claim is {age_s:.0f} s old and its request may still run; '
            f'settle it after {MIN_SETTLE_AGE_S} s',
            STATUS_CONFLICT,
        )
    settled = record.with_state(
        ClaimState.SETTLED,
        HistoryEntry(
            wall_s,
            settlement.who,
            f'settled as {settlement.resolution.value}',
            settlement.why,
        ),
        resolution=settlement.resolution,
    )
    written = await key_value.compare_and_swap(
        storage_key(record.service, record.key), settled.encode(), version
    )
    return written.map(lambda _: settled).map_err(_as_conflict)


def is_removable(
    listed: ListedEntry, retention_hours: int, wall_s: float
) -> bool:
    """Return whether a stored claim is resolved and its key has expired.

    Unresolved and unreadable claims are kept, so that operators find them.
    """
    decoded = decode_record(listed.entry.value)
    if isinstance(decoded, Err) or decoded.ok_value.is_unresolved:
        return False
    return has_expired(listed.key, retention_hours, wall_s)


def has_expired(entry_key: str, retention_hours: int, wall_s: float) -> bool:
    """Return whether every instance refuses the idempotency key as too old.

    The key must be older than the retention by the tolerated difference between
    the clocks of two instances. An entry whose key is not a UUID counts as
    expired.

    Parameters
    ----------
    entry_key : str
        Storage key that ends with the idempotency key.
    retention_hours : int
        Retention of claim records in hours.
    wall_s : float
        Current Unix time in seconds.
    """
    try:
        age_s = wall_s - created_at(entry_key.rpartition('/')[2])
    except ValueError:
        return True
    return age_s > retention_hours * S_PER_HOUR + MAX_CLOCK_DIFFERENCE_S


def _build_claim_list(
    listed: list[ListedEntry], is_complete: bool, unresolved_only: bool
) -> ClaimList:
    decoded_by_key = {
        each.key: decode_record(each.entry.value) for each in listed
    }
    records = [
        decoded.ok_value
        for decoded in decoded_by_key.values()
        if isinstance(decoded, Ok)
    ]
    return ClaimList(
        tuple(
            record
            for record in records
            if record.is_unresolved or not unresolved_only
        ),
        tuple(
            key for key, decoded in decoded_by_key.items() if decoded.is_err()
        ),
        is_complete,
    )


def _as_conflict(failure: Failure) -> Failure:
    """Return the failure of a write; a version mismatch becomes a conflict."""
    if failure.code != 'version_mismatch':
        return failure
    message = 'the claim was changed by another writer at the same time'
    return attrs.evolve(
        failure,
        message=message,
        status=STATUS_CONFLICT,
        execution=Execution.NOT_RUN,
    )


def _refuse(code: str, message: str, status: int) -> Err[Failure]:
    return Err(Failure(code, message, Step.ACCEPT, field='key', status=status))
