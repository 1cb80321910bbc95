"""Command line of the gateway soak: runs it once and prints a summary."""

import argparse
import json
import shutil
import sys

from tests.harness import ROOT
from tests.soak.gateway_run import (
    DEPLOYMENTS,
    GatewayPlan,
    is_judged,
    run_gateways,
    summarise_gateways,
)


def main():
    """Run the soak; keep its logs only if it fails.

    Returns
    -------
    int
        Exit status: 0 if every check passed and judged enough, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=35)
    parser.add_argument(
        '--deployment', choices=sorted(DEPLOYMENTS), default='kumagawa'
    )
    plan = GatewayPlan(**vars(parser.parse_args()))
    name = f'gateways-{plan.deployment}-{plan.seed}'
    directory = ROOT / 'build' / 'soak' / name
    shutil.rmtree(directory, ignore_errors=True)
    history, injected = run_gateways(plan, directory)
    summary = summarise_gateways(plan, history, injected, directory)
    print(json.dumps(summary, indent=1))
    is_failed = any(summary['problems'].values()) or not is_judged(summary)
    if is_failed:
        print(f'failed: details in {directory}')
    else:
        shutil.rmtree(directory)
    return int(is_failed)


if __name__ == '__main__':
    sys.exit(main())
