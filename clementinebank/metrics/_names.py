"""Registry of the metrics that an instance exposes."""

import attrs


@attrs.frozen
class MetricDescription:
    """One metric.

    Parameters
    ----------
    name : str
        Name in the text exposition format.
    kind : str
        ``counter``, ``gauge`` or ``summary``.
    summary : str
        One line of help with the unit.
    labels : tuple of str
        Names of its labels.
    """

    name: str
    kind: str
    summary: str
    labels: tuple[str, ...] = ()


METRICS_BY_NAME: dict[str, MetricDescription] = {}


def _describe(name: str, kind: str, summary: str, *labels: str) -> str:
    METRICS_BY_NAME[name] = MetricDescription(name, kind, summary, labels)
    return name


LATENCY = _describe(
    'clementinebank_request_milliseconds',
    'summary',
    'Time from the complete request to its response, in milliseconds.',
    'service',
)
LOOP_DELAY = _describe(
    'clementinebank_loop_delay_milliseconds',
    'summary',
    'Delay of a timer of the loop, in milliseconds.',
)
REQUESTS = _describe(
    'clementinebank_requests_total',
    'counter',
    'Requests of callers by outcome.',
    'service',
    'outcome',
)
REFUSALS = _describe(
    'clementinebank_refusals_total',
    'counter',
    'Refusals and errors by code.',
    'listener',
    'code',
)
ANSWERS = _describe(
    'clementinebank_answers_total',
    'counter',
    'Answers by completeness.',
    'service',
    'complete',
)
SHARDS = _describe(
    'clementinebank_shards_total',
    'counter',
    'Shards of answers by yard and whether they answered.',
    'service',
    'yard',
    'answered',
)
SHARD_REQUESTS = _describe(
    'clementinebank_shard_requests_total',
    'counter',
    'Shard requests, and those of them that are extra load.',
    'service',
    'kind',
)
QUERY_EVENTS = _describe(
    'clementinebank_query_events_total',
    'counter',
    'Events of queries, for example hedges, retries and snapshot moves.',
    'service',
    'event',
)
LEAF_FAILURES = _describe(
    'clementinebank_leaf_failures_total',
    'counter',
    'Shards missing from an answer, by reason.',
    'service',
    'reason',
)
VIOLATIONS = _describe(
    'clementinebank_invariant_violations_total',
    'counter',
    'Violations of run-time invariants.',
    'invariant',
)
KEY_VALUE_CALLS = _describe(
    'clementinebank_key_value_calls_total',
    'counter',
    'Calls to the key-value service.',
)
CONNECTIONS = _describe(
    'clementinebank_connections',
    'gauge',
    'Open connections by listener.',
    'listener',
)
IN_FLIGHT = _describe(
    'clementinebank_requests_in_flight',
    'gauge',
    'Requests in the handler by listener.',
    'listener',
)
PAUSES = _describe(
    'clementinebank_process_pauses_total',
    'counter',
    'Jumps of the clock of the loop above 2 s.',
)
LOG_LOSSES = _describe(
    'clementinebank_log_lines_lost_total',
    'counter',
    'Log lines that were dropped or could not be written.',
    'reason',
)
