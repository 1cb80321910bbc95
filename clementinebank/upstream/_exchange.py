"""What tells the answers of a leaf apart, for logs and metrics."""

import attrs

# Keys of the counters of a pool.
LATE_ANSWER_SKIPPED = 'late_answer_skipped'
ANSWER_MISMATCHED = 'answer_mismatched'
ANSWER_INVALID = 'answer_invalid'
CONNECTION_AVOIDED = 'connection_avoided'


@attrs.frozen
class ExchangeRecord:
    """Place of one request among those that a connection has carried.

    Parameters
    ----------
    port : int
        Local TCP port of the connection. The leaf sees it as the port of its
        peer.
    request_number : int
        Number of the request on the connection, from 1.
    late_count : int
        Answers to earlier requests that were skipped before its own.
    """

    port: int
    request_number: int
    late_count: int = 0
