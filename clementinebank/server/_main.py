"""Command line entry point of the daemon ``clementinebankd``."""

import argparse
import io
import sys
from pathlib import Path

import eliot
from result import Err

from clementinebank.clock import run_service
from clementinebank.process import LogSink
from clementinebank.server._instance import create_instance
from clementinebank.server._telemetry import add_log_source
from clementinebank.settings import InstanceSettings, load_settings

EXIT_INVALID_SETTINGS = 1
EXIT_FAILED = 2
# Longest time at exit for writing the log lines that are still queued.
LOG_CLOSE_TIMEOUT_S = 1.0


def main(arguments: list[str] | None = None) -> int:
    """Run one entry instance until its shutdown and return the exit status.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        0 after a shutdown that cut no request, 1 for invalid settings, 2
        if a listener failed, 3 if the shutdown limit cut requests.
    """
    parser = argparse.ArgumentParser(
        prog='clementinebankd', description='Entry instance of the query tier.'
    )
    parser.add_argument(
        '--settings', type=Path, required=True, help='YAML settings file'
    )
    options = parser.parse_args(arguments)
    loaded = load_settings(options.settings)
    if isinstance(loaded, Err):
        for problem in loaded.err_value:
            sys.stderr.write(f'{options.settings}: {problem}\n')
        return EXIT_INVALID_SETTINGS
    try:
        return _serve(loaded.ok_value)
    except OSError as error:
        sys.stderr.write(f'{options.settings}: {error}\n')
        return EXIT_FAILED


def _serve(settings: InstanceSettings) -> int:
    """Open the log, run an instance and return its exit status."""
    sink = _open_log(settings.log_path)
    instance = create_instance(settings)
    add_log_source(instance.observer.metrics, sink)
    instance.life_cycle.stop_signal.install()
    try:
        return int(run_service(instance.run))
    finally:
        sink.close(LOG_CLOSE_TIMEOUT_S)


def _open_log(path: str) -> LogSink:
    """Send the log to a file, or to standard error if the path is ``-``."""
    is_file = path != '-'
    target = path if is_file else sys.stderr.fileno()
    sink = LogSink(io.FileIO(target, 'a', closefd=is_file))
    eliot.add_destinations(sink)
    return sink
