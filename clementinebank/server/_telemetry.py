"""Sources of the metrics whose state is kept elsewhere."""

from collections.abc import Callable, Iterator
from typing import Any

from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.metrics import Metrics, Sample, names, sample
from clementinebank.process import LogSink

MS_PER_S = 1000


def on_loop_delay(metrics: Metrics) -> Callable[[float], None]:
    """Return a function that records a delay of the loop in seconds."""

    def record(delay_s: float) -> None:
        metrics.record_ms(names.LOOP_DELAY, delay_s * MS_PER_S)

    return record


def add_sources(instance: Any) -> None:
    """Register the sources of an instance."""

    def read() -> Iterator[Sample]:
        for violated, count in VIOLATIONS_BY_NAME.items():
            yield sample(names.VIOLATIONS, count, invariant=violated)
        calls = getattr(instance.key_value, 'calls', 0)
        yield sample(names.KEY_VALUE_CALLS, calls)
        yield sample(names.PAUSES, instance.loop_monitor.pauses)
        for listener, server in instance.listeners.items():
            name = listener.value
            connections = server.open_connections
            yield sample(names.CONNECTIONS, connections, listener=name)
            yield sample(names.IN_FLIGHT, server.in_flight, listener=name)
        for service, engine in instance.engines_by_service.items():
            yield from _extra_load(service, engine)

    instance.observer.metrics.add_source(read)


def _extra_load(service: str, engine: Any) -> Iterator[Sample]:
    budget = getattr(engine.router, 'budget', None)
    if budget is None:
        return
    total, extra = budget.requests, budget.extra_requests
    yield sample(names.SHARD_REQUESTS, total, service=service, kind='all')
    yield sample(names.SHARD_REQUESTS, extra, service=service, kind='extra')


def add_log_source(metrics: Metrics, sink: LogSink) -> None:
    """Register the losses of the log."""

    def read() -> Iterator[Sample]:
        yield sample(names.LOG_LOSSES, sink.dropped_lines, reason='full')
        yield sample(names.LOG_LOSSES, sink.failed_writes, reason='error')

    metrics.add_source(read)
