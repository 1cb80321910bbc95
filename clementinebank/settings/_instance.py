"""Settings of one instance, read from its own YAML file."""

from pathlib import Path

import attrs
from result import Result

from clementinebank.errors import FieldProblem
from clementinebank.validation import Address, FieldReader, load_yaml

# Largest value of the settings that limit connections and requests.
MAX_CONCURRENCY_LIMIT = 100_000
DEFAULT_CLIENT_MEMORY_MB = 160
# Room for a few bodies of the largest size.
MIN_CLIENT_MEMORY_MB = 32
# Least time between the end of the drain delay and the shutdown limit. The
# shutdown needs it to finish the requests in flight and to exit.
MIN_SHUTDOWN_AFTER_DRAIN_MS = 2000


@attrs.frozen
class InstanceSettings:
    """Settings of one instance, which the configuration document lacks.

    They identify the instance, give its addresses and the platform's, and
    limit what it accepts.

    Parameters
    ----------
    instance_id : str
        Name of the instance, unique in the fleet.
    data_centre : str
        Data centre in which the instance runs.
    callers, peers, operators : Address
        Addresses on which it listens for callers, for other instances and
        for operators.
    key_value, instance_list : Address
        Addresses of the platform's key-value service and instance list.
    log_path : str
        Path of the log file, ``-`` for standard error.
    drain_delay_ms : int
        Time for which callers are still served after a stop signal, in
        milliseconds.
    shutdown_limit_ms : int
        Longest time from the stop signal to the exit, in milliseconds.
    max_caller_connections : int
        Largest number of open connections of callers.
    max_requests_in_flight : int
        Largest number of requests of callers handled at the same time.
    max_client_memory_mb : int
        Memory for bodies that are read or wait and responses that are sent,
        of callers and operators together, in megabytes.
    """

    instance_id: str
    data_centre: str
    callers: Address
    peers: Address
    operators: Address
    key_value: Address
    instance_list: Address
    log_path: str = '-'
    drain_delay_ms: int = 3000
    shutdown_limit_ms: int = 15_000
    max_caller_connections: int = 2048
    max_requests_in_flight: int = 512
    max_client_memory_mb: int = DEFAULT_CLIENT_MEMORY_MB


def load_settings(path: Path) -> Result[InstanceSettings, list[FieldProblem]]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        YAML file.

    Returns
    -------
    Result
        The settings, or every problem found.
    """
    return load_yaml(path, _read_settings)


def _read_settings(reader: FieldReader) -> InstanceSettings:
    """Return the settings; problems are reported to the reader."""
    listen = reader.child('listen')
    platform = reader.child('platform')
    settings = InstanceSettings(
        instance_id=reader.text('instance_id'),
        data_centre=reader.text('data_centre'),
        callers=listen.address('callers'),
        peers=listen.address('peers'),
        operators=listen.address('operators'),
        key_value=platform.address('key_value'),
        instance_list=platform.address('instance_list'),
        log_path=reader.text('log_path', '-'),
        drain_delay_ms=reader.integer('drain_delay_ms', 3000),
        shutdown_limit_ms=reader.integer('shutdown_limit_ms', 15_000),
        max_caller_connections=reader.integer(
            'max_caller_connections',
            2048,
            minimum=1,
            maximum=MAX_CONCURRENCY_LIMIT,
        ),
        max_requests_in_flight=reader.integer(
            'max_requests_in_flight',
            512,
            minimum=1,
            maximum=MAX_CONCURRENCY_LIMIT,
        ),
        max_client_memory_mb=reader.integer(
            'max_client_memory_mb',
            DEFAULT_CLIENT_MEMORY_MB,
            minimum=MIN_CLIENT_MEMORY_MB,
        ),
    )
    if (
        settings.shutdown_limit_ms
        < settings.drain_delay_ms + MIN_SHUTDOWN_AFTER_DRAIN_MS
    ):
        reader.report(
            'shutdown_limit_ms',
            f'must be at least {MIN_SHUTDOWN_AFTER_DRAIN_MS} above '
            f'drain_delay_ms ({settings.drain_delay_ms}), got '
            f'{settings.shutdown_limit_ms}',
        )
    for each in (reader, listen, platform):
        each.report_unknown_fields()
    return settings
