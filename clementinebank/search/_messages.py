"""Search requests of callers and shard replies of leafs."""

import json
from typing import Any

import attrs
from result import Err, Ok, Result

from clementinebank.errors import FieldProblem
from clementinebank.validation import FieldReader

DEFAULT_LIMIT = 20
MAX_LIMIT = 1000
MAX_QUERY_CHARACTERS = 4096


@attrs.frozen
class SearchRequest:
    """Search that a caller requested.

    Parameters
    ----------
    request_id : str
        Id of the request, echoed to the caller.
    query : str
        Query text, passed to the leafs unchanged.
    limit : int
        Largest number of records in the answer.
    deadline : float
        Monotonic time in seconds at which the answer is due.
    """

    request_id: str
    query: str
    limit: int
    deadline: float


@attrs.frozen
class Record:
    """One record of a shard reply.

    Parameters
    ----------
    record_id : str
        Unique id of the record in the index.
    partition : int
        Partition of the record in the snapshot.
    yard : str
        Yard to which the record belongs.
    score : float
        Relevance; higher is better.
    fields : dict
        Content of the record, passed to the caller unchanged.
    """

    record_id: str
    partition: int
    yard: str
    score: float
    fields: dict[str, Any]


@attrs.frozen
class ShardReply:
    """Reply of one leaf to a shard request.

    Parameters
    ----------
    snapshot : str
        Snapshot that was searched.
    partitions : tuple of int
        Partitions that were searched.
    records : tuple of Record
        Records that match the query.
    """

    snapshot: str
    partitions: tuple[int, ...]
    records: tuple[Record, ...]


def decode_search_request(
    body: bytes,
) -> Result[tuple[str, int], list[FieldProblem]]:
    """Decode and validate the body of a caller's search request.

    Returns
    -------
    Result
        The query text and the limit, or the problems found.
    """
    try:
        reader = FieldReader(json.loads(body))
    except (ValueError, RecursionError) as error:
        return Err([FieldProblem('body', f'invalid JSON: {error}')])
    query = reader.text('query')
    if len(query) > MAX_QUERY_CHARACTERS:
        reader.report('query', f'longer than {MAX_QUERY_CHARACTERS} characters')
    limit = reader.integer('limit', DEFAULT_LIMIT, minimum=1, maximum=MAX_LIMIT)
    reader.report_unknown_fields()
    return Err(reader.problems) if reader.problems else Ok((query, limit))


def decode_shard_reply(
    body: bytes, call_id: str
) -> Result[ShardReply, list[FieldProblem]]:
    """Decode and validate the body of a leaf's reply to one call.

    The body must state the id of the call, although the header does too: a
    leaf that mixes up its requests can send the body of one reply with the
    header of another.
    """
    try:
        reader = FieldReader(json.loads(body))
    except (ValueError, RecursionError) as error:
        return Err([FieldProblem('$', f'invalid JSON: {error}')])
    answered_id = reader.text('request_id')
    if answered_id != call_id:
        reader.report('request_id', f'must be {call_id}, got {answered_id}')
    raw_records = reader.data.get('records')
    partitions = reader.data.get('partitions')
    if not isinstance(raw_records, list):
        reader.report('records', 'must be a list')
        raw_records = []
    if not isinstance(partitions, list):
        reader.report('partitions', 'must be a list')
        partitions = []
    reply = ShardReply(
        snapshot=reader.text('snapshot'),
        partitions=tuple(partitions),
        records=tuple(
            _read_record(FieldReader(raw, problems=reader.problems))
            for raw in raw_records
        ),
    )
    return Err(reader.problems) if reader.problems else Ok(reply)


def _read_record(reader: FieldReader) -> Record:
    fields = reader.data.get('fields', {})
    if not isinstance(fields, dict):
        reader.report('fields', 'must be a mapping')
    return Record(
        record_id=reader.text('record_id'),
        partition=reader.integer('partition'),
        yard=reader.text('yard'),
        score=reader.number('score', minimum=-1e9),
        fields=fields,
    )
