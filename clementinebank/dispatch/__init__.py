"""Attempts of one request at the replicas of its shards."""

from clementinebank.dispatch._actions import CancelCall, SendCall, TraceEvent
from clementinebank.dispatch._dispatcher import Dispatcher, EndedAttempt
from clementinebank.dispatch._policy import DispatchPolicy
from clementinebank.dispatch._shards import Attempt, Shard, Timers

__all__ = (
    'Attempt',
    'CancelCall',
    'DispatchPolicy',
    'Dispatcher',
    'EndedAttempt',
    'SendCall',
    'Shard',
    'Timers',
    'TraceEvent',
)
