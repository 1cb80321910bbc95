"""One run of the soak, from the start of the processes to the summary.

A run starts all processes, applies load and faults, waits until the last
changes must be in force and checks what it observed.
"""

import json
import random
import threading
import time
from pathlib import Path

import attrs
import yaml

from tests.harness import ROOT, Fleet, send_request, wait_until
from tests.soak.callers import Caller, DocumentEditor, ReadinessPoller
from tests.soak.checks import Observations, run_checks
from tests.soak.faults import FAULTS, FaultInjector

INSTANCES = 7
SEARCHERS = 6
BOOKERS = 3
# Time between the end of the load and the comparison of the texts. Longer than
# the 12 s within which an accepted change must be in force everywhere.
WAIT_AFTER_LOAD_S = 14
START_LIMIT_S = 60
# An answer counts as late only if it comes this long after its deadline, since
# a busy machine delays it as well.
MACHINE_ALLOWANCE_MS = 100
PERCENTILES = (50, 90, 99, 100)


@attrs.frozen
class Plan:
    """Size and faults of a run.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    seconds : float
        Duration of the load, in seconds.
    deployment : str
        Name of the document in ``examples``.
    instances : int
        Number of instances.
    searchers, bookers : int
        Number of callers that search or book.
    fault_kinds : tuple of str
        Names of the faults to inject.
    max_stop_s : float
        Longest time for which an instance is stopped with SIGSTOP.
    wait_after_load_s : float
        Time between the end of the load and the last observations.
    waits_for_complete_answers : bool
        Whether the load begins only when every instance has given a complete
        answer for every search service.
    """

    seed: int
    seconds: float
    deployment: str = 'kumagawa'
    instances: int = INSTANCES
    searchers: int = SEARCHERS
    bookers: int = BOOKERS
    fault_kinds: tuple = tuple(sorted(FAULTS))
    max_stop_s: float = 20.0
    wait_after_load_s: float = WAIT_AFTER_LOAD_S
    waits_for_complete_answers: bool = False


def run(plan, directory):
    """Run a plan.

    Returns
    -------
    observed : Observations
        What callers, pollers and leafs observed.
    errors : list of str
        Failures of the soak itself, such as a fault that could not be
        injected.
    """
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
    observed = _create_observations(fleet)
    rng = random.Random(plan.seed)
    stop_load, stop_polling = threading.Event(), threading.Event()
    poller = ReadinessPoller(fleet, observed, stop_polling)
    poll_threads = [
        threading.Thread(target=poller.run, args=(number,))
        for number in range(plan.instances)
    ]
    _start_threads(poll_threads)
    wait_until(lambda: len(poller.ready) == plan.instances, START_LIMIT_S)
    if plan.waits_for_complete_answers:
        assert wait_until(
            lambda: _all_answer_completely(fleet, observed), START_LIMIT_S
        )
    injector = FaultInjector(
        fleet,
        observed,
        stop_load,
        random.Random(rng.getrandbits(32)),
        list(plan.fault_kinds),
        max_stop_s=plan.max_stop_s,
    )
    editor = DocumentEditor(
        fleet, observed, stop_load, poller, random.Random(rng.getrandbits(32))
    )
    targets = [
        editor.run,
        *_caller_targets(plan, fleet, observed, stop_load, poller),
    ]
    stop_faults = threading.Event()
    injector.stop = stop_faults
    threads = [
        threading.Thread(
            target=_run_recording_errors, args=(target, injector.errors)
        )
        for target in targets
    ]
    fault_thread = threading.Thread(target=injector.run)
    _start_threads([*threads, fault_thread])
    time.sleep(plan.seconds)
    stop_faults.set()
    fault_thread.join()
    stop_load.set()
    for thread in threads:
        thread.join()
    time.sleep(plan.wait_after_load_s)
    stop_polling.set()
    for thread in poll_threads:
        thread.join()
    _collect_final_state(fleet, observed)
    observed.injected = injector.injected
    return observed, injector.errors


def _all_answer_completely(fleet, observed):
    return all(
        _is_complete(fleet.search(number, service, **{'Deadline-Ms': '3000'}))
        for number in range(fleet.instance_count)
        for service in observed.groups_by_service
    )


def _is_complete(reply):
    return reply.status == 200 and reply.decoded_body['coverage']['complete']


def _run_recording_errors(target, errors):
    """Run a target and record the error that ends it, if any.

    A run with recorded errors counts as ineffective.
    """
    try:
        target()
    except Exception as error:  # noqa: BLE001
        errors.append(f'{target.__qualname__}: {error!r}')
        raise


def _start_threads(threads):
    for thread in threads:
        thread.daemon = True
        thread.start()


def _create_observations(fleet):
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
        initial_id=fleet.document_change_id,
    )


def _caller_targets(plan, fleet, observed, stop_load, poller):
    booking = [
        section.removeprefix('service.')
        for section, content in fleet.document.items()
        if content.get('kind') == 'booking'
    ]
    for number in range(plan.searchers + plan.bookers):
        is_search = number < plan.searchers
        caller = Caller(
            fleet,
            observed,
            stop_load,
            poller,
            number,
            sorted(observed.groups_by_service) if is_search else booking,
            random.Random(f'{plan.seed}/{number}'),
        )
        yield caller.search if is_search else caller.book


def _collect_final_state(fleet, observed):
    """Add what the leafs recorded and the texts that the instances hold."""
    for leaf_id, port in fleet.leaf_ports.items():
        leaf_report = send_request(port, 'GET', '/observed').decoded_body
        observed.executions.update(leaf_report['executions'])
        observed.searched.update(leaf_report['searched'])
        observed.drain_arrivals += [
            {'leaf': leaf_id, **arrival}
            for arrival in leaf_report['drain_arrivals']
        ]
    for number, ports in enumerate(fleet.instances):
        try:
            document = send_request(
                ports.operators, 'GET', '/v1/document'
            ).decoded_body
        except OSError:
            # The check ready-after-fault reports an instance that is down.
            continue
        observed.final_texts[f'entry-{number}'] = document['sections']


def summarise(plan, observed, errors, directory):
    """Run the checks, write the results to files and return the summary."""
    problems = run_checks(observed)
    lateness_ms = sorted(
        (each['end'] - each['begin']) * 1000 - each['deadline_ms']
        for each in observed.searches
        if each['status'] is not None
    )
    late = sum(each > MACHINE_ALLOWANCE_MS for each in lateness_ms)
    complete = sum(
        each['data']['coverage']['complete'] for each in observed.answers
    )
    changes = [each['result'] for each in observed.changes]
    summary = {
        'seed': plan.seed,
        'deployment': plan.deployment,
        'seconds': plan.seconds,
        'searches': len(observed.searches),
        'answered': len(observed.answers),
        'complete': complete,
        'bookings': len({each['key'] for each in observed.bookings}),
        'executions': sum(observed.executions.values()),
        'changes': {each: changes.count(each) for each in sorted(set(changes))},
        'faults': len(observed.faults),
        'injected': dict(sorted(observed.injected.items())),
        'terminations': len(observed.exits),
        'drain_arrivals': len(observed.drain_arrivals),
        'fault_errors': errors,
        'ms_after_deadline': {
            f'p{each}': round(
                lateness_ms[(len(lateness_ms) - 1) * each // 100], 1
            )
            for each in (PERCENTILES if lateness_ms else ())
        },
        'share_beyond_allowance': round(late / max(1, len(lateness_ms)), 5),
        'allowance_ms': MACHINE_ALLOWANCE_MS,
        'problems': {name: len(found) for name, found in problems.items()},
    }
    _write(directory / 'summary.json', summary)
    _write(directory / 'faults.json', observed.faults)
    _write(directory / 'problems.json', problems)
    ids = {str(each) for found in problems.values() for each in found}
    _write(
        directory / 'requests.json',
        [
            each
            for each in (*observed.searches, *observed.bookings)
            if {each.get('id'), each.get('key')} & ids
        ],
    )
    _write(directory / 'changes.json', observed.changes)
    _write(directory / 'final_texts.json', observed.final_texts)
    _write(directory / 'sections.json', observed.sections)
    return summary


def _write(path, content):
    path.write_text(json.dumps(content, indent=1, default=str))


def is_effective(summary):
    """Return whether the run observed enough for its checks to be meaningful.

    It needs a complete answer, an execution and no error of the soak itself.
    """
    return bool(
        summary['complete']
        and summary['executions']
        and not summary['fault_errors']
    )
