"""Loading of settings files."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

from clementinebank.errors import FieldProblem
from clementinebank.validation._reader import FieldReader
from clementinebank.validation._yaml import parse_yaml

Settings = TypeVar('Settings')


def load_yaml(
    path: Path, read: Callable[[FieldReader], Settings]
) -> Result[Settings, list[FieldProblem]]:
    """Read and validate a YAML file.

    Parameters
    ----------
    path : Path
        YAML file.
    read : callable
        Function that returns the settings from a reader of the file's data
        and reports problems to this reader.

    Returns
    -------
    Result
        The settings, or every problem found. A file that cannot be read or
        parsed is one problem.
    """
    try:
        text = path.read_text()
    except OSError as error:
        return Err([FieldProblem('$', f'cannot read {path}: {error}')])
    parsed = parse_yaml(text)
    if isinstance(parsed, Err):
        return Err([parsed.err_value])
    reader = FieldReader(
        parsed.ok_value.data, lines_by_path=parsed.ok_value.lines_by_path
    )
    settings = read(reader)
    return Err(reader.problems) if reader.problems else Ok(settings)
