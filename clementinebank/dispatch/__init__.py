"""Sends, hedges, retries and cancels of the calls of one request."""

from clementinebank.dispatch._actions import (
    Action,
    CancelCall,
    Finish,
    Refuse,
    SendCall,
    TraceEvent,
)
from clementinebank.dispatch._dispatcher import (
    RATE_LIMITED_REASON,
    TURNED_AWAY_REASON,
    Dispatcher,
    EndedAttempt,
)
from clementinebank.dispatch._policy import DispatchPolicy
from clementinebank.dispatch._run import RequestRun, RequestStateMachine
from clementinebank.dispatch._shards import Attempt, Shard, Timers

__all__ = (
    'Action',
    'RATE_LIMITED_REASON',
    'TURNED_AWAY_REASON',
    'Attempt',
    'CancelCall',
    'DispatchPolicy',
    'Dispatcher',
    'RequestStateMachine',
    'EndedAttempt',
    'Finish',
    'Refuse',
    'RequestRun',
    'SendCall',
    'Shard',
    'Timers',
    'TraceEvent',
)
