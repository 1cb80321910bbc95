"""Registry of the rows (path, step) and columns (fault) of the matrix.

A package adds a path in a module ``tests/faults/path_<name>.py`` or in its
own ``tests/fault_path.py``. The cells are generated: each step of each path
with each registered fault, and each pair of such injections.
"""

import importlib
import itertools
from pathlib import Path

import attrs

ROOT = Path(__file__).parent.parent.parent
PATH_MODULES = (
    'tests/faults/path_*.py',
    'clementinebank/*/tests/fault_path.py',
)


@attrs.frozen
class Injection:
    """One fault at one step."""

    step: str
    fault: str

    def __str__(self):
        """Return the line that is printed."""
        return f'{self.step} x {self.fault}'


@attrs.frozen
class CellRun:
    """What a path reports of one run.

    ``problems`` are broken guarantees; ``reached`` holds the injections that
    took place.
    """

    problems: list
    reached: frozenset


@attrs.frozen(eq=False)
class FaultPath:
    """One path: its steps, its injectors by fault, and its run.

    ``steps`` is called when cells are generated, so that a step that is
    registered later gets its cells. ``run`` takes the injections.
    """

    name: str
    steps: object
    injectors: dict
    run: object


@attrs.frozen
class Cell:
    """One run of one path under one or two injections."""

    path: FaultPath
    injections: tuple

    def __str__(self):
        """Return the line that is printed."""
        return f'{self.path.name}: ' + ' and '.join(map(str, self.injections))


@attrs.frozen
class CellResult:
    """Verdict of one cell."""

    cell: Cell
    problems: list
    is_partly_reached: bool = False

    def __str__(self):
        """Return the line that is printed."""
        if self.problems:
            return f'FAILED {self.cell}: {"; ".join(self.problems)}'
        note = ' (the second fault was not reached)'
        return f'passed {self.cell}{note if self.is_partly_reached else ""}'


FAULTS = {}
PATHS = {}


def fault(name, meaning):
    """Register a column, which every path must then be able to inject."""
    FAULTS[name] = meaning


def fault_path(path):
    """Register the rows of a path."""
    if path.name in PATHS:
        raise ValueError(f'path {path.name} is registered twice')
    PATHS[path.name] = path
    return path


def load_paths():
    """Import every module that registers a path."""
    for pattern in PATH_MODULES:
        for file in sorted(ROOT.glob(pattern)):
            relative = file.relative_to(ROOT).with_suffix('')
            importlib.import_module('.'.join(relative.parts))
    return PATHS


def single_cells(path):
    """Return a cell for each step with each fault."""
    return [
        Cell(path, (Injection(step, name),))
        for step in path.steps()
        for name in FAULTS
    ]


def pair_cells(path):
    """Return a cell for each pair of different injections."""
    singles = [cell.injections[0] for cell in single_cells(path)]
    return [Cell(path, pair) for pair in itertools.combinations(singles, 2)]


def run_cell(cell):
    """Run a cell; a fault that cannot be injected is a failure."""
    missing = [
        f'no injector for {each.fault}'
        for each in cell.injections
        if each.fault not in cell.path.injectors
    ]
    if missing:
        return CellResult(cell, missing)
    run = cell.path.run(cell.injections)
    unreached = [each for each in cell.injections if each not in run.reached]
    if len(unreached) == len(cell.injections):
        return CellResult(cell, [*run.problems, 'no fault was reached'])
    return CellResult(cell, run.problems, bool(unreached))
