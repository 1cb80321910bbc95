"""Settings of one instance, read from its own YAML file."""

from pathlib import Path

import attrs
from result import Result

from clementinebank.errors import FieldProblem
from clementinebank.validation import Address, FieldReader, load_yaml

MAX_LIMIT = 100_000
# Time that a shutdown needs after the drain delay to finish its requests.
MIN_CLOSE_MS = 2000


@attrs.frozen
class InstanceSettings:
    """Everything an instance knows before it reads the document.

    Parameters
    ----------
    instance_id : str
        Unique name in the fleet.
    data_centre : str
        Data centre in which the instance runs.
    callers, peers, operators : Address
        Listeners.
    key_value, instance_list : Address
        Services of the platform.
    log_path : str
        Log file, ``-`` for standard error.
    drain_delay_ms : int
        Time to keep serving after SIGTERM, in milliseconds.
    shutdown_limit_ms : int
        Longest shutdown, in milliseconds.
    max_caller_connections : int
        Open connections of callers.
    max_requests_in_flight : int
        Requests of callers handled at the same time.
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
            'max_caller_connections', 2048, minimum=1, maximum=MAX_LIMIT
        ),
        max_requests_in_flight=reader.integer(
            'max_requests_in_flight', 512, minimum=1, maximum=MAX_LIMIT
        ),
    )
    if settings.shutdown_limit_ms < settings.drain_delay_ms + MIN_CLOSE_MS:
        reader.report(
            'shutdown_limit_ms',
            f'must be at least {MIN_CLOSE_MS} above drain_delay_ms '
            f'({settings.drain_delay_ms}), got {settings.shutdown_limit_ms}',
        )
    for part in (reader, listen, platform):
        part.finish()
    return settings
