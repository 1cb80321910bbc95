"""Rate limits that leafs name for all instances together."""

from clementinebank.ratelimit._leaf_limit import LeafLimit
from clementinebank.ratelimit._named import NamedLimit, read_named_limit
from clementinebank.ratelimit._table import LimitTable

__all__ = ('LeafLimit', 'LimitTable', 'NamedLimit', 'read_named_limit')
