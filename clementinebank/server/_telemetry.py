"""Metrics that are read from other parts of the instance when exposed."""

from collections.abc import Callable, Iterator
from typing import Any

from clementinebank.http import read_resource_samples
from clementinebank.invariants import VIOLATIONS_BY_NAME
from clementinebank.metrics import Metrics, Sample, create_sample, names
from clementinebank.process import LogSink

MS_PER_S = 1000


def create_loop_delay_recorder(metrics: Metrics) -> Callable[[float], None]:
    """Return a function that records a delay of the event loop.

    The function receives the delay in seconds.
    """

    def record(delay_s: float) -> None:
        metrics.record_ms(names.LOOP_DELAY, delay_s * MS_PER_S)

    return record


def add_instance_source(instance: Any) -> None:
    """Register the source of the metrics that are read from an instance.

    These are violated invariants, calls of the key-value service, process
    pauses, open connections, requests in flight, the memory that clients
    hold, and extra load on shards.
    """

    def read_samples() -> Iterator[Sample]:
        for invariant_name, count in VIOLATIONS_BY_NAME.items():
            yield create_sample(
                names.VIOLATIONS, count, invariant=invariant_name
            )
        calls = getattr(instance.key_value, 'calls', 0)
        yield create_sample(names.KEY_VALUE_CALLS, calls)
        yield create_sample(names.PAUSES, instance.loop_monitor.pauses)
        for listener, server in instance.listeners.items():
            listener_name = listener.value
            connections = server.open_connections
            yield create_sample(
                names.CONNECTIONS, connections, listener=listener_name
            )
            yield create_sample(
                names.IN_FLIGHT, server.in_flight, listener=listener_name
            )
        for server in list(instance.listeners.values())[:1]:
            yield from read_resource_samples(server.resources)
        for service, engine in instance.engines_by_service.items():
            yield from _extra_load_samples(service, engine)

    instance.observer.metrics.add_source(read_samples)


def _extra_load_samples(service: str, engine: Any) -> Iterator[Sample]:
    """Yield the numbers of all and of extra shard requests of a service."""
    budget = getattr(engine.router, 'budget', None)
    if budget is None:
        return
    total, extra = budget.requests, budget.extra_requests
    yield create_sample(
        names.SHARD_REQUESTS, total, service=service, kind='all'
    )
    yield create_sample(
        names.SHARD_REQUESTS, extra, service=service, kind='extra'
    )


def add_log_source(metrics: Metrics, sink: LogSink) -> None:
    """Register the source of the numbers of lost log lines."""

    def read_samples() -> Iterator[Sample]:
        yield create_sample(names.LOG_LOSSES, sink.dropped_lines, reason='full')
        yield create_sample(
            names.LOG_LOSSES, sink.failed_writes, reason='error'
        )

    metrics.add_source(read_samples)
