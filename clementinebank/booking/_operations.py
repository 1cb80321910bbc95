"""Operations on stored claims: list, settle, remove."""

import attrs
from result import Err, Ok, Result

from clementinebank.booking._key import MAX_FUTURE_S, S_PER_HOUR, created_at
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
# Longer than any deadline (60 s), so that the holder dispatches no more.
MIN_SETTLE_AGE_S = 120
MAX_PAGES = 20
RESOLUTIONS = (Execution.RAN, Execution.NOT_RUN)


@attrs.frozen
class ClaimList:
    """Claims found.

    Parameters
    ----------
    records : tuple of ClaimRecord
        Claims, oldest key first.
    unreadable : tuple of str
        Keys whose value is no claim record.
    is_whole : bool
        Whether all claims were looked at.
    """

    records: tuple[ClaimRecord, ...]
    unreadable: tuple[str, ...]
    is_whole: bool


@attrs.frozen
class Settlement:
    """Statement of an operator about one unresolved claim.

    Parameters
    ----------
    service, key : str
        The claim.
    resolution : Execution
        ``ran`` or ``not_run``.
    who, why : str
        Kept in the history of the record.
    """

    service: str
    key: str
    resolution: Execution
    who: str
    why: str


async def list_claims(
    key_value: KeyValueService, *, unresolved_only: bool, service: str = ''
) -> Result[ClaimList, Failure]:
    """Return the claims of one service, or of all."""
    prefix = f'{KEY_PREFIX}{service}/' if service else KEY_PREFIX
    listed: list[ListedEntry] = []
    is_last = False
    for _ in range(MAX_PAGES):
        after = listed[-1].key if listed else ''
        page = await key_value.list_page(prefix, after)
        if isinstance(page, Err):
            return page
        listed.extend(page.ok_value.listed)
        is_last = page.ok_value.is_last
        if is_last:
            break
    return Ok(_claim_list(listed, is_last, unresolved_only))


async def find_claim(
    key_value: KeyValueService, service: str, key: str
) -> Result[tuple[ClaimRecord, int], Failure]:
    """Return the claim of a key and its version."""
    stored = await key_value.read(storage_key(service, key))
    if isinstance(stored, Err):
        return stored
    entry = stored.ok_value
    if not entry.version:
        return _refuse('unknown_key', 'no claim of this key', STATUS_NOT_FOUND)
    decoded = decode_record(entry.value)
    if isinstance(decoded, Err):
        problems = '; '.join(str(problem) for problem in decoded.err_value)
        return _refuse('claim_unreadable', problems, STATUS_CONFLICT)
    return Ok((decoded.ok_value, entry.version))


async def settle(
    key_value: KeyValueService, settlement: Settlement, wall_s: float
) -> Result[ClaimRecord, Failure]:
    """Resolve an unresolved claim by one compare-and-swap."""
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
    settled = record.changed(
        ClaimState.SETTLED,
        HistoryEntry(
            wall_s,
            settlement.who,
            f'settled as {settlement.resolution.value}',
            settlement.why,
        ),
        resolution=settlement.resolution,
    )
    written = await key_value.swap(
        storage_key(record.service, record.key), settled.encode(), version
    )
    return written.map(lambda _: settled).map_err(_as_conflict)


def is_removable(
    listed: ListedEntry, retention_hours: int, wall_s: float
) -> bool:
    """Return whether a stored claim is settled and its key has expired.

    The margin covers the difference between the clocks of two instances.
    Unresolved claims stay listed for operators.
    """
    decoded = decode_record(listed.entry.value)
    if isinstance(decoded, Err) or decoded.ok_value.is_unresolved:
        return False
    return has_expired(listed.key, retention_hours, wall_s)


def has_expired(storage: str, retention_hours: int, wall_s: float) -> bool:
    """Return whether the key in a storage key is refused everywhere.

    A storage key without a readable key counts as expired.
    """
    try:
        age_s = wall_s - created_at(storage.rpartition('/')[2])
    except ValueError:
        return True
    return age_s > retention_hours * S_PER_HOUR + MAX_FUTURE_S


def _claim_list(
    listed: list[ListedEntry], is_whole: bool, unresolved_only: bool
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
        is_whole,
    )


def _as_conflict(failure: Failure) -> Failure:
    if failure.code != 'version_mismatch':
        return failure
    message = 'the claim was changed at the same time'
    return attrs.evolve(
        failure,
        message=message,
        status=STATUS_CONFLICT,
        execution=Execution.NOT_RUN,
    )


def _refuse(code: str, message: str, status: int) -> Err[Failure]:
    return Err(Failure(code, message, Step.ACCEPT, field='key', status=status))
