"""Runs a gateway in this process."""

import io
import sys
from collections.abc import Callable
from pathlib import Path

import eliot
from result import Err

from clementinebank.clock import run_service
from clementinebank.gateway._gateway import Gateway
from clementinebank.gateway._reload import SettingsWatcher
from clementinebank.gateway._settings import (
    GatewaySettings,
    load_gateway_settings,
)
from clementinebank.process import LogSink

EXIT_INVALID_SETTINGS = 1
LOG_CLOSE_TIMEOUT_S = 0.5


def run_gateway(
    path: Path, create: Callable[[GatewaySettings], Gateway]
) -> int:
    """Run a gateway until it is stopped and return the exit status.

    Invalid settings are printed to standard error and end the process with
    status 1.

    Parameters
    ----------
    path : Path
        YAML settings file.
    create : callable
        Returns the gateway for the settings, with the store client and the
        codecs of its platform.
    """
    loaded = load_gateway_settings(path)
    if isinstance(loaded, Err):
        for problem in loaded.err_value:
            sys.stderr.write(f'{path}: {problem}\n')
        return EXIT_INVALID_SETTINGS
    sink = LogSink(
        io.FileIO(sys.stdout.fileno(), 'a', closefd=False),
        max_queued_bytes=loaded.ok_value.resources.log_bytes,
    )
    eliot.add_destinations(sink)
    gateway = create(loaded.ok_value)
    watcher = SettingsWatcher(path, loaded.ok_value, gateway.apply_settings)
    gateway.background.append(watcher.run)
    gateway.stop_signal.install()
    watcher.signal_waiter.install()
    try:
        return int(run_service(gateway.run))
    finally:
        sink.close(LOG_CLOSE_TIMEOUT_S)
