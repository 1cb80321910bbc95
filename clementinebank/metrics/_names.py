"""Registry of all metrics: names, kinds, help texts and labels."""

import attrs


@attrs.frozen
class MetricDescription:
    """Name, kind, help text and labels of one metric.

    Parameters
    ----------
    name : str
        Name in the text exposition format.
    kind : str
        ``counter``, ``gauge`` or ``summary``.
    summary : str
        Help text of one line, which states the unit.
    labels : tuple of str
        Names of its labels.
    """

    name: str
    kind: str
    summary: str
    labels: tuple[str, ...] = ()


METRICS_BY_NAME: dict[str, MetricDescription] = {}


def _register(name: str, kind: str, summary: str, *labels: str) -> str:
    """Add a metric to ``METRICS_BY_NAME`` and return its name."""
    METRICS_BY_NAME[name] = MetricDescription(name, kind, summary, labels)
    return name


LATENCY = _register(
    'clementinebank_request_milliseconds',
    'summary',
    'Time from the complete request to its response, in milliseconds.',
    'service',
)
LOOP_DELAY = _register(
    'clementinebank_loop_delay_milliseconds',
    'summary',
    'Delay of a timer of the loop, in milliseconds.',
)
REQUESTS = _register(
    'clementinebank_requests_total',
    'counter',
    'Requests of callers by outcome.',
    'service',
    'outcome',
)
REFUSALS = _register(
    'clementinebank_refusals_total',
    'counter',
    'Refusals and errors by code.',
    'listener',
    'code',
)
ANSWERS = _register(
    'clementinebank_answers_total',
    'counter',
    'Answers by completeness.',
    'service',
    'complete',
)
SHARDS = _register(
    'clementinebank_shards_total',
    'counter',
    'Shards of answers by yard and whether they answered.',
    'service',
    'yard',
    'answered',
)
SHARD_REQUESTS = _register(
    'clementinebank_shard_requests_total',
    'counter',
    'Shard requests, and those of them that are extra load.',
    'service',
    'kind',
)
QUERY_EVENTS = _register(
    'clementinebank_query_events_total',
    'counter',
    'Events of queries, for example hedges, retries and snapshot moves.',
    'service',
    'event',
)
LEAF_FAILURES = _register(
    'clementinebank_leaf_failures_total',
    'counter',
    'Shards missing from an answer, by reason.',
    'service',
    'reason',
)
GATHERINGS = _register(
    'clementinebank_gatherings_total',
    'counter',
    'Requests of other instances that this one gathered or refused.',
    'outcome',
)
LIMITED_LEAFS = _register(
    'clementinebank_rate_limited_leafs',
    'gauge',
    'Leafs that name a rate limit now.',
)
PLACED_CALLS = _register(
    'clementinebank_placed_calls_total',
    'counter',
    'Calls that could be placed at home or elsewhere, by their place.',
    'place',
)
EVACUATED_DATA_CENTRES = _register(
    'clementinebank_evacuated_data_centres',
    'gauge',
    'Data centres whose leafs get no requests by order of the operators.',
)
QUOTA_DECISIONS = _register(
    'clementinebank_quota_decisions_total',
    'counter',
    'Requests of accounts with a quota, by how it was decided.',
    'decision',
)
CLIENT_ACCOUNTS = _register(
    'clementinebank_client_accounts',
    'gauge',
    'Client accounts of the configuration in force.',
)
SERVED_QUOTAS = _register(
    'clementinebank_quotas_served',
    'gauge',
    'Client accounts with a quota that this instance has served lately.',
)
USED_UP_QUOTAS = _register(
    'clementinebank_quotas_used_up',
    'gauge',
    'Quotas that this instance coordinates and that are used up.',
)
LEAVING_LEAFS = _register(
    'clementinebank_leaving_leafs',
    'gauge',
    'Registered leafs that have said in an answer that they leave.',
)
COLD_LEAFS = _register(
    'clementinebank_cold_leafs',
    'gauge',
    'Leafs whose requests are bounded because they are cold.',
)
MALFORMED_STATEMENTS = _register(
    'clementinebank_malformed_statements_total',
    'counter',
    'Statements in answers of leafs that can not be read and were ignored.',
    'statement',
)
ANSWER_CHECKS = _register(
    'clementinebank_leaf_answer_checks_total',
    'counter',
    'Answers of leafs that were told apart from the one due, by what was done.',
    'check',
)
CONFIGURATION_VERSION = _register(
    'clementinebank_configuration_version',
    'gauge',
    'Version of the configuration in force, 0 before the first one.',
)
CONFIGURATION_AGE = _register(
    'clementinebank_configuration_age_seconds',
    'gauge',
    'Time since the configuration came into force, in seconds.',
)
STORE_REVISION = _register(
    'clementinebank_store_revision',
    'gauge',
    'Revision of the store up to which the changes are known.',
)
STORE_ERA = _register(
    'clementinebank_store_era',
    'gauge',
    'Era of the store to which the known state belongs.',
)
STORE_RETURNS = _register(
    'clementinebank_store_returns_total',
    'counter',
    'Returns of the store from an older copy that became known.',
)
STORE_CONFIRMATION_AGE = _register(
    'clementinebank_store_confirmation_age_seconds',
    'gauge',
    'Time since the store last confirmed the known state, in seconds.',
)
VIOLATIONS = _register(
    'clementinebank_invariant_violations_total',
    'counter',
    'Violations of run-time invariants.',
    'invariant',
)
KEY_VALUE_CALLS = _register(
    'clementinebank_key_value_calls_total',
    'counter',
    'Calls to the key-value service.',
)
CONNECTIONS = _register(
    'clementinebank_connections',
    'gauge',
    'Open connections by listener.',
    'listener',
)
IN_FLIGHT = _register(
    'clementinebank_requests_in_flight',
    'gauge',
    'Requests in the handler by listener.',
    'listener',
)
CLIENT_MEMORY = _register(
    'clementinebank_client_memory_bytes',
    'gauge',
    'Memory for what clients make the instance hold, by part.',
    'part',
    'kind',
)
SHED_CONNECTIONS = _register(
    'clementinebank_shed_connections_total',
    'counter',
    'Connections closed to make room for others, by what there was none for.',
    'reason',
)
PAUSES = _register(
    'clementinebank_process_pauses_total',
    'counter',
    'Jumps of the clock of the loop above 2 s.',
)
TASK_FAILURES = _register(
    'clementinebank_task_failures_total',
    'counter',
    'Unexpected errors of long-lived tasks, which were started again.',
    'task',
)
LOG_LOSSES = _register(
    'clementinebank_log_lines_lost_total',
    'counter',
    'Log lines that were dropped or could not be written.',
    'reason',
)
