"""Registry, cells and runs of the fault matrix.

A row of the matrix is a step of a path (a use case such as a booking), a
column is a fault, and a cell is one run of the path with the fault injected
at the step. A path is registered by a module
``tests/faults/path_<name>.py`` or by ``tests/fault_path.py`` of a package.
The cells are generated from the registered steps and faults: one for each
step with each fault of its path, and one for each pair of such injections.
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
    """One fault to inject at one step."""

    step: str
    fault_name: str

    def __str__(self):
        """Return the text that is printed for the injection."""
        return f'{self.step} x {self.fault_name}'


@attrs.frozen
class CellRun:
    """Outcome of one run of a path under faults.

    Parameters
    ----------
    problems : list of str
        Guarantees that the run broke.
    reached : frozenset of Injection
        Injections that took effect.
    """

    problems: list
    reached: frozenset


@attrs.frozen(eq=False)
class FaultPath:
    """One path of the matrix and how to run it under faults.

    Parameters
    ----------
    name : str
        Name that is printed and that faults are registered for.
    get_steps : callable
        Returns the names of the steps. It is called whenever cells are
        generated, so that a step that is added later gets its cells.
    injectors : dict
        Function that injects a fault, by name of the fault.
    run : callable
        Runs the path with the given injections; returns a ``CellRun``.
    exclusions : dict
        Cells that cannot exist: by name of the fault, pairs of step names
        and the reason. Steps are listed one by one, so that a new step is
        never excluded unnoticed.
    """

    name: str
    get_steps: object
    injectors: dict
    run: object
    exclusions: dict = attrs.Factory(dict)

    def exclusion_reason(self, injection):
        """Return why the injection is not applicable, or ``None``."""
        for steps, reason in self.exclusions.get(injection.fault_name, ()):
            if injection.step in steps:
                return f'not applicable: {reason}'
        return None


@attrs.frozen
class Cell:
    """One path with the one or two injections of a run."""

    path: FaultPath
    injections: tuple

    def __str__(self):
        """Return the text that is printed for the cell."""
        return f'{self.path.name}: ' + ' and '.join(map(str, self.injections))


@attrs.frozen
class CellResult:
    """Result of one cell.

    Parameters
    ----------
    cell : Cell
        Cell that was run or skipped.
    problems : list of str
        Why the cell failed; empty otherwise.
    is_partly_reached : bool
        True if only one of two injections took effect.
    skip_reason : str or None
        Why the cell was not run: it cannot exist. ``None`` otherwise.
    """

    cell: Cell
    problems: list
    is_partly_reached: bool = False
    skip_reason: str | None = None

    def __str__(self):
        """Return the line that is printed for the result."""
        if self.skip_reason and not self.problems:
            return f'skipped {self.cell}: {self.skip_reason}'
        if self.problems:
            return f'FAILED {self.cell}: {"; ".join(self.problems)}'
        note = ' (the second fault was not reached)'
        return f'passed {self.cell}{note if self.is_partly_reached else ""}'


@attrs.frozen
class Fault:
    """Meaning of a fault and its paths; without names, it is for all paths."""

    meaning: str
    path_names: tuple = ()


FAULTS = {}
PATHS = {}


def register_fault(name, meaning, path_names=()):
    """Register a fault.

    A path that the fault applies to fails its cells until it has an injector
    for the fault.

    Parameters
    ----------
    name : str
        Unique name of the fault.
    meaning : str
        What happens.
    path_names : sequence of str
        Paths that the fault applies to; empty for every path.

    Raises
    ------
    ValueError
        If the name is already registered.
    """
    if name in FAULTS:
        raise ValueError(f'fault {name} is registered twice')
    FAULTS[name] = Fault(meaning, tuple(path_names))


def get_fault_names(path):
    """Return the names of the faults that apply to a path."""
    return [
        name
        for name, each in FAULTS.items()
        if not each.path_names or path.name in each.path_names
    ]


def register_path(path):
    """Register a path and return it; raise ``ValueError`` if it exists."""
    if path.name in PATHS:
        raise ValueError(f'path {path.name} is registered twice')
    PATHS[path.name] = path
    return path


def load_paths():
    """Import every module that registers a path; return the paths by name."""
    for pattern in PATH_MODULES:
        for file in sorted(ROOT.glob(pattern)):
            relative = file.relative_to(ROOT).with_suffix('')
            importlib.import_module('.'.join(relative.parts))
    return PATHS


def single_cells(path):
    """Return a cell for each step of a path with each of its faults."""
    return [
        Cell(path, (Injection(step, name),))
        for step in path.get_steps()
        for name in get_fault_names(path)
    ]


def pair_cells(path):
    """Return a cell for each pair of different applicable injections."""
    singles = [cell.injections[0] for cell in single_cells(path)]
    possible = [each for each in singles if not path.exclusion_reason(each)]
    return [Cell(path, pair) for pair in itertools.combinations(possible, 2)]


def sampled_pair_cells(path, count, seed):
    """Return a random sample of the pair cells, fixed by the seed."""
    return random.Random(seed).sample(pair_cells(path), count)


def steps_without_applicable_faults(path):
    """Return the steps at which no fault is applicable."""
    covered = {
        cell.injections[0].step
        for cell in single_cells(path)
        if not path.exclusion_reason(cell.injections[0])
    }
    return [step for step in path.get_steps() if step not in covered]


def run_cell(cell):
    """Run a cell and return its result.

    A cell with an injection that is not applicable is skipped. It fails
    nevertheless if the step of its first injection has only such cells, so
    that no step goes untested. A cell also fails if the path has no injector
    for a fault or if no injection took effect.
    """
    reasons = [cell.path.exclusion_reason(each) for each in cell.injections]
    if any(reasons):
        step = cell.injections[0].step
        problems = (
            [f'every cell of step {step} is skipped']
            if step in steps_without_applicable_faults(cell.path)
            else []
        )
        return CellResult(cell, problems, skip_reason=reasons[0] or reasons[-1])
    missing = [
        f'no injector for {each.fault_name}'
        for each in cell.injections
        if each.fault_name not in cell.path.injectors
    ]
    if missing:
        return CellResult(cell, missing)
    run = cell.path.run(cell.injections)
    unreached = [each for each in cell.injections if each not in run.reached]
    if len(unreached) == len(cell.injections):
        return CellResult(cell, [*run.problems, 'no fault was reached'])
    return CellResult(cell, run.problems, bool(unreached))
