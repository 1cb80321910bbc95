"""Registry of the rows (path, step) and columns (fault) of the matrix.

A package adds a path in a module ``tests/faults/path_<name>.py`` or in its
own ``tests/fault_path.py``. The cells are generated: each step of each path
with each registered fault, and each pair of such injections.
"""

import importlib
import itertools
import random
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
    ``exclusions`` are the cells that cannot exist, by fault. They name their
    steps, so that a new step is excluded from nothing.
    """

    name: str
    steps: object
    injectors: dict
    run: object
    exclusions: dict = attrs.Factory(dict)

    def exclusion_reason(self, injection):
        """Return why a cell cannot exist, or ``None``."""
        for steps, reason in self.exclusions.get(injection.fault, ()):
            if injection.step in steps:
                return f'not applicable: {reason}'
        return None


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
    skip_reason: str | None = None

    def __str__(self):
        """Return the line that is printed."""
        if self.skip_reason and not self.problems:
            return f'skipped {self.cell}: {self.skip_reason}'
        if self.problems:
            return f'FAILED {self.cell}: {"; ".join(self.problems)}'
        note = ' (the second fault was not reached)'
        return f'passed {self.cell}{note if self.is_partly_reached else ""}'


@attrs.frozen
class Fault:
    """One column; without path names it is a column of every path."""

    meaning: str
    path_names: tuple = ()


FAULTS = {}
PATHS = {}


def fault(name, meaning, path_names=()):
    """Register a column, which its paths must then be able to inject."""
    if name in FAULTS:
        raise ValueError(f'fault {name} is registered twice')
    FAULTS[name] = Fault(meaning, tuple(path_names))


def faults_of(path):
    """Return the names of the columns of a path."""
    return [
        name
        for name, each in FAULTS.items()
        if not each.path_names or path.name in each.path_names
    ]


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
        for name in faults_of(path)
    ]


def pair_cells(path):
    """Return a cell for each pair of different injections that can exist."""
    singles = [cell.injections[0] for cell in single_cells(path)]
    possible = [each for each in singles if not path.exclusion_reason(each)]
    return [Cell(path, pair) for pair in itertools.combinations(possible, 2)]


def sampled_pair_cells(path, count, seed):
    """Return a seeded sample of the pairs."""
    return random.Random(seed).sample(pair_cells(path), count)


def steps_without_cells(path):
    """Return the steps whose cells are all skipped."""
    covered = {
        cell.injections[0].step
        for cell in single_cells(path)
        if not path.exclusion_reason(cell.injections[0])
    }
    return [step for step in path.steps() if step not in covered]


def run_cell(cell):
    """Run a cell; a fault that cannot be injected is a failure."""
    reasons = [cell.path.exclusion_reason(each) for each in cell.injections]
    if any(reasons):
        step = cell.injections[0].step
        problems = (
            [f'every cell of step {step} is skipped']
            if step in steps_without_cells(cell.path)
            else []
        )
        return CellResult(cell, problems, skip_reason=reasons[0] or reasons[-1])
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
