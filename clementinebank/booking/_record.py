"""The claim record of one idempotency key."""

import enum
import json
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.errors import Execution, FieldProblem
from clementinebank.validation import FieldReader

KEY_PREFIX = 'clementinebank/claims/'
# Largest number of history entries kept in a record. Without this limit, the
# record of a key that is claimed and released many times could exceed the size
# limit of a stored value.
MAX_HISTORY_ENTRIES = 50


class ClaimState(enum.Enum):
    """State of a claim record.

    ``claimed``: an attempt holds the key and its outcome is not known.
    ``recorded``: the outcome is stored. ``released``: the request was not run.
    ``settled``: an operator stated whether it ran.

    A released record is not deleted, so that a late create-if-absent write of
    any attempt fails. The next attempt claims it by compare-and-swap.
    """

    CLAIMED = 'claimed'
    RECORDED = 'recorded'
    RELEASED = 'released'
    SETTLED = 'settled'


@attrs.frozen
class Outcome:
    """Answer of the leaf that ran the request.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    content : object
        Decoded field ``outcome`` of the JSON body of the response.
    """

    status: int
    content: Any

    def as_json(self) -> dict[str, Any]:
        """Return the outcome as a JSON object, as a record stores it."""
        return {'status': self.status, 'content': self.content}


@attrs.frozen
class HistoryEntry:
    """One change of a record.

    Parameters
    ----------
    at : float
        Unix time in seconds.
    who : str
        Instance or operator that made the change.
    event : str
        Description of the change.
    why : str
        Reason that the operator gave, empty for an instance.
    """

    at: float
    who: str
    event: str
    why: str = ''


@attrs.frozen
class ClaimRecord:
    """Claim, and later outcome, of one idempotency key.

    Parameters
    ----------
    key : str
        Idempotency key.
    service : str
        Name of the booking service.
    digest : str
        SHA-256 of the caller's body.
    attempt_id : str
        Attempt that holds the claim.
    instance_id : str
        Instance that runs the attempt.
    claimed_at : float
        Unix time in seconds at which the attempt started.
    state : ClaimState
        State of the claim.
    outcome : Outcome or None
        Answer of the leaf, ``None`` unless the state is ``recorded``.
    resolution : Execution or None
        Whether the request ran, as stated by the operator who settled the
        record; ``None`` if it was not settled.
    history : tuple of HistoryEntry
        Changes, oldest first.
    """

    key: str
    service: str
    digest: str
    attempt_id: str
    instance_id: str
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    outcome: Outcome | None = None
    resolution: Execution | None = None
    history: tuple[HistoryEntry, ...] = ()

    @property
    def is_unresolved(self) -> bool:
        """Return whether the claim is not recorded, released or settled."""
        return self.state is ClaimState.CLAIMED

    def with_state(
        self, state: ClaimState, entry: HistoryEntry, **fields: Any
    ) -> 'ClaimRecord':
        """Return a copy in another state, with the change in its history.

        Parameters
        ----------
        state : ClaimState
            New state.
        entry : HistoryEntry
            Change that is added to the history.
        **fields
            Other fields to replace.
        """
        history = (*self.history, entry)[-MAX_HISTORY_ENTRIES:]
        return attrs.evolve(self, state=state, history=history, **fields)

    def as_json(self) -> dict[str, Any]:
        """Return the record as a JSON object with all its fields."""
        return {
            'key': self.key,
            'service': self.service,
            'digest': self.digest,
            'attempt_id': self.attempt_id,
            'instance_id': self.instance_id,
            'claimed_at': self.claimed_at,
            'state': self.state.value,
            'outcome': self.outcome.as_json() if self.outcome else None,
            'resolution': self.resolution.value if self.resolution else None,
            'history': [attrs.asdict(entry) for entry in self.history],
        }

    def encode(self) -> bytes:
        """Return the record as the JSON bytes that are stored."""
        return json.dumps(self.as_json()).encode()


def storage_key(service: str, key: str) -> str:
    """Return the key under which a claim record is stored.

    Within a service, storage keys sort by the time of their idempotency key.
    """
    return f'{KEY_PREFIX}{service}/{key}'


def decode_record(value: bytes) -> Result[ClaimRecord, list[FieldProblem]]:
    """Return the record in a stored value, or the problems of its fields."""
    try:
        reader = FieldReader(json.loads(value))
    except (ValueError, RecursionError) as error:
        return Err([FieldProblem('$', f'invalid JSON: {error}')])
    states = [state.value for state in ClaimState]
    state = reader.text('state', choices=states)
    record = ClaimRecord(
        key=reader.text('key'),
        service=reader.text('service'),
        digest=reader.text('digest'),
        attempt_id=reader.text('attempt_id'),
        instance_id=reader.text('instance_id'),
        claimed_at=reader.number('claimed_at', maximum=1e12),
        state=ClaimState(state) if state in states else ClaimState.CLAIMED,
        outcome=_read_outcome(reader),
        resolution=_read_resolution(reader),
        history=_read_history(reader),
    )
    return Err(reader.problems) if reader.problems else Ok(record)


def _read_outcome(reader: FieldReader) -> Outcome | None:
    if reader.data.get('outcome') is None:
        return None
    child = reader.child('outcome')
    status = child.integer('status', minimum=100, maximum=599)
    return Outcome(status, child.data.get('content'))


def _read_resolution(reader: FieldReader) -> Execution | None:
    choices = [execution.value for execution in Execution]
    if reader.data.get('resolution') is None:
        return None
    found = reader.text('resolution', choices=choices)
    return Execution(found) if found in choices else None


def _read_history(reader: FieldReader) -> tuple[HistoryEntry, ...]:
    raw = reader.data.get('history')
    if not isinstance(raw, list):
        reader.report('history', 'must be a list')
        return ()
    entries = []
    for each in raw:
        child = FieldReader(each, 'history', problems=reader.problems)
        why = child.data.get('why')
        entries.append(
            HistoryEntry(
                child.number('at', maximum=1e12),
                child.text('who'),
                child.text('event'),
                why if isinstance(why, str) else '',
            )
        )
    return tuple(entries)
