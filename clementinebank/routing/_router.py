"""Router: the choice of replicas and the record of what became of it."""

from clementinebank.routing._calls import CallRecords
from clementinebank.routing._rate_limits import RateLimitQueries


class Router(RateLimitQueries, CallRecords):
    """Selector of the replicas that get the requests of one service.

    The router keeps the state of every leaf, the latencies of the calls and
    the budget of the extra requests; `Replicas` lists its parameters.
    """

    __slots__ = ()
