"""Gathering of scatter-gather requests by a few instances for all others.

An entry instance hands such a request, whole, to an aggregator in a region
that holds leafs of its services. The few aggregators share the
connections to leafs, the budget of extra requests and the knowledge of which
leafs are slow, and one merged answer travels back instead of all parts.
"""

from clementinebank.aggregation._client import GATHER_PATH, AggregationClient
from clementinebank.aggregation._delegator import Delegator
from clementinebank.aggregation._messages import (
    GatherOutcome,
    GatherRequest,
    decode_outcome,
    decode_request,
    encode_outcome,
    encode_request,
)
from clementinebank.aggregation._selector import AggregatorSelector
from clementinebank.aggregation._service import AggregationService

__all__ = (
    'GATHER_PATH',
    'AggregationClient',
    'AggregationService',
    'AggregatorSelector',
    'Delegator',
    'GatherOutcome',
    'GatherRequest',
    'decode_outcome',
    'decode_request',
    'encode_outcome',
    'encode_request',
)
