"""Command line of the soak: runs it once and prints a summary as JSON."""

import argparse
import json
import sys

from tests.harness import ROOT
from tests.soak.run import Plan, is_effective, run, summarise


def main():
    """Run the soak and print its summary and the failed checks.

    Returns
    -------
    int
        Exit status: 0 if every check passed, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60)
    parser.add_argument(
        '--deployment', choices=('kumagawa', 'blockwood'), default='kumagawa'
    )
    options = parser.parse_args()
    plan = Plan(options.seed, options.seconds, options.deployment)
    directory = ROOT / 'build' / 'soak' / f'{plan.deployment}-{plan.seed}'
    observed, errors = run(plan, directory)
    summary = summarise(plan, observed, errors, directory)
    print(json.dumps(summary, indent=1))
    counts = {
        **summary['problems'],
        'effective': int(not is_effective(summary)),
    }
    failed = sorted(name for name, count in counts.items() if count)
    for name in failed:
        print(f'failed: {name} (details in {directory})')
    print(f'{len(counts) - len(failed)} passed, {len(failed)} failed')
    return int(bool(failed))


if __name__ == '__main__':
    sys.exit(main())
