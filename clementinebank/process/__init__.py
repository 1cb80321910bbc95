"""Signal handling and log output of a process."""

from clementinebank.process._log_sink import LogSink
from clementinebank.process._signals import STOP_SIGNALS, SignalWaiter
from clementinebank.process._supervision import supervise

__all__ = ('STOP_SIGNALS', 'LogSink', 'SignalWaiter', 'supervise')
