"""Compare tail latency, coverage and extra load of routing policies.

``baseline`` sends each shard request once, to a random replica; ``product``
uses the router and the query logic of the product; ``ideal`` sends it to the
replica that will answer first, with no limit of slots. All policies get the
same times for the same query and leaf.

Usage: ``python -m benchmarks.bench_tail --seed 1``.
"""

import argparse
import json
import multiprocessing
import random
from pathlib import Path

import yaml

from benchmarks.tail_scenarios import MEDIAN_SERVICE_S, SCENARIOS
from benchmarks.tail_simulation import INSTANCES, SimulatedService, is_answered
from clementinebank.document import parse_document
from clementinebank.invariants import VIOLATIONS_BY_NAME

EXAMPLES = Path(__file__).parent.parent / 'examples'
DEPLOYMENTS = ('kumagawa', 'blockwood')
POLICIES = ('baseline', 'product', 'ideal')
CLOSING_POLICY = 'product_closing'
# Mean share of the slots in use. With 2 slots, a leaf refuses 1 % to 2 % of the
# requests even at this share, because they arrive at random times.
UTILISATION = 0.1
PROCESSES = 6
# Latency and coverage leave out the queries that start in this time, while the
# instances have no open connections and no measured latencies. Extra load
# includes them.
WARM_UP_S = 1.0

# Targets for the policy ``product``: limits of its p99 as ratios to the p99 of
# the other policies, of its extra load, and the share of answers on time.
MAX_P99_RATIO_TO_BASELINE = 0.5
MAX_P99_RATIO_TO_IDEAL = 1.25
MAX_EXTRA_LOAD = 0.05
ON_TIME_SHARE = 0.99


def read_document(deployment):
    text = (EXAMPLES / f'{deployment}.yaml').read_text()
    sections = {
        name: yaml.safe_dump(section)
        for name, section in yaml.safe_load(text).items()
    }
    return parse_document(sections, 1).unwrap()


def run_policy(job):
    """Return the figures of one deployment, scenario and policy."""
    deployment, scenario_name, policy, seed, seconds = job
    document = read_document(deployment)
    VIOLATIONS_BY_NAME.clear()
    totals = Totals(policy)
    for service in document.services_by_name.values():
        if service.kind == 'search':
            scenario = SCENARIOS[scenario_name](seed, len(service.leafs_by_id))
            simulated_service = SimulatedService(
                document,
                service,
                scenario,
                seed,
                seconds,
                policy,
                is_closing=policy == CLOSING_POLICY,
            )
            arrivals = list(_arrivals(service, seed, seconds))
            if policy == 'ideal':
                totals.add_ideal(simulated_service, arrivals)
            else:
                simulated_service.run(arrivals)
                totals.add_runs(simulated_service)
    return {
        'deployment': deployment,
        'scenario': scenario_name,
        'policy': policy,
        **totals.figures(),
        'violations': dict(VIOLATIONS_BY_NAME),
    }


def _arrivals(service, seed, seconds):
    """Yield the start time and the instance number of each query."""
    replicas = len(service.leafs_by_id) / len(service.groups_by_id)
    rate = UTILISATION * replicas * service.slots / MEDIAN_SERVICE_S
    rng = random.Random(seed)
    when = rng.expovariate(rate)
    while when < seconds:
        yield when, rng.randrange(INSTANCES)
        when += rng.expovariate(rate)


class Totals:
    """Counts and latencies of all services of a deployment."""

    def __init__(self, policy):
        self.policy = policy
        self.latencies_ms = []
        self.answered_shares = []
        self.late_count = 0
        self.refused_count = 0
        self.first_requests = 0
        self.requests = 0
        self.connects = 0
        self.possible_misses = 0

    def add_runs(self, simulated_service):
        """Add the queries that were simulated."""
        caller_ms = 2 * simulated_service.document.fleet.caller_delay_ms
        self.connects += simulated_service.connects
        for run in simulated_service.runs:
            groups = len(simulated_service.service.groups_by_id)
            self.first_requests += min(run.sent, groups)
            self.requests += run.sent
            if run.started_at < WARM_UP_S:
                continue
            latency_ms = (run.ended_at - run.started_at) * 1000 + caller_ms
            self.latencies_ms.append(latency_ms)
            self.late_count += (
                latency_ms > simulated_service.service.deadline_ms
            )
            if not is_answered(run):
                self.refused_count += 1
                self.answered_shares.append(0)
                continue
            coverage = run.final_action.answer.coverage
            total = coverage.partition_map.partition_count
            self.answered_shares.append(coverage.answered_partitions / total)
            if simulated_service.service.answer_policy == 'coverage_first':
                self._count_possible_misses(simulated_service, run, coverage)

    def _count_possible_misses(self, simulated_service, run, coverage):
        """Count missing shards that a replica could have answered in time."""
        for group_id, shard in coverage.shards_by_group.items():
            if not shard.is_answered:
                fastest_s = _fastest_s(
                    simulated_service,
                    group_id,
                    run.number,
                    run.started_at,
                    simulated_service.instances.index(run.instance),
                )
                limit_s = run.query.request.deadline - run.started_at
                self.possible_misses += fastest_s < limit_s

    def add_ideal(self, simulated_service, arrivals):
        """Add queries whose shards the fastest replicas answer."""
        caller_s = 2 * simulated_service.document.fleet.caller_delay_ms / 1000
        limit_s = simulated_service.service.deadline_ms / 1000 - caller_s
        for number, (when, instance) in enumerate(arrivals):
            if when < WARM_UP_S:
                continue
            times_s = [
                _fastest_s(simulated_service, group_id, number, when, instance)
                for group_id in simulated_service.service.groups_by_id
            ]
            in_time = [each for each in times_s if each <= limit_s]
            self.answered_shares.append(len(in_time) / len(times_s))
            slowest_s = min(limit_s, max(times_s))
            self.latencies_ms.append((slowest_s + caller_s) * 1000)
            self.requests += len(times_s)
            self.first_requests += len(times_s)

    def figures(self):
        """Return the figures that are printed for a policy."""
        sorted_values = sorted(self.latencies_ms)
        extra_requests = self.requests - self.first_requests
        return {
            'p50_ms': _quantile(sorted_values, 0.5),
            'p99_ms': _quantile(sorted_values, 0.99),
            'p999_ms': _quantile(sorted_values, 0.999),
            'coverage': round(
                sum(self.answered_shares) / len(self.answered_shares), 5
            ),
            'extra_load': round(
                extra_requests / max(1, self.first_requests), 5
            ),
            'refused': round(self.refused_count / len(sorted_values), 5),
            'late': round(self.late_count / len(sorted_values), 5),
            'queries': len(sorted_values),
            'connects': self.connects,
            'possible_misses': self.possible_misses,
        }


def _fastest_s(simulated_service, group_id, number, when, instance):
    """Return the time of the replica that answers first, or infinity."""
    delays_by_leaf = simulated_service.instances[
        instance
    ].router.delays_s_by_leaf
    scenario = simulated_service.scenario
    times_s = [float('inf')]
    for leaf_id in simulated_service.service.groups_by_id[group_id].leafs_by_id:
        leaf = simulated_service.leafs[leaf_id]
        is_unavailable = (
            scenario.is_lost(leaf.index, when)
            or scenario.is_refusing(leaf.index, when)
            or scenario.is_shedding(leaf.index, when)
        )
        if not is_unavailable:
            request_times = scenario.request_times(
                number, leaf.index, delays_by_leaf[leaf_id], when
            )
            times_s.append(
                request_times.request_link_s
                + request_times.service_s
                + request_times.reply_link_s
            )
    return min(times_s)


def _quantile(sorted_values, share):
    return round(
        sorted_values[
            min(len(sorted_values) - 1, int(share * len(sorted_values)))
        ],
        2,
    )


def missed_targets(product, baseline, ideal):
    """Return a description of each target that ``product`` misses."""
    descriptions = []
    if product['p99_ms'] > MAX_P99_RATIO_TO_IDEAL * ideal['p99_ms']:
        ratio = product['p99_ms'] / ideal['p99_ms']
        descriptions.append(
            f'p99 is {ratio:.2f} of ideal, target {MAX_P99_RATIO_TO_IDEAL}'
        )
    ratio = product['p99_ms'] / baseline['p99_ms']
    if (
        product['scenario'] == 'stragglers'
        and ratio > MAX_P99_RATIO_TO_BASELINE
    ):
        descriptions.append(
            f'p99 is {ratio:.2f} of baseline, '
            f'target {MAX_P99_RATIO_TO_BASELINE}'
        )
    if product['extra_load'] > MAX_EXTRA_LOAD:
        descriptions.append(f'extra load above {MAX_EXTRA_LOAD}')
    if product['possible_misses']:
        count = product['possible_misses']
        descriptions.append(
            f'{count} shards missed that a replica could answer'
        )
    if product['late'] > 1 - ON_TIME_SHARE:
        descriptions.append(f'{product["late"]:.3f} of answers late')
    if product['violations']:
        descriptions.append(f'invariants violated: {product["violations"]}')
    return descriptions


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=10)
    parser.add_argument('--format', choices=('json', 'text'), default='text')
    parser.add_argument('--scenario', action='append', choices=SCENARIOS)
    parser.add_argument('--compare-cancel', action='store_true')
    options = parser.parse_args()
    policies = POLICIES + ((CLOSING_POLICY,) if options.compare_cancel else ())
    jobs = [
        (deployment, scenario, policy, options.seed, options.seconds)
        for deployment in DEPLOYMENTS
        for scenario in options.scenario or SCENARIOS
        for policy in policies
    ]
    with multiprocessing.Pool(PROCESSES) as pool:
        results = pool.map(run_policy, jobs, chunksize=1)
    rows = {
        (row['deployment'], row['scenario'], row['policy']): row
        for row in results
    }
    for (deployment, scenario, policy), row in rows.items():
        if policy == 'product':
            others = (
                rows[deployment, scenario, other]
                for other in ('baseline', 'ideal')
            )
            row['misses'] = missed_targets(row, *others)
        print(json.dumps(row) if options.format == 'json' else _format_row(row))


def _format_row(row):
    figures = ' '.join(
        f'{name}={row[name]}'
        for name in row
        if name not in {'deployment', 'scenario', 'policy', 'misses'}
        and row[name] != {}
    )
    name = f'{row["deployment"]:10}{row["scenario"]:14}{row["policy"]:16}'
    missed = ''.join(f'\n    MISS {each}' for each in row.get('misses', ()))
    return f'{name}{figures}{missed}'


if __name__ == '__main__':
    main()
