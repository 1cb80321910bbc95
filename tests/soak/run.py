"""One run: start, load, faults, settle, observe and judge."""

import json
import random
import threading
import time
from pathlib import Path

import attrs
import yaml

from tests.harness import ROOT, Fleet, call, eventually
from tests.soak.callers import Balancer, Caller, Operator
from tests.soak.checks import Observations, verdicts
from tests.soak.faults import FAULTS, FaultThread

INSTANCES = 7
SEARCHERS = 6
BOOKERS = 3
# An accepted change must be in force everywhere within 12 s.
SETTLE_S = 14
START_LIMIT_S = 60
MACHINE_ALLOWANCE_MS = 100
PERCENTILES = (50, 90, 99, 100)


@attrs.frozen
class Plan:
    """Size and faults of a run."""

    seed: int
    seconds: float
    deployment: str = 'kumagawa'
    instances: int = INSTANCES
    searchers: int = SEARCHERS
    bookers: int = BOOKERS
    kinds: tuple = tuple(sorted(FAULTS))
    max_stop_s: float = 20.0
    settle_s: float = SETTLE_S
    # Wait until every instance has answered completely before the load.
    warm_up: bool = False


def run(plan, directory):
    """Run a plan; return the observations and further results."""
    directory = Path(directory)
    directory.mkdir(parents=True, exist_ok=True)
    path = ROOT / 'examples' / f'{plan.deployment}.yaml'
    fleet = Fleet(
        directory,
        yaml.safe_load(path.read_text()),
        instance_count=plan.instances,
        drain_delay_ms=1500,
    )
    try:
        fleet.start()
        return _run_fleet(plan, fleet)
    finally:
        fleet.stop()


def _run_fleet(plan, fleet):
    seen = _observations(fleet)
    rng = random.Random(plan.seed)
    stop, stop_polling = threading.Event(), threading.Event()
    balancer = Balancer(fleet, seen, stop_polling)
    pollers = [
        threading.Thread(target=balancer.run, args=(number,))
        for number in range(plan.instances)
    ]
    _start(pollers)
    eventually(lambda: len(balancer.ready) == plan.instances, START_LIMIT_S)
    if plan.warm_up:
        assert eventually(lambda: _is_warm(fleet, seen), START_LIMIT_S)
    faults = FaultThread(
        fleet,
        seen,
        stop,
        random.Random(rng.getrandbits(32)),
        list(plan.kinds),
        max_stop_s=plan.max_stop_s,
    )
    operator = Operator(
        fleet, seen, stop, balancer, random.Random(rng.getrandbits(32))
    )
    targets = [
        operator.run,
        *_caller_targets(plan, fleet, seen, stop, balancer),
    ]
    stop_faults = threading.Event()
    faults.stop = stop_faults
    threads = [
        threading.Thread(target=_guarded, args=(target, faults.errors))
        for target in targets
    ]
    fault_thread = threading.Thread(target=faults.run)
    _start([*threads, fault_thread])
    time.sleep(plan.seconds)
    stop_faults.set()
    fault_thread.join()
    stop.set()
    for thread in threads:
        thread.join()
    time.sleep(plan.settle_s)
    stop_polling.set()
    for thread in pollers:
        thread.join()
    _collect(fleet, seen)
    seen.injected = faults.injected
    return seen, faults.errors


def _is_warm(fleet, seen):
    return all(
        _is_complete(fleet.search(number, service, **{'Deadline-Ms': '3000'}))
        for number in range(fleet.instance_count)
        for service in seen.groups_by_service
    )


def _is_complete(reply):
    return reply.status == 200 and reply.data['coverage']['complete']


def _guarded(target, errors):
    """Note the error that ends a thread, so that the run is not judged."""
    try:
        target()
    except Exception as error:  # noqa: BLE001
        errors.append(f'{target.__qualname__}: {error!r}')
        raise


def _start(threads):
    for thread in threads:
        thread.daemon = True
        thread.start()


def _observations(fleet):
    groups = {
        section.removeprefix('service.'): [
            content['groups'][group]['yard']
            for group in sorted(content['groups'])
        ]
        for section, content in fleet.document.items()
        if 'groups' in content
    }
    return Observations(
        groups_by_service=groups,
        per_group={(service, 's-1'): 2 for service in groups},
        initial_id=fleet.change_id,
    )


def _caller_targets(plan, fleet, seen, stop, balancer):
    booking = [
        section.removeprefix('service.')
        for section, content in fleet.document.items()
        if content.get('kind') == 'booking'
    ]
    for number in range(plan.searchers + plan.bookers):
        is_search = number < plan.searchers
        caller = Caller(
            fleet,
            seen,
            stop,
            balancer,
            number,
            sorted(seen.groups_by_service) if is_search else booking,
            random.Random(f'{plan.seed}/{number}'),
        )
        yield caller.search if is_search else caller.book


def _collect(fleet, seen):
    """Read the records of the leafs and the texts of the instances."""
    for leaf_id, port in fleet.leaf_ports.items():
        observed = call(port, 'GET', '/observed').data
        seen.executions.update(observed['executions'])
        seen.searched.update(observed['searched'])
        seen.drain_arrivals += [
            {'leaf': leaf_id, **arrival}
            for arrival in observed['drain_arrivals']
        ]
    for number, ports in enumerate(fleet.instances):
        try:
            held = call(ports.operators, 'GET', '/v1/document').data
        except OSError:
            # The check ready-after-fault reports a missing instance.
            continue
        seen.final_texts[f'entry-{number}'] = held['sections']


def summarise(plan, seen, errors, directory):
    """Write the results of a run and return its summary."""
    problems = verdicts(seen)
    lateness = sorted(
        (each['end'] - each['begin']) * 1000 - each['deadline_ms']
        for each in seen.searches
        if each['status'] is not None
    )
    late = sum(each > MACHINE_ALLOWANCE_MS for each in lateness)
    complete = sum(
        each['data']['coverage']['complete'] for each in seen.answers
    )
    changes = [each['result'] for each in seen.changes]
    summary = {
        'seed': plan.seed,
        'deployment': plan.deployment,
        'seconds': plan.seconds,
        'searches': len(seen.searches),
        'answered': len(seen.answers),
        'complete': complete,
        'bookings': len({each['key'] for each in seen.bookings}),
        'executions': sum(seen.executions.values()),
        'changes': {each: changes.count(each) for each in sorted(set(changes))},
        'faults': len(seen.faults),
        'injected': dict(sorted(seen.injected.items())),
        'terminations': len(seen.exits),
        'drain_arrivals': len(seen.drain_arrivals),
        'fault_errors': errors,
        'ms_after_deadline': {
            f'p{each}': round(lateness[(len(lateness) - 1) * each // 100], 1)
            for each in (PERCENTILES if lateness else ())
        },
        'share_beyond_allowance': round(late / max(1, len(lateness)), 5),
        'allowance_ms': MACHINE_ALLOWANCE_MS,
        'problems': {name: len(found) for name, found in problems.items()},
    }
    _write(directory / 'summary.json', summary)
    _write(directory / 'faults.json', seen.faults)
    _write(directory / 'problems.json', problems)
    ids = {str(each) for found in problems.values() for each in found}
    _write(
        directory / 'requests.json',
        [
            each
            for each in (*seen.searches, *seen.bookings)
            if {each.get('id'), each.get('key')} & ids
        ],
    )
    _write(directory / 'changes.json', seen.changes)
    _write(directory / 'final_texts.json', seen.final_texts)
    _write(directory / 'sections.json', seen.sections)
    return summary


def _write(path, content):
    path.write_text(json.dumps(content, indent=1, default=str))


def is_effective(summary):
    """Return whether the run observed enough to judge."""
    return bool(
        summary['complete']
        and summary['executions']
        and not summary['fault_errors']
    )
