"""Entry point of the daemon."""

import argparse
import sys
from pathlib import Path

import curio
import eliot
from result import Err

from clementinebank.clock import run_service
from clementinebank.server._instance import create_instance
from clementinebank.settings import load_settings

EXIT_INVALID_SETTINGS = 1


def main(arguments: list[str] | None = None) -> int:
    """Run one entry instance until it is stopped.

    Parameters
    ----------
    arguments : list of str, optional
        Command line without the program's name.

    Returns
    -------
    int
        Exit status.
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
    _open_log(loaded.ok_value.log_path)
    instance = create_instance(loaded.ok_value)
    try:
        run_service(instance.run)
    except (KeyboardInterrupt, curio.TaskCancelled):
        return 0
    return 0


def _open_log(path: str) -> None:
    # Line buffering keeps the log whole up to a kill.
    stream = sys.stderr if path == '-' else Path(path).open('a', buffering=1)
    eliot.to_file(stream)
