"""Command ``python -m tests.faults [PATH ...]``: run the fault matrix.

Prints one line per cell and the totals; the exit status is 1 if a cell
failed. Without names of paths, every registered path runs.
"""

import logging
import sys

from tests.faults.matrix import load_paths, pair_cells, run_cell, single_cells


def main(names):
    """Run the single and pair cells of the named paths; return the status."""
    # curio logs a warning for each timer that is overdue after an injected
    # pause has advanced the fake clock.
    logging.getLogger('curio').setLevel(logging.ERROR)
    results = []
    paths_by_name = load_paths()
    for path in [paths_by_name[name] for name in names or paths_by_name]:
        for cell in (*single_cells(path), *pair_cells(path)):
            results.append(run_cell(cell))
            print(results[-1], flush=True)
    failed = sum(bool(result.problems) for result in results)
    skipped = sum(
        bool(result.skip_reason and not result.problems) for result in results
    )
    partly = sum(result.is_partly_reached for result in results)
    print(f'in {partly} of the pairs only one fault was reached')
    passed = len(results) - failed - skipped
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return 1 if failed else 0


sys.exit(main(sys.argv[1:]))
