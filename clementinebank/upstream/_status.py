"""Status that a leaf reports."""

import json

import attrs
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader

LEAF_STATES = ('serving', 'draining', 'cold')
MAX_PARTITIONS = 1_000_000


@attrs.frozen
class ServedSnapshot:
    """One snapshot of the index that a leaf serves.

    Parameters
    ----------
    snapshot : str
        Name of the snapshot.
    sequence : int
        Number of the snapshot; a newer snapshot has a higher one.
    partition_count : int
        Number of partitions of the whole index.
    partitions : tuple of int
        Partitions that the group of this leaf holds, in ascending order.
    """

    snapshot: str
    sequence: int
    partition_count: int
    partitions: tuple[int, ...]


@attrs.frozen
class LeafStatus:
    """Status that a leaf reported; it may be out of date or wrong.

    Parameters
    ----------
    state : str
        ``serving``, ``draining`` or ``cold``.
    load : float
        Reported load, 0 for idle to 1 for saturated.
    snapshots : tuple of ServedSnapshot
        Snapshots that the leaf serves.
    """

    state: str
    load: float
    snapshots: tuple[ServedSnapshot, ...]


def decode_status(payload: bytes) -> Result[LeafStatus, list[FieldProblem]]:
    """Decode and validate the body of a status reply.

    Returns
    -------
    Result
        The status, or the problems found.
    """
    try:
        reader = FieldReader(json.loads(payload))
    except (ValueError, RecursionError) as error:
        return Err([FieldProblem('$', f'invalid JSON: {error}')])
    raw_snapshots = reader.data.get('snapshots', [])
    if not isinstance(raw_snapshots, list):
        reader.report('snapshots', 'must be a list')
        raw_snapshots = []
    status = LeafStatus(
        state=reader.text('state', choices=LEAF_STATES),
        load=reader.number('load', 0),
        snapshots=tuple(
            _read_snapshot(FieldReader(raw, problems=reader.problems))
            for raw in raw_snapshots
        ),
    )
    return Err(reader.problems) if reader.problems else Ok(status)


def _read_snapshot(reader: FieldReader) -> ServedSnapshot:
    count = reader.integer('partition_count', minimum=1, maximum=MAX_PARTITIONS)
    partitions = reader.data.get('partitions', [])
    is_valid = isinstance(partitions, list) and all(
        isinstance(partition, int) and 0 <= partition < count
        for partition in partitions
    )
    if not is_valid:
        reader.report('partitions', f'must be integers below {count}')
        partitions = []
    return ServedSnapshot(
        snapshot=reader.text('snapshot'),
        sequence=reader.integer('sequence'),
        partition_count=count,
        partitions=tuple(sorted(set(partitions))),
    )
